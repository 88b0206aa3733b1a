package org.weldcourse.cluster;

/** Why a booking was released: its task is known not to be on the machine, or cannot have been told to start there. */
public enum ReleaseReason {
    /** A newer heartbeat under this leader's fencing token lists the task as exited. */
    EXITED,
    /** A newer heartbeat under this leader's fencing token no longer lists the task. */
    NO_LONGER_LISTED,
    /** A newer heartbeat does not list the task, none did before, and the start is given up. */
    NEVER_LISTED,
    /** The cloud confirmed the deletion of the machine. */
    MACHINE_SCALED_IN,
    /** The store refused the admission, so the task was never told to start. */
    ADMISSION_REFUSED
}
