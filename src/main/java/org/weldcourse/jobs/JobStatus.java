package org.weldcourse.jobs;

import java.util.Map;
import org.weldcourse.http.Json;

/**
 * The status of a job, as reported to users. {@code state} is one of {@link #QUEUED}, {@link #RUNNING}, {@link #DONE}
 * and {@link #CANCELLED}; the task counts are only for display.
 */
record JobStatus(String id, String state, int finishedTasks, int runningTasks) {
    /** The job is accepted, but none of its tasks is admitted. */
    static final String QUEUED = "queued";

    /** Some tasks are admitted. */
    static final String RUNNING = "running";

    /** All tasks are finished; this state is final. */
    static final String DONE = "done";

    /** The user cancelled the job; this state is final. */
    static final String CANCELLED = "cancelled";

    static JobStatus queued(String id) {
        return open(id, 0);
    }

    static JobStatus cancelled(String id) {
        return new JobStatus(id, CANCELLED, 0, 0);
    }

    /** The status of an open job that is not cancelled and has this number of admitted tasks. */
    static JobStatus open(String id, int admittedTasks) {
        return new JobStatus(id, admittedTasks > 0 ? RUNNING : QUEUED, 0, admittedTasks);
    }

    /** The body of the response, with the field names of the protocol. */
    Map<String, Object> body() {
        return Json.of("name_id", id, "heat", state, "done", finishedTasks, "running", runningTasks);
    }
}
