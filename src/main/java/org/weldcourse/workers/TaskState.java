package org.weldcourse.workers;

/** The state of a task on its machine, as its worker reports it. */
public enum TaskState {
    /** The task has its resources allocated and waits for its image. */
    FETCHING_IMAGE,
    /** The task has its image and waits for the other tasks of the gang's attempt. */
    WAITING_FOR_GANG,
    /** The task runs. A task whose gang lost a task or is being stopped stays in this state until it exits. */
    RUNNING,
    /** The task was told to stop and saves a checkpoint. */
    SAVING_CHECKPOINT,
    /** The task ended with an {@link ExitCause}; the worker lists it until it is told to forget it. */
    EXITED
}
