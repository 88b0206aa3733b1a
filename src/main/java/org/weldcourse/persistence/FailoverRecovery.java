package org.weldcourse.persistence;

import java.util.ArrayList;
import java.util.List;
import org.weldcourse.cluster.Booking;
import org.weldcourse.cluster.ClusterState;
import org.weldcourse.cluster.Job;
import org.weldcourse.jobs.AdmissionRecordCodec;
import org.weldcourse.jobs.InvalidJobException;
import org.weldcourse.jobs.StoreKeys;
import org.weldcourse.runtime.Clock;
import org.weldcourse.runtime.Timers;
import org.weldcourse.store.Store;
import org.weldcourse.store.Store.Outcome;

/** Recovery after a failover: restores finished tasks and bookings from the records. */
final class FailoverRecovery {
    private final Store store;
    private final Clock clock;
    private final Timers timers;
    private final ClusterState cluster;
    private final RecordWriter recordWriter;
    private final JobRecordRestorer restorer;
    private final UnreadableRecords unreadable;
    private final RecordReader.Listener listener;
    private boolean stopped;

    FailoverRecovery(
            Store store,
            Clock clock,
            Timers timers,
            ClusterState cluster,
            RecordWriter recordWriter,
            UnreadableRecords unreadable,
            RecordReader.Listener listener) {
        this.store = store;
        this.clock = clock;
        this.timers = timers;
        this.cluster = cluster;
        this.recordWriter = recordWriter;
        this.restorer = recordWriter.restorer();
        this.unreadable = unreadable;
        this.listener = listener;
    }

    /** Stops the recovery: responses to requests in flight are ignored. */
    void stop() {
        stopped = true;
    }

    /** Reads the records of open jobs, and of the tasks of ended jobs that may still be on machines. */
    void load() {
        if (stopped) {
            return;
        }
        store.list(
                StoreKeys.ADMISSIONS,
                admissions -> store.list(
                        StoreKeys.FINISHED_TASKS,
                        finishedTasks -> store.list(
                                StoreKeys.OUTSTANDING,
                                outstanding -> restoreRecords(admissions, finishedTasks, outstanding))));
    }

    private void restoreRecords(Store.Listing admissions, Store.Listing finishedTasks, Store.Listing outstanding) {
        if (stopped) {
            return;
        }
        if (admissions.outcome() != Outcome.OK
                || finishedTasks.outcome() != Outcome.OK
                || outstanding.outcome() != Outcome.OK) {
            timers.after(OpenJobsWatch.RETRY_MICROS, this::load);
            return;
        }
        restoreOpenJobs(admissions.entries(), finishedTasks.entries());
        outstanding.entries().forEach(this::restoreOutstanding);
        unreadable.countUnbookedTasks();
        int records = admissions.entries().size()
                + finishedTasks.entries().size()
                + outstanding.entries().size();
        listener.recordsLoaded(records, admissions.revision());
    }

    /** Books and stops the tasks of an ended job that may still be on machines, as the previous leader did. */
    private void restoreOutstanding(Store.Entry entry) {
        try {
            Job job = OutstandingRecord.restore(cluster, entry.value(), clock.nowMicros());
            cluster.outstandingJobs.put(job.spec().id(), job);
        } catch (RuntimeException | InvalidJobException exception) {
            unreadable.addOutstanding(entry.key(), entry.value(), exception);
        }
    }

    private void restoreOpenJobs(List<Store.Entry> admissions, List<Store.Entry> finishedTasks) {
        List<String> orphans = new ArrayList<>();
        List<Store.Entry> records = new ArrayList<>(admissions);
        records.addAll(finishedTasks);
        for (Store.Entry entry : records) {
            String id = StoreKeys.jobId(entry.key());
            Job job = cluster.jobs.get(id);
            if (job != null) {
                markUnreadableOnError(job, entry, () -> restorer.restore(job, entry));
            } else if (unreadable.containsOpenJob(id)) {
                unreadable.countAdmissionOfOpenJob(id);
            } else {
                orphans.add(entry.key());
            }
        }
        // After all records are read: a task is not booked if any of them shows it as finished.
        for (Store.Entry entry : admissions) {
            Job job = cluster.jobs.get(StoreKeys.jobId(entry.key()));
            if (job != null) {
                markUnreadableOnError(job, entry, () -> restoreBookings(job, entry));
            }
        }
        recordWriter.deleteInBackground(orphans);
    }

    private void markUnreadableOnError(Job job, Store.Entry entry, Runnable read) {
        try {
            read.run();
        } catch (RuntimeException exception) {
            unreadable.addAdmission(job, entry.key(), exception);
        }
    }

    private void restoreBookings(Job job, Store.Entry admission) {
        long nowMicros = clock.nowMicros();
        AdmissionRecordCodec.visit(admission.value(), (machineName, attempt, first, last) -> {
            for (int task = first; task <= last && task < job.spec().tasks(); task++) {
                restoreBooking(job, task, attempt, machineName, admission.key(), nowMicros);
            }
        });
    }

    /** Books a task as admitted. Of several admissions of the task, the one with the highest attempt counts. */
    private void restoreBooking(Job job, int task, int attempt, String machineName, String recordKey, long nowMicros) {
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
        Booking booking = cluster.book(job, task, attempt, cluster.getOrAddMachine(machineName, nowMicros), nowMicros);
        booking.setRecordKey(recordKey);
        booking.markPersisted();
    }
}
