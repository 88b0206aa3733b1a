package org.weldcourse.quota.ledger;

import java.util.Map;
import org.weldcourse.http.Json;

/**
 * Quota that a controller reserves for a job in the write that accepts it: the reserving process, the version of the
 * team's record, and the number of concurrent tasks. A reservation of zero tasks only records which controller accepted
 * the job.
 */
public record Reservation(String owner, long quotaVersion, int tasks) {
    /** The field of the job record that holds the reservation; earlier versions of the software ignore it. */
    public static final String FIELD = "reserved";

    /** Returns a reservation of zero tasks. */
    public static Reservation none(String owner) {
        return new Reservation(owner, 0, 0);
    }

    /** Returns whether this reserves nothing and only records which controller accepted the job. */
    public boolean isNone() {
        return tasks == 0;
    }

    /** Returns the value of the field {@link #FIELD}. */
    public Map<String, Object> toJson() {
        return Json.of("by", owner, "under", quotaVersion, "tasks", tasks);
    }

    /** Returns the reservation in a job record, or null if it is missing or unreadable. */
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
