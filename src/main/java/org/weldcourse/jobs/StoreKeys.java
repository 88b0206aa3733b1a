package org.weldcourse.jobs;

/** Where the records of a job lie in the store. Keys and prefixes are those of earlier versions, whose records stay readable. */
public final class StoreKeys {
    /** The prefix of the accepted jobs that are not over: {@code open/<id>}, see {@link JobRecordCodec}. */
    public static final String OPEN_JOBS = "open/";

    /** The prefix of what is admitted: {@code slices/<id>/<number>}, see {@link AdmissionRecordCodec}. */
    public static final String ADMISSIONS = "slices/";

    /** The prefix of the finished tasks of jobs too large to keep them with their admissions: {@code done/<id>/<shard>}. */
    public static final String FINISHED_TASKS = "done/";

    /** The prefix of what may still be on machines of jobs that are over: {@code outstanding/<id>}. */
    public static final String OUTSTANDING = "outstanding/";

    private static final String FINAL_STATES = "final/";

    private StoreKeys() {}

    /** The key of an open job. */
    public static String openJob(String id) {
        return OPEN_JOBS + id;
    }

    /** The key of a job's final state, kept for ever: see {@link FinalStateCodec}. */
    public static String finalState(String id) {
        return FINAL_STATES + id;
    }

    /** The prefix of the admissions of a job. */
    public static String admissions(String id) {
        return ADMISSIONS + id + "/";
    }

    /** The key of what is admitted of a job; a large one takes several records, numbered from 0. */
    public static String admission(String id, int number) {
        return admissions(id) + number;
    }

    /** The key of a shard of the finished tasks of a job. */
    public static String finishedTasks(String id, int shard) {
        return FINISHED_TASKS + id + "/" + shard;
    }

    /** The key of what may still be on machines of a job that is over. */
    public static String outstanding(String id) {
        return OUTSTANDING + id;
    }

    /** The number that ends a key of an admission or of a shard of finished tasks. */
    public static int recordNumber(String key) {
        return Integer.parseInt(key.substring(key.lastIndexOf('/') + 1));
    }

    /** The job that a key under one of the prefixes above belongs to. */
    public static String jobId(String key) {
        int from = key.indexOf('/') + 1;
        int to = key.indexOf('/', from);
        return to < 0 ? key.substring(from) : key.substring(from, to);
    }
}
