package org.weldcourse.quota.ledger;

import java.util.Map;
import org.weldcourse.http.Json;

/**
 * Quota that a controller reserved for a job in the same write that accepted it: who did, under which version of the
 * team's record, and for how many tasks at the same time. With no tasks it only says which controller accepted the job.
 */
public record Reservation(String owner, long quotaVersion, int tasks) {
    /** The field of a job's record that holds its reservation; earlier versions ignore it. */
    public static final String FIELD = "reserved";

    /** A job that was accepted without a reservation. */
    public static Reservation none(String owner) {
        return new Reservation(owner, 0, 0);
    }

    /** Whether it only says which controller accepted the job. */
    public boolean isNone() {
        return tasks == 0;
    }

    /** The value of the field. */
    public Map<String, Object> toJson() {
        return Json.of("by", owner, "under", quotaVersion, "tasks", tasks);
    }

    /** The reservation in a job's record, or null when it has none that can be read. */
    public static Reservation fromJobRecord(Map<String, Object> jobRecord) {
        Map<String, Object> value = Json.object(jobRecord.get(FIELD));
        String owner = Json.text(value, "by");
        long tasks = Json.integer(value, "tasks", -1);
        long version = Json.integer(value, "under", -1);
        if (owner == null || tasks < 0 || tasks > Integer.MAX_VALUE || version < 0) {
            return null;
        }
        return new Reservation(owner, version, (int) tasks);
    }
}
