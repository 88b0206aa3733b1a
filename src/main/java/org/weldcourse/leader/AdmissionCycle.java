package org.weldcourse.leader;

import java.util.List;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.weldcourse.admission.CapacityDemandEstimator;
import org.weldcourse.admission.CapacityWaits;
import org.weldcourse.admission.CycleDecisions;
import org.weldcourse.admission.Planner;
import org.weldcourse.admission.SnapshotBuilder;
import org.weldcourse.cluster.Booking;
import org.weldcourse.cluster.BookingGroup;
import org.weldcourse.cluster.ClusterState;
import org.weldcourse.cluster.Job;
import org.weldcourse.cluster.Machine;
import org.weldcourse.cluster.Snapshot;
import org.weldcourse.fleet.Autoscaler;
import org.weldcourse.persistence.RecordWriter;
import org.weldcourse.quota.enforcement.QuotaEnforcement;
import org.weldcourse.runtime.ScheduledTask;
import org.weldcourse.workers.CommandSelector;
import org.weldcourse.workers.DirectCommands;

/**
 * The admission cycle of a leader's term. Each cycle persists finished work, admits pending tasks against a snapshot of
 * the cluster, and sends stop commands to workers. A cycle runs soon after each relevant event, and at least once a
 * second.
 */
final class AdmissionCycle extends ScheduledTask {
    private static final Logger LOG = LoggerFactory.getLogger(AdmissionCycle.class);
    private static final long MAX_CYCLE_INTERVAL_MICROS = 1_000_000;
    /** Delay after an event, so that one cycle handles several events. */
    private static final long EVENT_BATCH_DELAY_MICROS = 10_000;
    /** Pause after a cycle per machine and job, which leaves processor time for heartbeats and user requests. */
    private static final long PAUSE_PER_ITEM_MICROS = 200;
    /**
     * How far ahead tasks of arrays are booked, in heartbeat intervals: about the time until the machine can receive
     * other commands.
     */
    private static final double LOOKAHEAD_HEARTBEATS = 0.75;
    /** A cycle that starts this late indicates processor overload. */
    private static final long OVERLOAD_DELAY_MICROS = 100_000;

    private static final long STATUS_INTERVAL_MICROS = 30_000_000;

    private final LeaderTermDependencies dependencies;
    private final long fencingToken;
    private final RecoveryProgress recovery;
    private final ClusterState cluster;
    private final QuotaEnforcement quotas;
    private final RecordWriter recordWriter;
    private final Autoscaler autoscaler;
    private final SnapshotBuilder snapshots;
    private final CapacityDemandEstimator demandEstimator;
    private final CapacityWaits capacityWaits = new CapacityWaits();
    private final WaitingJobs waitingJobs;
    private final TaskEviction taskEviction;
    private final JobCompletionHandler jobCompletion;
    private final ReleasedTaskCleanup releasedTaskCleanup;
    private final DirectCommands directCommands;
    private final int maxTasksPerAdmission;

    private final AdmissionWriter admissions;

    private long nextStatusMicros;
    private long nextDutiesMicros;
    private long earliestCycleMicros;
    private int tasksWaitingForQuota;

