package org.weldcourse.fleet;

import java.util.List;
import java.util.Set;
import org.weldcourse.cluster.ClusterState;
import org.weldcourse.cluster.Machine;
import org.weldcourse.jobs.JobSpec;
import org.weldcourse.runtime.Clock;
import org.weldcourse.runtime.ScheduledTask;
import org.weldcourse.runtime.Timers;
import org.weldcourse.settings.OperatorSettings;
import org.weldcourse.settings.Settings;
import org.weldcourse.store.RateLimiter;

/**
 * The leader's autoscaler: once a second it scales out for pending work and for the warm pools, and scales in by
 * machines that are idle, lost, faulty or never came up. Machines that the cloud lists and nobody here knows are
 * adopted.
 */
public final class Autoscaler extends ScheduledTask {
    /** The time from one step to the next. */
    static final long STEP_MICROS = 1_000_000;
    /** The part of the cloud's request rate that is used at most, in the long run. */
    private static final double MAX_CALL_RATE_SHARE = 0.8;

    private final ClusterState cluster;
    private final MachineTypeCatalog types;
    private final Term term;
    private final RateLimiter callLimiter;
    private final MachineInventory inventory;
    private final WarmPools warmPools;
    private final ScaleOut scaleOut;
    private final ScaleIn scaleIn;
    private final CostBreakdown costs = new CostBreakdown();
    private List<CapacityDemand> demand = List.of();
    private Set<String> reservedMachines = Set.of();

    /** The leader's term that the fleet is scaled for. */
    public interface Term {
        /** Whether the leader lease holds: without it the fleet is neither scaled out nor in. */
        boolean leaseHolds();

        /** The cloud confirmed that machines are deleted: their tasks may be placed elsewhere. */
        void machinesDeleted();
    }

    /**
     * The autoscaler of a term that begins now.
     *
     * @param fencingToken of the term; request ids that are made of it are never used again
     */
    public Autoscaler(
            ClusterState cluster,
            CloudClient cloud,
            MachineTypeCatalog types,
            Settings settings,
            OperatorSettings operatorSettings,
            long fencingToken,
            Clock clock,
            Timers timers,
            Term term) {
        super("autoscaler", clock, timers);
        this.cluster = cluster;
        this.types = types;
        this.term = term;
        double callsPerSecond = settings.cloudLimits().requestsPerSecond();
        this.callLimiter = new RateLimiter(clock, callsPerSecond * MAX_CALL_RATE_SHARE, callsPerSecond);
        HeartbeatTimeouts timeouts = new HeartbeatTimeouts(settings.workers());
        long startedMicros = clock.nowMicros();
        this.inventory = new MachineInventory(cluster, cloud, types, clock, this);
        this.warmPools = new WarmPools(cluster, settings.objectives(), operatorSettings);
        this.scaleOut = new ScaleOut(
                cluster,
                cloud,
                types,
                inventory,
                warmPools,
                new FailoverGracePeriod(cluster, timeouts, startedMicros),
                callLimiter,
                fencingToken,
                clock,
                this);
        this.scaleIn = new ScaleIn(
                cluster,
                cloud,
                inventory,
                warmPools,
                new ScaleInPolicy(cluster, timeouts, startedMicros),
                operatorSettings.scaleInDelayMicros(),
                callLimiter,
                term,
                this);
    }

    /** What found no room in the last admission cycle, and the idle machines that are reserved all the same. */
    public void updateDemand(List<CapacityDemand> pending, Set<String> reserved) {
        demand = pending;
        reservedMachines = reserved;
    }

    /** Takes note of a job: classes with an objective for their start get a warm pool. */
    public void jobSeen(JobSpec job) {
        warmPools.jobSeen(job, clock.nowMicros());
    }

    /** Whether the cloud confirmed that the machine is deleted. */
    public boolean isDeleted(String machine) {
        return inventory.isDeleted(machine);
    }

    /** What the machines' time was spent on in this term. */
    public CostBreakdown costs() {
        return costs;
    }

    /** The highest priority of classes with a warm pool that could use such a machine, or null. */
    public JobSpec.Priority startSloPriority(Machine machine) {
        return warmPools.highestPriority(machine);
    }

    @Override
    protected int pauseFactor() {
        return 4;
    }

    @Override
    protected long step() {
        long nowMicros = clock.nowMicros();
        if (types.known().isEmpty() || !term.leaseHolds()) {
            // A deposed leader that is cut off hears no worker: it must not delete its successor's machines.
            return STEP_MICROS / 2;
        }
        warmPools.dropUnused(nowMicros);
        if (inventory.isRefreshDue(nowMicros) && callLimiter.tryAcquire(1)) {
            inventory.refresh(nowMicros);
        }
        scaleOut.retryUnanswered();
        warmPools.measureLoad();
        costs.accrue(cluster.machines.values(), nowMicros);
        scaleIn.step(reservedMachines, nowMicros);
        scaleOut.step(demand, nowMicros);
        return STEP_MICROS;
    }
}
