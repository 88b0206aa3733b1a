package org.weldcourse.fleet;

import java.util.List;
import java.util.Map;
import java.util.Set;
import org.weldcourse.cluster.ClusterState;
import org.weldcourse.cluster.Machine;
import org.weldcourse.jobs.JobSpec;
import org.weldcourse.placement.WaitReason;
import org.weldcourse.runtime.Clock;
import org.weldcourse.runtime.ScheduledTask;
import org.weldcourse.runtime.Timers;
import org.weldcourse.settings.OperatorSettings;
import org.weldcourse.settings.Settings;
import org.weldcourse.store.RateLimiter;

/**
 * The leader's autoscaler. Once a second it scales out for pending work and for the warm pools, and deletes machines
 * that are idle, lost, faulty or failed to boot. Unknown machines on the cloud's list are adopted.
 */
public final class Autoscaler extends ScheduledTask {
    /** Interval between two steps. */
    static final long STEP_MICROS = 1_000_000;
    /** Maximum sustained call rate, as a share of the cloud's request rate limit. */
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

    /** The leader's term during which the autoscaler runs. */
    public interface Term {
        /** Returns whether the leader lease is valid; without it the autoscaler does nothing. */
        boolean isLeaseValid();

        /** Called when the cloud confirms the deletion of machines, so that their tasks can be placed elsewhere. */
        void machinesDeleted();
    }

    /**
     * Creates the autoscaler of a term that starts now.
     *
     * @param fencingToken the term's fencing token, which makes request ids unique across terms
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

    /**
     * Updates what the last admission cycle decided.
     *
     * @param pending the demand that it could not place
     * @param reservations the gangs that it reserved machines for, by the machine's name
     * @param machinesInUse names of machines that are kept even if they are idle
     */
    public void updateDemand(
            List<CapacityDemand> pending, Map<String, JobSpec> reservations, Set<String> machinesInUse) {
        demand = pending;
        reservedMachines = machinesInUse;
        cluster.machines.values().forEach(machine -> machine.reservedFor = reservations.get(machine.name));
    }

    /** Returns what the last plan made the pending tasks of a job wait for. */
    public WaitReason waitReason(String job) {
        return scaleOut.waitReason(job);
    }

    /** Records a job; job classes with a start-time objective get a warm pool. */
    public void jobLoaded(JobSpec job) {
        warmPools.jobSeen(job, clock.nowMicros());
    }

    /** Returns whether the cloud has confirmed the machine's deletion. */
    public boolean isDeleted(String machine) {
        return inventory.isDeleted(machine);
    }

    /** Returns the machine costs of this term by activity. */
    public CostBreakdown costs() {
        return costs;
    }

    /** Returns the highest priority among job classes with a warm pool that can use the machine, or null. */
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
        if (types.known().isEmpty() || !term.isLeaseValid()) {
            // A partitioned former leader receives no heartbeats and must not delete its successor's machines.
            return STEP_MICROS / 2;
        }
        warmPools.dropUnused(nowMicros);
        if (inventory.isRefreshDue(nowMicros) && callLimiter.tryAcquire(1)) {
            inventory.refresh(nowMicros);
        }
        scaleOut.retryTimedOutRequests();
        warmPools.measureLoad();
        costs.accrue(cluster.machines.values(), nowMicros);
        scaleIn.step(reservedMachines, nowMicros);
        scaleOut.step(demand, nowMicros);
        return STEP_MICROS;
    }
}
