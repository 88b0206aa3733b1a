package org.weldcourse.admission;

import java.util.ArrayList;
import java.util.List;
import org.weldcourse.cluster.ClusterState;
import org.weldcourse.cluster.Job;
import org.weldcourse.fleet.CapacityDemand;
import org.weldcourse.jobs.JobSpec;
import org.weldcourse.placement.PlacementConstraints;
import org.weldcourse.settings.Settings;

/** Computes the capacity demand of the tasks that an admission cycle left pending. */
public final class CapacityDemandEstimator {
    /**
     * The idle time between two consecutive tasks on the same resources, in heartbeat intervals. It is below 1 because
     * prompted heartbeats and booking ahead shorten it.
     */
    private static final double IDLE_GAP_HEARTBEATS = 0.5;

    /** The lower bound of the stated run time; services, which do not end, state it as well. */
    private static final long MIN_RUN_MICROS = 1_000_000;

    private final ClusterState cluster;
    private final long gapMicros;
    private final JobDeadlines deadlines;

    /** Creates an estimator that reads jobs and run times from the given cluster state. */
    public CapacityDemandEstimator(ClusterState cluster, Settings settings) {
        this.cluster = cluster;
        this.gapMicros = (long) (settings.workers().heartbeatIntervalMicros() * IDLE_GAP_HEARTBEATS);
        this.deadlines = new JobDeadlines(settings.objectives(), cluster.runTimes);
    }

    /** The capacity demand of the pending tasks that are not blocked by quota. */
    public List<CapacityDemand> demand(List<CycleDecisions.PendingTasks> pending, CapacityWaits waits, long nowMicros) {
        List<CapacityDemand> demand = new ArrayList<>();
        for (CycleDecisions.PendingTasks tasks : pending) {
            Job job = cluster.jobs.get(tasks.spec().id());
            if (!tasks.blockedByQuota() && job != null) {
                demand.add(demand(tasks, job, waits.waitedMicros(tasks.spec().id(), nowMicros)));
            }
        }
        return demand;
    }

    private CapacityDemand demand(CycleDecisions.PendingTasks tasks, Job job, long waitedMicros) {
        JobSpec spec = tasks.spec();
        long runMicros =
                spec.isService() ? MIN_RUN_MICROS : Math.max(MIN_RUN_MICROS, cluster.runTimes.expectedMicros(job));
        // The cycle may have booked tasks of the job, which bind the others to their zone.
        PlacementConstraints constraints =
                spec.hasZoneConstraint() ? tasks.constraints().withOtherTasks(job.zoneCounts()) : tasks.constraints();
        return new CapacityDemand(
                constraints,
                tasks.tasks(),
                runMicros,
                gapMicros,
                deadlines.dueMicros(job),
                tasks.freeSlotsByZone(),
                waitedMicros);
    }
}
