package org.weldcourse.placement;

import org.weldcourse.fleet.MachineType;
import org.weldcourse.jobs.JobSpec;

/** A machine, or an offering that a machine may be launched of, as a place for tasks. */
public interface PlacementTarget {
    /** Returns the machine's name, or null if it is not launched yet. */
    String name();

    /** Returns the machine type. */
    MachineType type();

    /** Returns the zone. */
    String zone();

    /** Returns whether it is a spot machine. */
    boolean spot();

    /** Returns the gang that the machine is reserved for, or null. */
    default JobSpec reservedFor() {
        return null;
    }

    /** Returns what keeps all jobs off the machine, or {@link Feasibility#FEASIBLE}. */
    default Feasibility condition() {
        return Feasibility.FEASIBLE;
    }
}
