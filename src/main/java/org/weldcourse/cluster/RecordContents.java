package org.weldcourse.cluster;

import java.util.HashMap;
import java.util.Map;
import org.weldcourse.jobs.AdmittedTasks;

/** The admitted tasks that each of a job's admission records contains, as it was last read or written. */
public final class RecordContents {
    private final Map<String, AdmittedTasks> writtenByKey = new HashMap<>();
    /** The key found last; the tasks of one admission are mostly in one record. */
    private String lastKey;

    /** Replaces the content of a record after a write. */
    public void replace(String key, AdmittedTasks written) {
        writtenByKey.put(key, written);
    }

    /** Adds a task that was read from a record. */
    public void add(String key, String machine, int attempt, int task) {
        writtenByKey.computeIfAbsent(key, unknown -> new AdmittedTasks()).add(machine, attempt, task);
    }

    /** The tasks of a record that are still booked as admitted there: what a rewrite of the record has to contain. */
    public AdmittedTasks booked(String key, Job job) {
        AdmittedTasks written = writtenByKey.get(key);
        return written == null
                ? new AdmittedTasks()
                : written.intersection(job.bookings().admitted());
    }

    /** The key of the record that contains the booked task, or null if none is known to. */
    String keyOf(Booking booking) {
        if (lastKey != null && contains(lastKey, booking)) {
            return lastKey;
        }
        for (String key : writtenByKey.keySet()) {
            if (contains(key, booking)) {
                lastKey = key;
                return key;
            }
        }
        return null;
    }

    private boolean contains(String key, Booking booking) {
        AdmittedTasks written = writtenByKey.get(key);
        return written != null && written.contains(booking.machine().name, booking.attempt(), booking.task());
    }
}
