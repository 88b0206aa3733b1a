package org.weldcourse.workers;

/**
 * The status of one task on a machine, as a heartbeat lists it.
 *
 * @param attempt the number of the attempt; all tasks of a gang are started together and share it
 * @param cause why the task ended; null until it has exited
 */
public record TaskStatus(TaskId id, int attempt, TaskState state, ExitCause cause) {}
