package org.weldcourse.leader;

import java.util.List;
import org.weldcourse.cluster.ClusterState;
import org.weldcourse.cluster.Job;
import org.weldcourse.fleet.Autoscaler;
import org.weldcourse.http.Server.Reply;
import org.weldcourse.jobs.JobSpec;
import org.weldcourse.persistence.RecordReader;
import org.weldcourse.persistence.RecordWriter;
import org.weldcourse.quota.enforcement.LedgerQuotaEnforcement;
import org.weldcourse.quota.enforcement.QuotaEnforcement;
import org.weldcourse.quota.enforcement.SettingsQuotaEnforcement;
import org.weldcourse.runtime.Timers;
import org.weldcourse.settings.Settings;
import org.weldcourse.store.Transaction;
import org.weldcourse.workers.CommandSelector;
import org.weldcourse.workers.Heartbeat;
import org.weldcourse.workers.HeartbeatReconciler;
import org.weldcourse.workers.StartAuthorization;
import org.weldcourse.workers.WorkerLeaseRenewalBound;

/**
 * One leader's term under one fencing token: creates and connects its components. After a failover the
 * {@link RecordReader} restores the records; the {@link HeartbeatHandler} answers the workers, the
 * {@link AdmissionCycle} admits and preempts tasks, and the {@link Autoscaler} scales out and in. The term owns the
 * cluster's state, which is discarded at its end. All methods run on the event loop of the {@link Timers}.
 */
public final class LeaderTerm {
    private final LeaderTermDependencies dependencies;
    private final long fencingToken;
    private final ClusterState cluster;
    private final RecoveryProgress recovery;
    private final RecordWriter recordWriter;
    private final RecordReader recordReader;
    private final QuotaEnforcement quotas;
    private final Autoscaler autoscaler;
    private final AdmissionCycle cycle;
    private final HeartbeatHandler heartbeats;
    private final BookingChangesTask bookingChanges;

    /**
     * Creates the term of the leader that was elected under this fencing token.
     *
     * @param fencingTokenRevision the store's revision of the key that holds the token; every commit is conditional on
     *     it
     */
    public LeaderTerm(LeaderTermDependencies dependencies, long fencingToken, long fencingTokenRevision) {
        this.dependencies = dependencies;
        this.fencingToken = fencingToken;
        this.cluster = new ClusterState(dependencies.bookingOperations());
        this.recovery = new RecoveryProgress(fencingToken, cluster, dependencies.clock());
        this.recordWriter = newRecordWriter(fencingTokenRevision);
        this.quotas = dependencies
                .recordedQuotas()
                .map(recorded -> recordedQuotas(recorded, fencingTokenRevision))
                .orElseGet(() -> new SettingsQuotaEnforcement(cluster, dependencies.settings()));
        WorkerLeaseRenewalBound leaseRenewalBound =
                new WorkerLeaseRenewalBound(dependencies.settings().workers());
        this.recordReader = new RecordReader(
                dependencies.store(),
                dependencies.clock(),
                dependencies.timers(),
                cluster,
                quotas,
                recordWriter,
                leaseRenewalBound,
                dependencies.settings().storeLimits().requestsPerSecond(),
                new RecordReaderListener());
        this.autoscaler = newAutoscaler();
        StartAuthorization startAuthorization = new StartAuthorization(cluster, quotas, dependencies.startCounts());
        startAuthorization.logFirstStarts();
        CommandSelector commands = new CommandSelector(cluster, startAuthorization);
        HeartbeatReconciler reconciler = new HeartbeatReconciler(
                cluster, fencingToken, dependencies.settings().workers().leaseMicros(), startAuthorization);
        this.cycle = new AdmissionCycle(
                dependencies, fencingToken, recovery, cluster, quotas, recordWriter, commands, autoscaler);
        this.bookingChanges = new BookingChangesTask(
                cluster, fencingToken, dependencies.clock(), dependencies.timers(), cycle::wakeForEvent);
        this.heartbeats = new HeartbeatHandler(
                dependencies,
                fencingToken,
                cluster,
                autoscaler,
                commands,
                reconciler,
                recovery,
                leaseRenewalBound,
                recordReader.readBarrier(),
                cycle::wakeForEvent);
    }

    private RecordWriter newRecordWriter(long fencingTokenRevision) {
        return new RecordWriter(
                dependencies.store(),
                dependencies.clock(),
                dependencies.timers(),
                dependencies.settings().storeLimits(),
                fencingTokenRevision,
                new RecordWriterListener());
    }

