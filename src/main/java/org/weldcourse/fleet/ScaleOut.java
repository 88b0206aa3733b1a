package org.weldcourse.fleet;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.weldcourse.cluster.ClusterState;
import org.weldcourse.placement.WaitReason;
import org.weldcourse.runtime.Clock;
import org.weldcourse.runtime.ScheduledTask;
import org.weldcourse.store.RateLimiter;

/**
 * Launches machines according to {@link ScaleOutPlanner}. The next plan waits for the responses to the previous one,
 * because they determine what is still missing.
 */
final class ScaleOut {
    private static final Logger LOG = LoggerFactory.getLogger(ScaleOut.class);
    /** Backoff for an offering without capacity. */
    private static final long NO_CAPACITY_BACKOFF_MICROS = 15_000_000;
    /** Backoff for an offering after any other failure. */
    private static final long FAILURE_BACKOFF_MICROS = 2_000_000;
    /** Delay from a launch response to the next plan. */
    private static final long NEXT_PLAN_DELAY_MICROS = 50_000;

    private static final int MAX_MACHINES_PER_PLAN = 200;

    private final ClusterState cluster;
    private final CloudClient cloud;
    private final MachineTypeCatalog types;
    private final MachineInventory inventory;
    private final WarmPools warmPools;
    private final FailoverGracePeriod failoverGracePeriod;
    private final RateLimiter callLimiter;
    private final long fencingToken;
    private final Clock clock;
    private final ScheduledTask autoscaler;
    private final Map<Offering, Long> backoffUntilMicros = new HashMap<>();
    private final Queue<LaunchRequest> timedOutRequests = new ArrayDeque<>();
    private Map<String, WaitReason> waitReasons = Map.of();
    private long lastRequestNumber;
    private int requestsInFlight;

    private record LaunchRequest(String id, Offering offering, int count) {}

    ScaleOut(
            ClusterState cluster,
            CloudClient cloud,
            MachineTypeCatalog types,
            MachineInventory inventory,
            WarmPools warmPools,
            FailoverGracePeriod failoverGracePeriod,
            RateLimiter callLimiter,
            long fencingToken,
            Clock clock,
            ScheduledTask autoscaler) {
        this.cluster = cluster;
        this.cloud = cloud;
        this.types = types;
        this.inventory = inventory;
        this.warmPools = warmPools;
        this.failoverGracePeriod = failoverGracePeriod;
        this.callLimiter = callLimiter;
        this.fencingToken = fencingToken;
        this.clock = clock;
        this.autoscaler = autoscaler;
    }

    /** Retries timed-out launch requests. They may have been carried out; the same id prevents a second launch. */
    void retryTimedOutRequests() {
        while (!timedOutRequests.isEmpty() && callLimiter.tryAcquire(1)) {
            launch(timedOutRequests.poll());
        }
    }

    /** Launches machines for the pending demand and the warm pools, unless requests of the last plan are in flight. */
    void step(List<CapacityDemand> pending, long nowMicros) {
        if (requestsInFlight > 0 || failoverGracePeriod.isActive(inventory.hasReceivedList(), nowMicros)) {
            return;
        }
        backoffUntilMicros.values().removeIf(until -> until <= nowMicros);
        List<CapacityDemand> demand = new ArrayList<>(pending);
        demand.addAll(warmPools.shortfall(pending, nowMicros));
        ScaleOutPlan plan = ScaleOutPlanner.plan(
                demand,
                AvailableHosts.capacities(cluster, warmPools, nowMicros),
                types.known(),
                backoffUntilMicros.keySet(),
                MAX_MACHINES_PER_PLAN,
                nowMicros);
        waitReasons = plan.reasons();
        for (ScaleOutRequest planned : plan.requests()) {
            if (callLimiter.tryAcquire(1)) {
                launch(new LaunchRequest(
                        nextRequestId(),
                        planned.offering(),
                        Math.min(CloudClient.MAX_MACHINES_PER_LAUNCH, planned.count())));
            }
        }
    }

    /** Returns what the last plan made the pending tasks of a job wait for. */
    WaitReason waitReason(String job) {
        return waitReasons.getOrDefault(job, WaitReason.NOT_PLANNED);
    }

    /** Returns a unique id: the fencing token is unique to the term, the number within it. */
    private String nextRequestId() {
        lastRequestNumber++;
        return "w-" + fencingToken + "-" + lastRequestNumber;
    }

    private void launch(LaunchRequest request) {
        requestsInFlight++;
        cloud.launch(request.id, request.offering, request.count, launch -> {
            requestsInFlight--;
            if (!autoscaler.isRunning()) {
                return;
            }
            switch (launch.outcome()) {
                case OK -> onLaunched(request, launch.machines());
                case NO_CAPACITY -> backOff(request.offering, NO_CAPACITY_BACKOFF_MICROS);
                case UNKNOWN -> timedOutRequests.add(request);
                case RATE_LIMITED, UNAVAILABLE, INVALID -> backOff(request.offering, FAILURE_BACKOFF_MICROS);
            }
            autoscaler.wakeIn(NEXT_PLAN_DELAY_MICROS);
        });
    }

    private void onLaunched(LaunchRequest request, List<String> machines) {
        inventory.recordLaunched(machines, request.offering, clock.nowMicros());
        LOG.info(
                "scale out: {} of {} machines launched, {}",
                machines.size(),
                request.count,
                request.offering.describe());
        if (machines.size() < request.count) {
            backOff(request.offering, NO_CAPACITY_BACKOFF_MICROS);
        }
    }

    private void backOff(Offering offering, long micros) {
        backoffUntilMicros.put(offering, clock.nowMicros() + micros);
    }
}
