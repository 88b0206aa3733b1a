package org.weldcourse.workers;

/** A task of a job; on the wire {@code req-000412/3}. */
public record TaskName(String job, int index) {

    /** Null when the text names no task. */
    public static TaskName parse(String text) {
        int slash = text == null ? -1 : text.lastIndexOf('/');
        if (slash <= 0) {
            return null;
        }
        try {
            return new TaskName(text.substring(0, slash), Integer.parseInt(text.substring(slash + 1)));
        } catch (NumberFormatException notNumber) {
            return null;
        }
    }

    @Override
    public String toString() {
        return job + "/" + index;
    }
}
