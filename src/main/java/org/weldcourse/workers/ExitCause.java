package org.weldcourse.workers;

/** Why an attempt of a task ended. */
public enum ExitCause {
    /** The task completed; its result is kept. */
    DONE,
    /** The task was stopped by a command. */
    STOPPED,
    /** Another task of the gang was lost. */
    GANG_PEER_LOST,
    /** Not all tasks of the gang were ready within the gang wait. */
    GANG_INCOMPLETE,
    /** The task failed, or this version does not know the reported cause. */
    FAILED,
    /** The start was refused: the free capacity of the machine is too small. */
    REFUSED_NO_ROOM,
    /** The start was refused: another attempt of the task is on the machine. */
    REFUSED_OTHER_ATTEMPT,
    /** The start was refused: the worker found no such job or task. */
    REFUSED_UNKNOWN_TASK
}
