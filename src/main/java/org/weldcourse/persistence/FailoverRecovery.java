package org.weldcourse.persistence;

import org.weldcourse.cluster.ClusterState;
import org.weldcourse.jobs.StoreKeys;
import org.weldcourse.runtime.Clock;
import org.weldcourse.runtime.Timers;
import org.weldcourse.store.Store;
import org.weldcourse.store.Store.Outcome;

/** Recovery after a failover: reads the records and restores finished tasks and bookings from them. */
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
        restoreInParts(
                new RecordRestoration(cluster, clock, restorer, unreadable, admissions, finishedTasks, outstanding),
                admissions.revision());
    }

    /** Restores the records in parts, so that heartbeats and users are answered meanwhile. */
    private void restoreInParts(RecordRestoration restoration, long revision) {
        if (stopped) {
            return;
        }
        if (!restoration.restorePart()) {
            timers.after(0, () -> restoreInParts(restoration, revision));
            return;
        }
        recordWriter.deleteInBackground(restoration.orphans());
        unreadable.countUnbookedTasks();
        listener.recordsLoaded(restoration.recordCount(), revision);
    }
}
