package org.weldcourse.workers;

/** A task of a job; on the wire {@code req-000412/3}. */
public record TaskId(String jobId, int index) {

    /**
     * The task that the text names.
     *
     * @throws MalformedHeartbeatException if it names none, or is null
     */
    static TaskId parse(String text) throws MalformedHeartbeatException {
        int slash = text == null ? -1 : text.lastIndexOf('/');
        if (slash <= 0) {
            throw new MalformedHeartbeatException("not a task: " + text);
        }
        try {
            return new TaskId(text.substring(0, slash), Integer.parseInt(text.substring(slash + 1)));
        } catch (NumberFormatException notNumber) {
            throw new MalformedHeartbeatException("not a task: " + text, notNumber);
        }
    }

    // Written out: the ones that records get are slow without the optimizing compiler, and every heartbeat needs them.
    @Override
    public int hashCode() {
        return jobId.hashCode() * 31 + index;
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof TaskId task && task.index == index && task.jobId.equals(jobId);
    }

    @Override
    public String toString() {
        return jobId + "/" + index;
    }
}
