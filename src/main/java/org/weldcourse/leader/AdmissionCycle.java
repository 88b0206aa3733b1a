package org.weldcourse.leader;

import java.util.List;
import java.util.Map;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.weldcourse.admission.CapacityDemandEstimator;
import org.weldcourse.admission.CycleDecisions;
import org.weldcourse.admission.Planner;
import org.weldcourse.admission.SnapshotBuilder;
import org.weldcourse.cluster.AttemptBookings;
import org.weldcourse.cluster.Booking;
import org.weldcourse.cluster.ClusterState;
import org.weldcourse.cluster.Job;
import org.weldcourse.cluster.Machine;
import org.weldcourse.cluster.ReleaseReason;
import org.weldcourse.fleet.Autoscaler;
import org.weldcourse.persistence.RecordWriter;
import org.weldcourse.quota.enforcement.QuotaEnforcement;
import org.weldcourse.runtime.ScheduledTask;
import org.weldcourse.workers.CommandSelector;
import org.weldcourse.workers.DirectCommands;

/**
 * The admission cycle of a leader's term: finished work is put on record, what waits is admitted against a snapshot of
 * the cluster, and what must stop is sent its command. A cycle follows each event that it may act on, and comes at the
 * latest a second after the one before.
 */
final class AdmissionCycle extends ScheduledTask {
    private static final Logger LOG = LoggerFactory.getLogger(AdmissionCycle.class);
    private static final long IDLE_CYCLE_MICROS = 1_000_000;
    /** How long an event waits for others that the same cycle can act on. */
    private static final long EVENT_DELAY_MICROS = 10_000;
    /** The pause after a cycle for each machine and job that it looked at: it is left to heartbeats and users. */
    private static final long PAUSE_PER_ITEM_MICROS = 200;
    /** How far ahead arrays are booked, in heartbeats: about the time until a machine could be told otherwise. */
    private static final double BOOK_AHEAD_HEARTBEATS = 0.75;
    /** Cycles that begin this late show that the processor does not keep up. */
    private static final long OVERLOADED_MICROS = 100_000;

    private static final long STATUS_MICROS = 30_000_000;

    private final LeaderTermDependencies dependencies;
    private final long fencingToken;
    private final RecoveryProgress recovery;
    private final ClusterState cluster;
    private final QuotaEnforcement quotas;
    private final RecordWriter recordWriter;
    private final Autoscaler autoscaler;
    private final SnapshotBuilder snapshots;
    private final CapacityDemandEstimator demandEstimator;
    private final TaskEviction taskEviction;
    private final JobEndings jobEndings;
    private final DirectCommands directCommands;
    private final int maxTasksPerAdmission;

    private long nextStatusMicros;
    private long earliestCycleMicros;
    private int tasksWaitingForQuota;

    /** The cycle of a term; it admits nothing before the recovery is complete. */
    AdmissionCycle(
            LeaderTermDependencies dependencies,
            long fencingToken,
            RecoveryProgress recovery,
            ClusterState cluster,
            QuotaEnforcement quotas,
            RecordWriter recordWriter,
            CommandSelector commands,
            Autoscaler autoscaler) {
        super("admission cycle " + fencingToken, dependencies.clock(), dependencies.timers());
        this.dependencies = dependencies;
        this.fencingToken = fencingToken;
        this.recovery = recovery;
        this.cluster = cluster;
        this.quotas = quotas;
        this.recordWriter = recordWriter;
        this.autoscaler = autoscaler;
        this.snapshots = new SnapshotBuilder(cluster, dependencies.settings(), quotas);
        this.demandEstimator = new CapacityDemandEstimator(cluster, dependencies.settings());
        this.taskEviction =
                new TaskEviction(cluster, dependencies.settings().workers().gangWaitMicros());
        this.jobEndings = new JobEndings(cluster, recordWriter, quotas, taskEviction, this::wakeIn);
        this.directCommands = new DirectCommands(
                cluster,
                commands,
                dependencies.caller(),
                fencingToken,
                dependencies.settings().directSockets());
        this.maxTasksPerAdmission =
                RecordWriter.maxTasksPerAdmission(dependencies.settings().storeLimits());
    }

    /**
     * Something happened that a cycle may act on. A cycle costs in step with what it looks at, so a large cluster has to
     * wait a little longer for the next one.
     */
    void wakeForEvent() {
        wakeIn(Math.max(EVENT_DELAY_MICROS, earliestCycleMicros - clock.nowMicros()));
    }

