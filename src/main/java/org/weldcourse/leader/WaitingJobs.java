package org.weldcourse.leader;

import java.util.Comparator;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.weldcourse.admission.CapacityWaits;
import org.weldcourse.admission.CycleDecisions.PendingTasks;
import org.weldcourse.cluster.ClusterState;
import org.weldcourse.cluster.Machine;
import org.weldcourse.fleet.Autoscaler;
import org.weldcourse.placement.Feasibility;
import org.weldcourse.placement.PlacementConstraints;
import org.weldcourse.placement.WaitReason;

/** Reports why jobs wait: to the log the few that have waited the longest, and to the metrics all of them. */
final class WaitingJobs {
    private static final Logger LOG = LoggerFactory.getLogger(WaitingJobs.class);
    /** A wait up to this long is usual and not logged. */
    private static final long USUAL_WAIT_MICROS = 10_000_000;

    private static final long LOG_INTERVAL_MICROS = 10_000_000;
    private static final int MAX_LOGGED_JOBS = 5;

    private final ClusterState cluster;
    private final CapacityWaits waits;
    private final Autoscaler autoscaler;
    private List<PendingTasks> pending = List.of();
    private long nextLogMicros;

    WaitingJobs(ClusterState cluster, CapacityWaits waits, Autoscaler autoscaler) {
        this.cluster = cluster;
        this.waits = waits;
        this.autoscaler = autoscaler;
    }

    /** Notes what a cycle left pending, and logs the longest waits from time to time. */
    void cycleEnded(List<PendingTasks> leftPending, long nowMicros) {
        pending = leftPending;
        if (nowMicros < nextLogMicros || !LOG.isInfoEnabled()) {
            return;
        }
        nextLogMicros = nowMicros + LOG_INTERVAL_MICROS;
        pending.stream()
                .filter(tasks -> waitedMicros(tasks, nowMicros) >= USUAL_WAIT_MICROS)
                .sorted(Comparator.comparingLong((PendingTasks tasks) -> -waitedMicros(tasks, nowMicros))
                        .thenComparing(tasks -> tasks.spec().id()))
                .limit(MAX_LOGGED_JOBS)
                .forEach(tasks -> log(tasks, nowMicros));
    }

    private void log(PendingTasks tasks, long nowMicros) {
        LOG.info(
                "{}: {} tasks have waited for {} s, scale out: {}; machines: {}",
                tasks.spec().id(),
                tasks.tasks(),
                waitedMicros(tasks, nowMicros) / 1_000_000,
                reason(tasks).text(),
                describeMachines(tasks.constraints()));
    }

    private long waitedMicros(PendingTasks tasks, long nowMicros) {
        return waits.waitedMicros(tasks.spec().id(), nowMicros);
    }

    private WaitReason reason(PendingTasks tasks) {
        return tasks.blockedByQuota()
                ? WaitReason.QUOTA
                : autoscaler.waitReason(tasks.spec().id());
    }

    private String describeMachines(PlacementConstraints constraints) {
        Map<Feasibility, Integer> machines = new EnumMap<>(Feasibility.class);
        for (Machine machine : cluster.machines.values()) {
            machines.merge(constraints.check(machine), 1, Integer::sum);
        }
        return machines.isEmpty()
                ? "none"
                : machines.entrySet().stream()
                        .map(entry -> entry.getValue() + " " + entry.getKey().text())
                        .collect(Collectors.joining(", "));
    }

    /** Reports the pending tasks and the longest wait for each reason. */
    void reportTo(LeaderTermMetrics metrics, long nowMicros) {
        Map<WaitReason, Integer> tasksByReason = new EnumMap<>(WaitReason.class);
        Map<WaitReason, Long> longestMicrosByReason = new EnumMap<>(WaitReason.class);
        for (PendingTasks tasks : pending) {
            tasksByReason.merge(reason(tasks), tasks.tasks(), Integer::sum);
            longestMicrosByReason.merge(reason(tasks), waitedMicros(tasks, nowMicros), Math::max);
        }
        tasksByReason.forEach(
                (reason, tasks) -> metrics.reportWaiting(reason, tasks, longestMicrosByReason.get(reason) / 1e6));
    }
}
