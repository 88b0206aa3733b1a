package org.weldcourse.cluster;

/** Why a booking's place and quota are free: that the task is not there, or can't have been told to run. */
public enum ReleaseReason {
    /** A newer heartbeat under this leader's token lists it as exited. */
    EXITED,
    /** A newer heartbeat under this leader's token lists it no more. */
    NO_LONGER_LISTED,
    /** A newer heartbeat does not list it, it was not seen before, and it is given up. */
    NEVER_LISTED,
    /** The cloud confirmed the return of its machine. */
    MACHINE_SCALED_IN,
    /** Its admission was refused by the state service, so that it was never told to run. */
    ADMISSION_REFUSED
}