    @Override
    protected int pauseFactor() {
        return 2;
    }

    @Override
    protected long step() {
        if (!recovery.isComplete()) {
            return -1;
        }
        long nowMicros = clock.nowMicros();
        jobEndings.processAll(nowMicros);
        for (Machine machine : cluster.machines.values()) {
            taskEviction.evictBeforeReclaim(machine, nowMicros);
        }
        if (dependencies.election().isLeaseValid()) {
            quotas.bookingsOverQuota().forEach(taskEviction::evict);
            admitWaiting(nowMicros);
        }
        if (!autoscaler.isRunning()) {
            // Not before it is known what waits: a step that costs a new leader much would find nothing to do.
            autoscaler.start();
        }
        directCommands.send(lateMicros() >= OVERLOADED_MICROS);
        earliestCycleMicros =
                clock.nowMicros() + PAUSE_PER_ITEM_MICROS * (cluster.machines.size() + cluster.jobs.size());
        logStatus(nowMicros);
        return IDLE_CYCLE_MICROS;
    }

    private void admitWaiting(long nowMicros) {
        CycleDecisions decisions = Planner.decide(
                snapshots.snapshot(nowMicros, autoscaler::startSloPriority),
                new Planner.CycleLimits(maxTasksPerAdmission, recordWriter.maxAdmissions(), (long)
                        (dependencies.settings().workers().heartbeatIntervalMicros() * BOOK_AHEAD_HEARTBEATS)));
        decisions.preemptions().forEach(this::preempt);
        for (CycleDecisions.Admission admission : decisions.admissions()) {
            admit(cluster.jobs.get(admission.job()), admission.tasks(), nowMicros);
        }
        countAndLogWaiting(decisions.pending());
        autoscaler.updateDemand(demandEstimator.demand(decisions.pending()), decisions.reservedMachines());
        quotas.cycleEnded(decisions.pending(), nowMicros);
    }

    private void preempt(CycleDecisions.Preemption preemption) {
        Job job = cluster.jobs.get(preemption.job());
        Booking booking = job == null ? null : job.booking(preemption.task());
        if (booking != null && !booking.isStopRequested()) {
            LOG.debug("{} attempt {} is preempted on {}", booking.taskId(), booking.attempt(), booking.machine().name);
            taskEviction.evict(booking);
        }
    }

    /** Books the tasks at once and writes the admission; a write that fails frees the bookings. */
    private void admit(Job job, Map<String, int[]> tasksByMachine, long nowMicros) {
        int attempt = job.lastAttempt() + 1;
        List<Booking> booked = AttemptBookings.book(cluster, job, attempt, tasksByMachine, nowMicros);
        recordWriter.admit(job, attempt, booked, onRecord -> {
            if (onRecord) {
                LOG.debug(
                        "{} attempt {}: {} tasks admitted on {}",
                        job.spec().id(),
                        attempt,
                        booked.size(),
                        tasksByMachine.keySet());
                booked.forEach(booking -> {
                    booking.markPersisted();
                    booking.machine().hasUnsentCommands = true;
                });
            } else {
                booked.forEach(booking -> cluster.release(booking, ReleaseReason.ADMISSION_REFUSED, clock.nowMicros()));
            }
            wakeForEvent();
        });
    }

    private void countAndLogWaiting(List<CycleDecisions.PendingTasks> waiting) {
        tasksWaitingForQuota = 0;
        for (CycleDecisions.PendingTasks item : waiting) {
            if (LOG.isDebugEnabled()) {
                LOG.debug(
                        "{}: {} tasks wait for {}",
                        item.spec().id(),
                        item.tasks(),
                        item.blockedByQuota() ? "their team's limit" : "room");
            }
            tasksWaitingForQuota += item.blockedByQuota() ? item.tasks() : 0;
        }
    }

    private void logStatus(long nowMicros) {
        if (nowMicros < nextStatusMicros || cluster.jobs.isEmpty() && cluster.machines.isEmpty()) {
            return;
        }
        nextStatusMicros = nowMicros + STATUS_MICROS;
        LOG.info(
                "fencing token {}: {}",
                fencingToken,
                LeaderStatusLine.of(
                        cluster,
                        quotas,
                        tasksWaitingForQuota,
                        autoscaler.costs(),
                        snapshots.heartbeatTimeoutMicros(),
                        nowMicros));
    }
}
