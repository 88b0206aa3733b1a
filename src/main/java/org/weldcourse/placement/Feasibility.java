package org.weldcourse.placement;

/** Whether the tasks of a job may run on a machine, and if not, why not. Free room is not part of it. */
public enum Feasibility {
    /** Tasks of the job may run there. */
    FEASIBLE("feasible"),
    /** The machine has not reported to this leader yet. */
    NOT_REPORTED("not reported yet"),
    /** The machine is being deleted or reclaimed, or it stopped by itself. */
    DRAINING("draining"),
    /** Tasks of several jobs failed on the machine, and none has succeeded there since. */
    FAULTY("suspected to be faulty"),
    /** Commands do not reach the machine. */
    CORDONED("cordoned"),
    /** The job does not allow the machine type, or a task does not fit on an empty machine of it. */
    MACHINE_TYPE("machine type"),
    /** The job may not run in the machine's zone, by itself or because of where its other tasks are. */
    ZONE("zone"),
    /** The job does not allow spot machines. */
    SPOT("spot"),
    /** A task of the job failed on the machine a short while ago. */
    EXCLUDED("excluded after a failure"),
    /** The machine is reserved for a gang that the job must not delay. */
    RESERVED("reserved for a gang");

    private final String text;

    Feasibility(String text) {
        this.text = text;
    }

    /** Returns the text for log messages. */
    public String text() {
        return text;
    }
}
