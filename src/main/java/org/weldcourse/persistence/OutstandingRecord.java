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
 * The record of tasks that may still be on machines while their job is over: the job's description and where its tasks were
 * admitted. It is written with the end of the job, and deleted once there is evidence that the tasks are gone, so that every
 * leader in between counts them. Versions that don't know of it leave it alone.
 */
public final class OutstandingRecord {
    private static final long NEVER_OPEN = 0;

    private OutstandingRecord() {}

    /** The record of a job that ends while some of its tasks are booked, or null when it is larger than can be kept. */
    public static Map<String, Object> encode(Job job, int mostBytes) {
        AdmittedTasks admitted = new AdmittedTasks();
        job.bookings().forEach(booking -> admitted.add(booking.machine().name, booking.attempt(), booking.task()));
        Map<String, Object> record = JobRecordCodec.encode(job.spec(), 0, job.isCancelled());
        JobRecordCodec.clearSchedulingFields(record);
        record.putAll(AdmissionRecordCodec.encode(admitted, job.lastAttempt(), 0, null));
        return Json.bytes(record).length <= mostBytes ? record : null;
    }

    /** Books again what the record says may be on machines; all of it is to stop. */
    public static Job restore(ClusterState cluster, Map<String, Object> record, long nowMicros)
            throws InvalidJobException {
        JobSpec spec = JobRecordCodec.decodeSpec(record);
        Job job = new Job(spec, NEVER_OPEN, nowMicros);
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
