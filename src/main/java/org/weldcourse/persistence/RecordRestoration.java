package org.weldcourse.persistence;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import org.weldcourse.cluster.Booking;
import org.weldcourse.cluster.ClusterState;
import org.weldcourse.cluster.Job;
import org.weldcourse.jobs.InvalidJobException;
import org.weldcourse.jobs.StoreKeys;
import org.weldcourse.runtime.Clock;
import org.weldcourse.store.Store;

/**
 * Restores finished tasks and bookings from the records that a new leader has read, in parts: a single record may admit
 * all tasks of a job. Nothing is admitted or started before the last part, so that no decision rests on some of them.
 */
final class RecordRestoration {
    /** The most tasks that are booked in one part. */
    private static final int MAX_TASKS_PER_PART = 1_000;
    /** What it costs to decode a record, in bookings of tasks. */
    private static final int TASKS_PER_RECORD = 20;

    private final ClusterState cluster;
    private final Clock clock;
    private final JobRecordRestorer restorer;
    private final UnreadableRecords unreadable;
    private final Iterator<Store.Entry> openJobRecords;
    private final Iterator<Store.Entry> admissions;
    private final Iterator<Store.Entry> outstanding;
    private final List<String> orphans = new ArrayList<>();
    private final int recordCount;
    private AdmittedTaskCursor tasks = AdmittedTaskCursor.NONE;

    RecordRestoration(
            ClusterState cluster,
            Clock clock,
            JobRecordRestorer restorer,
            UnreadableRecords unreadable,
            Store.Listing admissions,
            Store.Listing finishedTasks,
            Store.Listing outstanding) {
        this.cluster = cluster;
        this.clock = clock;
        this.restorer = restorer;
        this.unreadable = unreadable;
        List<Store.Entry> records = new ArrayList<>(admissions.entries());
        records.addAll(finishedTasks.entries());
        this.openJobRecords = records.iterator();
        this.admissions = admissions.entries().iterator();
        this.outstanding = outstanding.entries().iterator();
        this.recordCount = records.size() + outstanding.entries().size();
    }

    /** The keys of records of jobs that are not open; known after the last part. */
    List<String> orphans() {
        return orphans;
    }

    /** The number of records. */
    int recordCount() {
        return recordCount;
    }

    /** Restores the next part; returns whether it was the last. */
    boolean restorePart() {
        int left = MAX_TASKS_PER_PART;
        while (left > 0) {
            if (tasks.hasNext()) {
                tasks.restoreNext();
                left--;
                continue;
            }
            if (openJobRecords.hasNext()) {
                restoreFinishedTasks(openJobRecords.next());
            } else if (admissions.hasNext()) {
                // After all finished tasks: a task is not booked if any record shows it as finished.
                restoreBookings(admissions.next());
            } else if (outstanding.hasNext()) {
                restoreOutstanding(outstanding.next());
            } else {
                return true;
            }
            left -= TASKS_PER_RECORD;
        }
        return false;
    }

    private void restoreFinishedTasks(Store.Entry entry) {
        String id = StoreKeys.jobId(entry.key());
        Job job = cluster.jobs.get(id);
        if (job != null) {
            try {
                restorer.restore(job, entry);
            } catch (RuntimeException exception) {
                unreadable.addAdmission(job, entry.key(), exception);
            }
        } else if (unreadable.containsOpenJob(id)) {
            unreadable.countAdmissionOfOpenJob(id);
        } else {
            orphans.add(entry.key());
        }
    }

    private void restoreBookings(Store.Entry admission) {
        Job job = cluster.jobs.get(StoreKeys.jobId(admission.key()));
        if (job == null) {
            return;
        }
        tasks = new AdmittedTaskCursor(
                admission.value(),
                job.spec().tasks(),
                (machine, attempt, task) -> restoreBooking(job, task, attempt, machine, admission.key()));
        if (tasks.decodingError() != null) {
            unreadable.addAdmission(job, admission.key(), tasks.decodingError());
        }
    }

    /** Books a task as admitted. Of several admissions of the task, the one with the highest attempt counts. */
    private void restoreBooking(Job job, int task, int attempt, String machineName, String recordKey) {
        job.recordAttempt(attempt);
        Booking earlier = job.booking(task);
        if (job.isDone(task)) {
            return;
        }
        if (earlier != null && earlier.attempt() >= attempt) {
            job.releasedTasks().add(recordKey, task);
            return;
        }
        if (earlier != null) {
            cluster.discard(earlier);
        }
        long nowMicros = clock.nowMicros();
        Booking booking = cluster.book(job, task, attempt, cluster.getOrAddMachine(machineName, nowMicros), nowMicros);
        booking.setRecordKey(recordKey);
        booking.markPersisted();
    }

    /** Books and stops the tasks of an ended job that may still be on machines, as the previous leader did. */
    private void restoreOutstanding(Store.Entry entry) {
        Job job;
        try {
            job = OutstandingRecord.restoreJob(entry.value(), clock.nowMicros());
        } catch (RuntimeException | InvalidJobException exception) {
            unreadable.addOutstanding(entry.key(), entry.value(), exception);
            return;
        }
        tasks = OutstandingRecord.tasks(cluster, job, entry.value(), clock::nowMicros);
        if (tasks.decodingError() != null) {
            unreadable.addOutstanding(entry.key(), entry.value(), tasks.decodingError());
        } else {
            cluster.outstandingJobs.put(job.spec().id(), job);
        }
    }
}
