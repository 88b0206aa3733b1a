package org.weldcourse.admission;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.weldcourse.cluster.ClusterState;
import org.weldcourse.cluster.Job;
import org.weldcourse.fleet.CapacityDemand;
import org.weldcourse.jobs.JobSpec;
import org.weldcourse.settings.Settings;

/** Tells the fleet what capacity is missing for the tasks that a cycle left pending. */
public final class CapacityDemandEstimator {
    /**
     * How long a place stays empty between two tasks, in intervals of heartbeats: prompted heartbeats and booking
     * ahead shorten it.
     */
    private static final double GAP_HEARTBEATS = 0.5;

    private static final long MIN_RUN_MICROS = 1_000_000;

    private final ClusterState cluster;
    private final long gapMicros;
    private final JobDeadlines deadlines;

    /** An estimator that reads jobs and their run times from this cluster. */
    public CapacityDemandEstimator(ClusterState cluster, Settings settings) {
        this.cluster = cluster;
        this.gapMicros = (long) (settings.workers().heartbeatIntervalMicros() * GAP_HEARTBEATS);
        this.deadlines = new JobDeadlines(settings.objectives(), cluster.runTimes);
    }

    /** What the fleet has to find room for: the pending tasks that their team's quota does not hold back. */
    public List<CapacityDemand> demand(List<CycleDecisions.PendingTasks> pending) {
        List<CapacityDemand> demand = new ArrayList<>();
        for (CycleDecisions.PendingTasks tasks : pending) {
            if (!tasks.blockedByQuota()) {
                JobSpec spec = tasks.spec();
                Job job = cluster.jobs.get(spec.id());
                demand.add(new CapacityDemand(
                        spec,
                        tasks.tasks(),
                        spec.isService()
                                ? MIN_RUN_MICROS
                                : Math.max(MIN_RUN_MICROS, cluster.runTimes.expectedMicros(job)),
                        gapMicros,
                        deadlines.dueMicros(job),
                        tasks.freeSlotsByZone(),
                        spec.spreadAcrossZones() ? job.tasksByZone() : Map.of()));
            }
        }
        return demand;
    }
}
