package org.weldcourse.persistence;

import java.util.Map;
import org.weldcourse.cluster.Booking;
import org.weldcourse.cluster.ClusterState;
import org.weldcourse.cluster.Job;
import org.weldcourse.http.Json;
import org.weldcourse.jobs.AdmissionRecordCodec;
import org.weldcourse.jobs.AdmittedTasks;
import org.weldcourse.jobs.InvalidJobException;
import org.weldcourse.jobs.JobRecordCodec;
import org.weldcourse.jobs.JobSpec;
import org.weldcourse.jobs.StoreKeys;

/**
 * The record of an ended job's tasks that may still be on machines: the job's specification and its admitted tasks. It
 * is written at the end of the job and deleted once there is evidence that the tasks are gone, so that every leader
 * until then counts them. Versions that don't know this record ignore it.
 */
public final class OutstandingRecord {
    private static final long NO_REVISION = 0;

    private OutstandingRecord() {}

    /** Encodes the record of a job that ends with booked tasks, or returns null if it exceeds {@code maxBytes}. */
    public static Map<String, Object> encode(Job job, int maxBytes) {
        AdmittedTasks admitted = new AdmittedTasks();
        job.bookings().forEach(booking -> admitted.add(booking.machine().name, booking.attempt(), booking.task()));
        Map<String, Object> record = JobRecordCodec.encode(job.spec(), 0, job.isCancelled());
        JobRecordCodec.clearSchedulingFields(record);
        record.putAll(AdmissionRecordCodec.encode(admitted, job.lastAttempt(), 0, null));
        return Json.bytes(record).length <= maxBytes ? record : null;
    }

    /** Restores an ended job from its record: books its tasks that may be on machines and requests their stop. */
    public static Job restore(ClusterState cluster, Map<String, Object> record, long nowMicros)
            throws InvalidJobException {
        JobSpec spec = JobRecordCodec.decodeSpec(record);
        Job job = new Job(spec, NO_REVISION, nowMicros);
        job.markClosed();
        job.markOutstandingPersisted();
        job.markAllDone();
        AdmissionRecordCodec.visit(record, (machine, attempt, first, last) -> {
            for (int task = first; task <= last && task < spec.tasks(); task++) {
                Booking booking =
                        cluster.book(job, task, attempt, cluster.getOrAddMachine(machine, nowMicros), nowMicros);
                booking.setRecordKey(StoreKeys.outstanding(spec.id()));
                booking.markPersisted();
                booking.requestStop(0);
            }
        });
        return job;
    }
}