    /** Creates the cycle of a term; it admits nothing before the recovery is complete. */
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
        this.waitingJobs = new WaitingJobs(cluster, capacityWaits, autoscaler);
        this.taskEviction =
                new TaskEviction(cluster, dependencies.settings().workers().gangWaitMicros());
        this.jobCompletion = new JobCompletionHandler(cluster, recordWriter, quotas, taskEviction, this::wakeIn);
        this.releasedTaskCleanup = new ReleasedTaskCleanup(cluster, quotas, recordWriter);
        this.directCommands = new DirectCommands(
                cluster,
                commands,
                dependencies.httpClient(),
                fencingToken,
                dependencies.settings().workerCommandSockets());
        this.admissions = new AdmissionWriter(cluster, recordWriter, dependencies.clock(), this::wakeForEvent);
        this.maxTasksPerAdmission =
                RecordWriter.maxTasksPerAdmission(dependencies.settings().storeLimits());
    }

    /**
     * Schedules a cycle after an event. The cost of a cycle grows with the number of machines and jobs, so cycles of a
     * large cluster are further apart.
     */
    void wakeForEvent() {
        wakeIn(Math.max(EVENT_BATCH_DELAY_MICROS, earliestCycleMicros - clock.nowMicros()));
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
        if (admissions.isBooking()) {
            // Nothing is planned before all admissions of the last cycle are booked.
            admissions.bookPart();
            if (nowMicros < nextDutiesMicros) {
                return 0;
            }
        }
        nextDutiesMicros = nowMicros + MAX_CYCLE_INTERVAL_MICROS;
        jobCompletion.processAll(nowMicros);
        for (Machine machine : cluster.machines.values()) {
            taskEviction.evictBeforeReclaim(machine, nowMicros);
        }
        if (!admissions.isBooking() && dependencies.election().isLeaseValid()) {
            quotas.bookingsOverQuota().forEach(taskEviction::evict);
            admitPending(nowMicros);
        }
        if (!autoscaler.isRunning()) {
            // Only after a cycle has determined the demand: an earlier step would be costly and find nothing to do.
            autoscaler.start();
        }
        directCommands.send(lateMicros() >= OVERLOAD_DELAY_MICROS, clock.nowMicros());
        earliestCycleMicros =
                clock.nowMicros() + PAUSE_PER_ITEM_MICROS * (cluster.machines.size() + cluster.jobs.size());
        logStatus(nowMicros);
        return admissions.isBooking() ? 0 : MAX_CYCLE_INTERVAL_MICROS;
    }

    private void admitPending(long nowMicros) {
        CycleDecisions decisions = Planner.decide(
                snapshots.snapshot(nowMicros, autoscaler::startSloPriority),
                new Planner.CycleLimits(maxTasksPerAdmission, recordWriter.maxAdmissions(), (long)
                        (dependencies.settings().workers().heartbeatIntervalMicros() * LOOKAHEAD_HEARTBEATS)));
        decisions.preemptions().forEach(this::preempt);
        admissions.begin(decisions.admissions(), () -> finishCycle(decisions));
    }

    /** Ends a cycle once its admissions are booked: what is left over rests on all of them. */
    private void finishCycle(CycleDecisions decisions) {
        countAndLogPending(decisions.pending());
        long nowMicros = clock.nowMicros();
        capacityWaits.cycleEnded(decisions, cluster.jobs, nowMicros);
        waitingJobs.cycleEnded(decisions.pending(), nowMicros);
        autoscaler.updateDemand(
                demandEstimator.demand(decisions.pending(), capacityWaits, nowMicros),
                decisions.reservations(),
                decisions.reservedMachines());
        quotas.cycleEnded(decisions.pending(), nowMicros);
        releasedTaskCleanup.run(decisions.pending());
    }

    /** Reports the metrics of the pending tasks. */
    void reportTo(LeaderTermMetrics metrics) {
        waitingJobs.reportTo(metrics, clock.nowMicros());
    }

    private void preempt(CycleDecisions.Preemption preemption) {
        Job job = cluster.jobs.get(preemption.job());
        if (job == null) {
            return;
        }
        if (preemption.task() == Snapshot.ANY_WAITING_TASK) {
            preemptWaiting(job, preemption);
            return;
        }
        Booking booking = job.booking(preemption.task());
        if (booking != null && !booking.isStopRequested()) {
            LOG.debug("{} attempt {} is preempted on {}", booking.taskId(), booking.attempt(), booking.machine().name);
            taskEviction.evict(booking);
        }
    }

    private void preemptWaiting(Job job, CycleDecisions.Preemption preemption) {
        for (BookingGroup group : job.bookings().groups()) {
            if (group.machine().name.equals(preemption.machine())) {
                LOG.debug(
                        "{}: {} waiting tasks are preempted on {}",
                        preemption.job(),
                        preemption.count(),
                        preemption.machine());
                taskEviction.evictWaiting(group, preemption.count());
                return;
            }
        }
    }

    private void countAndLogPending(List<CycleDecisions.PendingTasks> pending) {
        tasksWaitingForQuota = 0;
        for (CycleDecisions.PendingTasks item : pending) {
            if (LOG.isDebugEnabled()) {
                LOG.debug(
                        "{}: {} tasks wait for {}",
                        item.spec().id(),
                        item.tasks(),
                        item.blockedByQuota() ? "their team's quota limit" : "free capacity");
            }
            tasksWaitingForQuota += item.blockedByQuota() ? item.tasks() : 0;
        }
    }

    private void logStatus(long nowMicros) {
        if (nowMicros < nextStatusMicros || cluster.jobs.isEmpty() && cluster.machines.isEmpty()) {
            return;
        }
        nextStatusMicros = nowMicros + STATUS_INTERVAL_MICROS;
        LOG.info(
                "fencing token {}: {}",
                fencingToken,
                LeaderStatusLine.format(
                        cluster,
                        quotas,
                        tasksWaitingForQuota,
                        autoscaler.costs(),
                        snapshots.heartbeatTimeoutMicros(),
                        nowMicros));
    }
}
