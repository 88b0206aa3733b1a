package org.weldcourse.workers;

/**
 * A command for a worker about one attempt of a task. Workers execute commands in the order in which they are listed.
 *
 * @param gracePeriodMicros for {@link Kind#STOP}: the time that the task has to save a checkpoint; 0 ends it at once
 */
public record WorkerCommand(Kind kind, TaskId task, int attempt, long gracePeriodMicros) {
    /** The kind of command. */
    public enum Kind {
        /** Start an attempt of a task; no effect if the worker already has this attempt, in any state. */
        START,
        /** Stop an attempt. */
        STOP,
        /** Stop listing an exited attempt in heartbeats. */
        FORGET
    }

    /** Returns a command to start an attempt of a task. */
    public static WorkerCommand start(TaskId task, int attempt) {
        return new WorkerCommand(Kind.START, task, attempt, 0);
    }

    /** Returns a command to stop an attempt, which may save a checkpoint within the grace period. */
    public static WorkerCommand stop(TaskId task, int attempt, long gracePeriodMicros) {
        return new WorkerCommand(Kind.STOP, task, attempt, gracePeriodMicros);
    }

    /** Returns a command to stop listing an exited attempt. */
    public static WorkerCommand forget(TaskId task, int attempt) {
        return new WorkerCommand(Kind.FORGET, task, attempt, 0);
    }
}
