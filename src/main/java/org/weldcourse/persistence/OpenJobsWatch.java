package org.weldcourse.persistence;

import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
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

/**
 * Reads the records of all open jobs at the start of a term, and again whenever the watch has fallen too far behind. In
 * between, it watches them for changes.
 */
final class OpenJobsWatch {
    private static final Logger LOG = LoggerFactory.getLogger(OpenJobsWatch.class);
    static final long RETRY_MICROS = 300_000;
    /**
     * Timeout of a watch. Each response proves that all changes up to the time at which the watch was sent are known.
     * {@link WorkerLeaseRenewalBound} needs this proof often, so the timeout is short.
     */
    private static final long WATCH_TIMEOUT_MICROS = 1_000_000;

    private final Store store;
    private final Clock clock;
    private final Timers timers;
    private final ClusterState cluster;
    private final QuotaEnforcement quotas;
    private final RecordWriter recordWriter;
    private final WorkerLeaseRenewalBound leaseRenewalBound;
    private final UnreadableRecords unreadable;
    private final RecordReader.Listener listener;

    /** The revision up to which the records of open jobs were read. */
    private long openJobsRevision;

    private boolean readingForQuotas;
    private boolean stopped;

    OpenJobsWatch(
            Store store,
            Clock clock,
            Timers timers,
            ClusterState cluster,
            QuotaEnforcement quotas,
            RecordWriter recordWriter,
            WorkerLeaseRenewalBound leaseRenewalBound,
            UnreadableRecords unreadable,
            RecordReader.Listener listener) {
        this.store = store;
        this.clock = clock;
        this.timers = timers;
        this.cluster = cluster;
        this.quotas = quotas;
        this.recordWriter = recordWriter;
        this.leaseRenewalBound = leaseRenewalBound;
        this.unreadable = unreadable;
        this.listener = listener;
    }

    /** Stops the watch: responses to requests in flight are ignored. */
    void stop() {
        stopped = true;
    }

    /** Reads all open jobs and then watches them; {@code callback} runs once they are read. */
    void load(Runnable callback) {
        if (stopped) {
            return;
        }
        long sentMicros = clock.nowMicros();
        store.list(StoreKeys.OPEN_JOBS, open -> {
            if (stopped) {
                return;
            }
            if (open.outcome() != Outcome.OK) {
                timers.after(RETRY_MICROS, () -> load(callback));
                return;
            }
            applyOpenJobs(open, sentMicros);
            watch(open.revision());
            callback.run();
        });
    }

    private void applyOpenJobs(Store.Listing open, long sentMicros) {
        Set<String> openIds = new HashSet<>();
        for (Store.Entry entry : open.entries()) {
            openIds.add(StoreKeys.jobId(entry.key()));
            applyJobRecord(entry.key(), entry.value(), entry.modRevision());
        }
        cluster.jobs.values().stream()
                .filter(job -> !openIds.contains(job.spec().id()))
                .toList()
                .forEach(this::jobRecordDeleted);
        leaseRenewalBound.recordOpenJobsRead(sentMicros);
        readUpTo(open.revision());
    }

    private void readUpTo(long revision) {
        openJobsRevision = Math.max(openJobsRevision, revision);
        quotas.openJobsReadUpTo(revision);
    }

    /** Reads the changes of open jobs immediately for the quotas, unless such a read is in flight. */
    void readChangesForQuotas() {
        if (stopped || readingForQuotas || openJobsRevision == 0) {
            return;
        }
        readingForQuotas = true;
        readChanges(outcome -> {
            readingForQuotas = false;
            if (!stopped && outcome == Outcome.OK) {
                listener.jobsChanged();
            }
        });
    }

