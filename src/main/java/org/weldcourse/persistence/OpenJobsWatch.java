package org.weldcourse.persistence;

import java.util.Map;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.weldcourse.cluster.ClusterState;
import org.weldcourse.cluster.Job;
import org.weldcourse.jobs.InvalidJobException;
import org.weldcourse.jobs.JobRecordCodec;
import org.weldcourse.jobs.JobSpec;
import org.weldcourse.jobs.StoreKeys;
import org.weldcourse.quota.enforcement.QuotaEnforcement;
import org.weldcourse.runtime.Clock;
import org.weldcourse.runtime.Timers;
import org.weldcourse.store.Store;
import org.weldcourse.store.Store.Outcome;
import org.weldcourse.workers.WorkerLeaseRenewalBound;

/** The records of open jobs: all of them at first and when the watch fell too far behind, else what changes of them. */
final class OpenJobsWatch {
    private static final Logger LOG = LoggerFactory.getLogger(OpenJobsWatch.class);
    static final long RETRY_MICROS = 300_000;
    /** Each watch that comes back shows that nothing is missing up to its sending, so they are short: see WorkerLeaseRenewalBound. */
    private static final long WATCH_MICROS = 1_000_000;

    private final Store store;
    private final Clock clock;
    private final Timers timers;
    private final ClusterState cluster;
    private final QuotaEnforcement quotas;
    private final RecordWriter recorder;
    private final WorkerLeaseRenewalBound renewals;
    private final UnreadableRecords unreadable;
    private final RecordReader.Listener listener;

    /** The records of open jobs were read up to this revision. */
    private long openRevision;

    private boolean readingChanges;
    private boolean ended;

    OpenJobsWatch(
            Store store,
            Clock clock,
            Timers timers,
            ClusterState cluster,
            QuotaEnforcement quotas,
            RecordWriter recorder,
            WorkerLeaseRenewalBound renewals,
            UnreadableRecords unreadable,
            RecordReader.Listener listener) {
        this.store = store;
        this.clock = clock;
        this.timers = timers;
        this.cluster = cluster;
        this.quotas = quotas;
        this.recorder = recorder;
        this.renewals = renewals;
        this.unreadable = unreadable;
        this.listener = listener;
    }

    /** Nothing that is still under way counts any more. */
    void end() {
        ended = true;
    }

    /** Reads all open jobs, and watches them from then on; {@code then} runs once they are read. */
    void load(Runnable then) {
        if (ended) {
            return;
        }
        long sentMicros = clock.nowMicros();
        store.list(StoreKeys.OPEN_JOBS, open -> {
            if (ended) {
                return;
            }
            if (open.outcome() != Outcome.OK) {
                timers.after(RETRY_MICROS, () -> load(then));
                return;
            }
            openJobsRead(open, sentMicros);
            watch(open.revision());
            then.run();
        });
    }

    private void openJobsRead(Store.Listing open, long sentMicros) {
        for (Store.Entry entry : open.entries()) {
            jobRead(entry.key(), entry.value(), entry.modRevision());
        }
        renewals.recordOpenJobsRead(sentMicros);
        readUpTo(open.revision());
    }

    private void readUpTo(long revision) {
        openRevision = Math.max(openRevision, revision);
        quotas.openJobsReadUpTo(revision);
    }

    /** Reads what changed of the open jobs at once, beside the watch that is under way. */
    void readChanges() {
        if (ended || readingChanges || openRevision == 0) {
            return;
        }
        readingChanges = true;
        long sentMicros = clock.nowMicros();
        store.changes(StoreKeys.OPEN_JOBS, openRevision, events -> {
            readingChanges = false;
            if (!ended && events.outcome() == Outcome.OK) {
                changesRead(events, sentMicros);
                listener.jobsChanged();
            }
        });
    }

    private void changesRead(Store.Events events, long sentMicros) {
        for (Store.Event event : events.events()) {
            if (event.value() != null) {
                jobRead(event.key(), event.value(), event.modRevision());
            }
        }
        renewals.recordOpenJobsRead(sentMicros);
        readUpTo(events.revision());
    }

    private void watch(long revision) {
        long sentMicros = clock.nowMicros();
        store.watch(StoreKeys.OPEN_JOBS, revision, WATCH_MICROS, events -> {
            if (ended) {
                return;
            }
            if (events.outcome() == Outcome.OK) {
                changesRead(events, sentMicros);
                if (!events.events().isEmpty()) {
                    listener.jobsChanged();
                }
                watch(Math.max(revision, events.revision()));
            } else if (events.outcome() == Outcome.REFUSED) {
                // It fell too far behind.
                load(listener::jobsChanged);
            } else {
                timers.after(events.outcome() == Outcome.UNKNOWN ? 0 : RETRY_MICROS, () -> watch(revision));
            }
        });
    }

    /**
     * A write was refused because the job's record is not what it was. The watch may lag, or may have told of a job
     * that is over by now: without reading it again the same write would be tried for ever.
     */
    void rereadJob(Job job) {
        if (job.isStale() || job.isClosed()) {
            return;
        }
        job.markStale();
        readJob(job);
    }

    private void readJob(Job job) {
        if (ended) {
            return;
        }
        String key = StoreKeys.openJob(job.spec().id());
        store.get(key, read -> {
            if (read.outcome() == Outcome.OK) {
                jobRead(key, read.entry().value(), read.entry().modRevision());
                recorder.rereadRevisions(job, () -> {
                    job.markFresh();
                    listener.jobsChanged();
                });
                return;
            } else if (read.outcome() == Outcome.REFUSED) {
                LOG.info("{}: over already", job.spec().id());
                job.markClosed();
                cluster.evict(job, 0);
            } else {
                timers.after(RETRY_MICROS, () -> readJob(job));
                return;
            }
            job.markFresh();
            listener.jobsChanged();
        });
    }

    private void jobRead(String key, Map<String, Object> value, long version) {
        String id = StoreKeys.jobId(key);
        Job job = cluster.jobs.get(id);
        if (job == null && cluster.outstandingJobs.containsKey(id)) {
            // The watch lags behind the job's end.
            return;
        }
        if (job == null) {
            try {
                JobSpec spec = JobRecordCodec.decodeSpec(value);
                long ageMicros = Math.max(0, clock.wallMicros() - JobRecordCodec.acceptedWallMicros(value));
                job = new Job(spec, version, clock.nowMicros() - ageMicros);
            } catch (InvalidJobException invalid) {
                unreadable.openJob(id, key, value, invalid);
                return;
            }
            cluster.jobs.put(id, job);
            listener.jobSeen(job.spec());
            quotas.jobLoaded(job, value);
        }
        if (version >= job.records().jobRevision() && !job.isClosed()) {
            job.records().setJobRevision(version);
            if (JobRecordCodec.isCancelled(value)) {
                job.cancel();
            }
        }
    }
}
