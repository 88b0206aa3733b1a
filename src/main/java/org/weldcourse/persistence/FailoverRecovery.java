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

/** Recovery after a failover: books again what the records say is admitted, and notes what has finished. */
final class FailoverRecovery {
    private final Store store;
    private final Clock clock;
    private final Timers timers;
    private final ClusterState cluster;
    private final RecordWriter recorder;
    private final JobRecordRestorer restorer;
    private final UnreadableRecords unreadable;
    private final RecordReader.Listener listener;
    private boolean ended;

    FailoverRecovery(
            Store store,
            Clock clock,
            Timers timers,
            ClusterState cluster,
            RecordWriter recorder,
            UnreadableRecords unreadable,
            RecordReader.Listener listener) {
        this.store = store;
        this.clock = clock;
        this.timers = timers;
        this.cluster = cluster;
        this.recorder = recorder;
        this.restorer = recorder.restorer();
        this.unreadable = unreadable;
        this.listener = listener;
    }

    /** Nothing that is still under way counts any more. */
    void end() {
        ended = true;
    }

    /** Reads the records of the jobs that are open, and of what may still be on machines of others. */
    void load() {
        if (ended) {
            return;
        }
        store.list(
                StoreKeys.ADMISSIONS,
                admissions -> store.list(
                        StoreKeys.FINISHED_TASKS,
                        finishedTasks -> store.list(
                                StoreKeys.OUTSTANDING,
                                outstanding -> recordsRead(admissions, finishedTasks, outstanding))));
    }

    private void recordsRead(Store.Listing admissions, Store.Listing finishedTasks, Store.Listing outstanding) {
        if (ended) {
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
        unreadable.allRead();
        int records = admissions.entries().size()
                + finishedTasks.entries().size()
                + outstanding.entries().size();
        listener.recordsLoaded(records, admissions.revision());
    }

    /** What may still be on machines of a job that is over counts and is stopped, as under the leader before. */
    private void restoreOutstanding(Store.Entry entry) {
        try {
            Job job = OutstandingRecord.restore(cluster, entry.value(), clock.nowMicros());
            cluster.outstandingJobs.put(job.spec().id(), job);
        } catch (RuntimeException | InvalidJobException why) {
            unreadable.outstanding(entry.key(), entry.value(), why);
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
                noteIfUnreadable(job, entry, () -> restorer.restore(job, entry));
            } else if (unreadable.isOpenJob(id)) {
                unreadable.admissionOfOpenJob(id);
            } else {
                orphans.add(entry.key());
            }
        }
        // Only now, since what has finished is not booked again, whichever record says so.
        for (Store.Entry entry : admissions) {
            Job job = cluster.jobs.get(StoreKeys.jobId(entry.key()));
            if (job != null) {
                noteIfUnreadable(job, entry, () -> restoreBookings(job, entry));
            }
        }
        recorder.deleteInBackground(orphans);
    }

    private void noteIfUnreadable(Job job, Store.Entry entry, Runnable read) {
        try {
            read.run();
        } catch (RuntimeException why) {
            unreadable.admission(job, entry.key(), why);
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

    /** A task may stand in several records; the last of its admissions is the one that counts. */
    private void restoreBooking(Job job, int task, int attempt, String machineName, String recordKey, long nowMicros) {
        job.recordAttempt(attempt);
        Booking earlier = job.booking(task);
        if (job.isDone(task) || earlier != null && earlier.attempt() >= attempt) {
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