    /**
     * Reads the changes of open jobs immediately, in addition to the watch in flight. The callback receives the outcome
     * after the changes were applied. Only valid once the open jobs were loaded.
     */
    void readChanges(Consumer<Outcome> callback) {
        long sentMicros = clock.nowMicros();
        store.changes(StoreKeys.OPEN_JOBS, openJobsRevision, events -> {
            if (!stopped && events.outcome() == Outcome.OK) {
                applyChanges(events, sentMicros);
                if (!events.events().isEmpty()) {
                    listener.jobsChanged();
                }
            }
            callback.accept(events.outcome());
        });
    }

    private void applyChanges(Store.Events events, long sentMicros) {
        for (Store.Event event : events.events()) {
            if (event.value() != null) {
                applyJobRecord(event.key(), event.value(), event.modRevision());
            } else if (cluster.jobs.containsKey(StoreKeys.jobId(event.key()))) {
                jobRecordDeleted(cluster.jobs.get(StoreKeys.jobId(event.key())));
            }
        }
        leaseRenewalBound.recordOpenJobsRead(sentMicros);
        readUpTo(events.revision());
    }

    private void watch(long revision) {
        long sentMicros = clock.nowMicros();
        store.watch(StoreKeys.OPEN_JOBS, revision, WATCH_TIMEOUT_MICROS, events -> {
            if (stopped) {
                return;
            }
            if (events.outcome() == Outcome.OK) {
                applyChanges(events, sentMicros);
                if (!events.events().isEmpty()) {
                    listener.jobsChanged();
                }
                watch(Math.max(revision, events.revision()));
            } else if (events.outcome() == Outcome.REFUSED) {
                // The watch fell too far behind.
                load(listener::jobsChanged);
            } else {
                timers.after(events.outcome() == Outcome.UNKNOWN ? 0 : RETRY_MICROS, () -> watch(revision));
            }
        });
    }

    /**
     * Reads a job's record again after a write failed its condition on the record. The watch may lag, or the job may
     * have ended in the meantime: without this read the same write would be retried forever.
     */
    void rereadJob(Job job) {
        if (job.isStale() || job.isClosed()) {
            return;
        }
        job.markStale();
        readJob(job);
    }

    private void readJob(Job job) {
        if (stopped) {
            return;
        }
        String key = StoreKeys.openJob(job.spec().id());
        store.get(key, read -> {
            if (read.outcome() == Outcome.OK) {
                applyJobRecord(key, read.entry().value(), read.entry().modRevision());
                recordWriter.rereadRevisions(job, () -> {
                    job.markFresh();
                    listener.jobsChanged();
                });
                return;
            } else if (read.outcome() == Outcome.REFUSED) {
                LOG.info("{}: has already ended", job.spec().id());
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

    /**
     * Handles the deletion of a job's record. Only leaders end jobs: if this one has not, a successor was elected that
     * it does not know of. Nothing of the job is started before its record is read.
     */
    private void jobRecordDeleted(Job job) {
        if (!job.isClosing()) {
            rereadJob(job);
        }
    }

    private void applyJobRecord(String key, Map<String, Object> value, long revision) {
        String id = StoreKeys.jobId(key);
        Job job = cluster.jobs.get(id);
        if (job == null && cluster.outstandingJobs.containsKey(id)) {
            // The watch lags behind the end of the job.
            return;
        }
        if (job == null) {
            try {
                JobSpec spec = JobRecordCodec.decodeSpec(value);
                long ageMicros = Math.max(0, clock.wallMicros() - JobRecordCodec.acceptedWallMicros(value));
                job = new Job(spec, revision, clock.nowMicros() - ageMicros);
            } catch (InvalidJobException invalid) {
                unreadable.addOpenJob(id, key, value, invalid);
                return;
            }
            cluster.jobs.put(id, job);
            listener.jobLoaded(job.spec());
            quotas.jobLoaded(job, value);
        }
        if (revision >= job.records().jobRevision() && !job.isClosed()) {
            job.records().setJobRevision(revision);
            if (JobRecordCodec.isCancelled(value)) {
                job.cancel();
            }
        }
    }
}
