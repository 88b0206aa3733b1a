package org.weldcourse.jobs;

/** Where the records of a job lie in the state service. */
public final class Keys {
    public static final String OPEN = "open/";
    public static final String SLICES = "slices/";
    public static final String DONE_TASKS = "done/";

    private Keys() {
    }

    public static String open(String id) {
        return OPEN + id;
    }

    /** The final state, kept for ever. */
    public static String done(String id) {
        return "final/" + id;
    }

    public static String slices(String id) {
        return SLICES + id + "/";
    }

    /** One admission; a large one takes several parts. The attempt is padded so that keys sort by it. */
    public static String slice(String id, int attempt, int part) {
        return slices(id) + String.format("%08d.%d", attempt, part);
    }

    public static String doneTasks(String id, int shard) {
        return DONE_TASKS + id + "/" + shard;
    }

    /** The job that a key under {@code open/}, {@code slices/} or {@code done/} belongs to. */
    public static String jobOf(String key) {
        int from = key.indexOf('/') + 1;
        int to = key.indexOf('/', from);
        return to < 0 ? key.substring(from) : key.substring(from, to);
    }
}
