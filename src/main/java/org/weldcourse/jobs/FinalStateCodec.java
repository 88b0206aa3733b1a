package org.weldcourse.jobs;

import java.util.Map;
import org.weldcourse.http.Json;

/**
 * Encodes and decodes records under {@code final/}: how a job ended and how many of its tasks finished. They never
 * change.
 */
public final class FinalStateCodec {
    private FinalStateCodec() {}

    /** Encodes the final state of a job that was cancelled by its user or whose tasks are all finished. */
    public static Map<String, Object> encode(boolean cancelled, int finishedTasks) {
        return Json.of("heat", cancelled ? JobStatus.CANCELLED : JobStatus.DONE, "done", finishedTasks);
    }

    static JobStatus decode(String id, Map<String, Object> record) {
        return new JobStatus(id, Json.text(record, "heat"), (int) Json.integer(record, "done", 0), 0);
    }
}
