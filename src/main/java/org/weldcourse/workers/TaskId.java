package org.weldcourse.workers;

/** Identifies a task by its job and its index; written as {@code req-000412/3}. */
public record TaskId(String jobId, int index) {

    /**
     * Parses a task ID.
     *
     * @throws MalformedHeartbeatException if the text is null or not a task ID
     */
    static TaskId parse(String text) throws MalformedHeartbeatException {
        int slash = text == null ? -1 : text.lastIndexOf('/');
        if (slash <= 0) {
            throw new MalformedHeartbeatException("invalid task ID: " + text);
        }
        try {
            return new TaskId(text.substring(0, slash), Integer.parseInt(text.substring(slash + 1)));
        } catch (NumberFormatException notNumber) {
            throw new MalformedHeartbeatException("invalid task ID: " + text, notNumber);
        }
    }

    // The generated methods of records are slow before JIT compilation, and every heartbeat calls these two.
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