    private Autoscaler newAutoscaler() {
        return new Autoscaler(
                cluster,
                dependencies.cloud(),
                dependencies.machineTypes(),
                dependencies.settings(),
                dependencies.operatorSettings(),
                fencingToken,
                dependencies.clock(),
                dependencies.timers(),
                new AutoscalerTermAdapter());
    }

    private QuotaEnforcement recordedQuotas(
            LeaderTermDependencies.RecordedTeamQuotas recorded, long fencingTokenRevision) {
        return new LedgerQuotaEnforcement(
                cluster,
                dependencies.settings(),
                recorded.ledger(),
                recorded.planner(),
                recordWriter,
                dependencies.timers(),
                fencingTokenRevision,
                new QuotaTermAdapter());
    }

    /** Starts the term by restoring the predecessor's records. */
    public void start() {
        cycle.start();
        bookingChanges.start();
        quotas.begin();
        recordReader.load();
    }

    /** Ends the term: its components stop, and responses to its requests are ignored. */
    public void stop() {
        cycle.cancel();
        bookingChanges.cancel();
        heartbeats.stop();
        recordReader.stop();
        recordWriter.stop();
        quotas.end();
        autoscaler.cancel();
    }

    /**
     * Answers a worker's heartbeat: 503 while this leader may not renew workers' leases, otherwise 200 with the
     * commands for the worker. A response with 200 renews the worker's lease.
     */
    public void handleHeartbeat(Heartbeat heartbeat, Reply reply) {
        heartbeats.handle(heartbeat, reply);
    }

    /** Reports the metrics of this term. */
    public void reportTo(LeaderTermMetrics metrics) {
        metrics.reportTerm(
                fencingToken,
                recovery.isComplete(),
                recovery.revision(),
                cluster.outstandingJobs.size(),
                cluster.tasksOfUnknownJobs());
        cycle.reportTo(metrics);
        for (Settings.Team team : dependencies.settings().teams()) {
            String name = team.name();
            metrics.reportTeam(
                    name,
                    cluster.quotaUsage.bookedBy(name),
                    cluster.quotaUsage.unbookedBy(name),
                    cluster.releasedOnRecord(name),
                    quotas.limit(name));
        }
    }

    /** Handles the results of writes. */
    private final class RecordWriterListener implements RecordWriter.Listener {
        @Override
        public void recordWritten(Job job) {
            cycle.wakeForEvent();
        }

        @Override
        public void jobRecordChanged(Job job) {
            recordReader.rereadJob(job);
        }

        @Override
        public void fencingTokenSuperseded() {
            dependencies.election().fencingTokenSuperseded();
        }

        @Override
        public void addAdmissionConditions(Transaction admission, Job job) {
            quotas.addPreconditions(admission, job);
        }

        @Override
        public boolean isQuotaLimited(Job job) {
            return quotas.isLimited(job.spec().team());
        }

        @Override
        public boolean allowsOnRecord(Job job, int tasksTakenOffRecord) {
            boolean isAllowed = quotas.allowsOnRecord(
                    job.spec().team(), job.spec().quotaPerTask().times(tasksTakenOffRecord));
            if (!isAllowed) {
                dependencies.startCounts().countAdmissionWithheld();
            }
            return isAllowed;
        }

        @Override
        public void conditionsFailed(Job job, List<Object> keys) {
            quotas.preconditionFailed(job, keys);
        }
    }

    /** Handles the records that were read. */
    private final class RecordReaderListener implements RecordReader.Listener {
        @Override
        public void recordsLoaded(int records, long revision) {
            recovery.completed(records, revision);
            RecoveredQuotaLog.log(fencingToken, dependencies.settings().teams(), cluster, quotas);
            cycle.wakeIn(0);
        }

        @Override
        public void jobLoaded(JobSpec job) {
            autoscaler.jobLoaded(job);
        }

        @Override
        public void jobsChanged() {
            cycle.wakeForEvent();
        }
    }

    /** Tells the autoscaler whether this leader's lease is valid, and handles the deletion of machines. */
    private final class AutoscalerTermAdapter implements Autoscaler.Term {
        @Override
        public boolean isLeaseValid() {
            return dependencies.election().isLeaseValid();
        }

        @Override
        public void machinesDeleted() {
            cycle.wakeForEvent();
        }
    }

    /** Reads jobs for the recorded quotas, and handles changes to the quotas. */
    private final class QuotaTermAdapter implements LedgerQuotaEnforcement.TermCallbacks {
        @Override
        public void readOpenJobs() {
            recordReader.readChangesForQuotas();
        }

        @Override
        public void quotaChanged() {
            cycle.wakeForEvent();
        }

        @Override
        public long nowMicros() {
            return dependencies.clock().nowMicros();
        }
    }
}
