package org.weldcourse.persistence;

import java.util.Map;
import java.util.function.LongSupplier;
import org.weldcourse.cluster.Booking;
import org.weldcourse.cluster.ClusterState;
import org.weldcourse.cluster.Job;
import org.weldcourse.http.Json;
import org.weldcourse.jobs.AdmissionRecordCodec;
import org.weldcourse.jobs.AdmittedTasks;
import org.weldcourse.jobs.InvalidJobException;
import org.weldcourse.jobs.JobRecordCodec;
import org.weldcourse.jobs.StoreKeys;

/**
 * The record of an ended job's tasks that may still be on machines: the job's specification and its admitted tasks. It
 * is written at the end of the job and deleted once there is evidence that the tasks are gone, so that every leader
 * until then counts them. Versions that don't know this record ignore it.
 */
final class OutstandingRecord {
    private static final long NO_REVISION = 0;
    /** The least that a range of tasks takes in a record: a digit and a separator. */
    private static final int MIN_BYTES_PER_RANGE = 2;

    private OutstandingRecord() {}

    /** Encodes the record of a job that ends with booked tasks, or returns null if it exceeds {@code maxBytes}. */
    static Map<String, Object> encode(Job job, int maxBytes) {
        AdmittedTasks admitted = job.bookings().admitted();
        if (admitted.rangeCount() * MIN_BYTES_PER_RANGE > maxBytes) {
            return null;
        }
        Map<String, Object> record = JobRecordCodec.encode(job.spec(), 0, job.isCancelled());
        JobRecordCodec.clearSchedulingFields(record);
        record.putAll(AdmissionRecordCodec.encode(admitted, job.lastAttempt(), 0, null));
        return Json.bytes(record).length <= maxBytes ? record : null;
    }

    /** Restores an ended job from its record, without its tasks. */
    static Job restoreJob(Map<String, Object> record, long nowMicros) throws InvalidJobException {
        Job job = new Job(JobRecordCodec.decodeSpec(record), NO_REVISION, nowMicros);
        job.markClosed();
        job.markOutstandingPersisted();
        job.markAllDone();
        return job;
    }

    /** Goes over the job's tasks that may be on machines: books each, and requests its stop. */
    static AdmittedTaskCursor tasks(ClusterState cluster, Job job, Map<String, Object> record, LongSupplier nowMicros) {
        return new AdmittedTaskCursor(
                record,
                job.spec().tasks(),
                (machine, attempt, task) -> restoreTask(cluster, job, task, attempt, machine, nowMicros.getAsLong()));
    }

    private static void restoreTask(
            ClusterState cluster, Job job, int task, int attempt, String machine, long nowMicros) {
        Booking booking = cluster.book(job, task, attempt, cluster.getOrAddMachine(machine, nowMicros), nowMicros);
        booking.setRecordKey(StoreKeys.outstanding(job.spec().id()));
        booking.markPersisted();
        booking.requestStop(0);
    }
}
