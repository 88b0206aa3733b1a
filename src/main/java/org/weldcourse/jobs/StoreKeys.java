package org.weldcourse.jobs;

/**
 * The store keys of job records. Keys and prefixes must not change, so that records of earlier versions stay readable.
 */
public final class StoreKeys {
    /** The prefix of jobs that are accepted and not ended: {@code open/<id>}, see {@link JobRecordCodec}. */
    public static final String OPEN_JOBS = "open/";

    /** The prefix of admission records: {@code slices/<id>/<number>}, see {@link AdmissionRecordCodec}. */
    public static final String ADMISSIONS = "slices/";

    /** The prefix of finished tasks of jobs too large to keep them in admission records: {@code done/<id>/<shard>}. */
    public static final String FINISHED_TASKS = "done/";

    /** The prefix of tasks of ended jobs that may still be on machines: {@code outstanding/<id>}. */
    public static final String OUTSTANDING = "outstanding/";

    private static final String FINAL_STATES = "final/";

    private StoreKeys() {}

    /** The key of an open job. */
    public static String openJob(String id) {
        return OPEN_JOBS + id;
    }

    /** The key of a job's final state, which is never deleted: see {@link FinalStateCodec}. */
    public static String finalState(String id) {
        return FINAL_STATES + id;
    }

    /** The prefix of the admission records of a job. */
    public static String admissions(String id) {
        return ADMISSIONS + id + "/";
    }

    /** The key of an admission record of a job; a large job has several, numbered from 0. */
    public static String admission(String id, int number) {
        return admissions(id) + number;
    }

    /** The key of a shard of the finished tasks of a job. */
    public static String finishedTasks(String id, int shard) {
        return FINISHED_TASKS + id + "/" + shard;
    }

    /** The key of the tasks of an ended job that may still be on machines. */
    public static String outstanding(String id) {
        return OUTSTANDING + id;
    }

    /** The number at the end of the key of an admission record or of a shard of finished tasks. */
    public static int recordNumber(String key) {
        return Integer.parseInt(key.substring(key.lastIndexOf('/') + 1));
    }

    /** The ID of the job that a key under one of the prefixes above belongs to. */
    public static String jobId(String key) {
        int from = key.indexOf('/') + 1;
        int to = key.indexOf('/', from);
        return to < 0 ? key.substring(from) : key.substring(from, to);
    }
}
