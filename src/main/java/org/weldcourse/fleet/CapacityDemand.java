package org.weldcourse.fleet;

import java.util.Map;
import org.weldcourse.cluster.ZoneCounts;
import org.weldcourse.jobs.JobSpec;

/**
 * Pending tasks of one job that could not be placed, as input to the scale-out plan.
 *
 * @param tasks the number of waiting tasks; for a gang, all tasks of its attempt
 * @param runMicros the estimated run time of a task
 * @param gapMicros how long a slot stays empty between two consecutive tasks
 * @param deadlineMicros when all tasks should have finished
 * @param freeSlotsByZone for a gang, the free slots for its tasks in each zone
 * @param otherTasks for a job that must be spread over zones, the zones of its other tasks
 */
public record CapacityDemand(
        JobSpec job,
        int tasks,
        long runMicros,
        long gapMicros,
        long deadlineMicros,
        Map<String, Integer> freeSlotsByZone,
        ZoneCounts otherTasks) {
    /** Creates demand for tasks that run back to back, without zone constraints from other tasks. */
    public CapacityDemand(JobSpec job, int tasks, long runMicros, long deadlineMicros) {
        this(job, tasks, runMicros, 0, deadlineMicros, Map.of(), ZoneCounts.NONE);
    }

    /** Returns the time to fetch the job's image on a machine of this type, in microseconds. */
    long fetchMicros(MachineType type) {
        return (long) (type.fetchSeconds(job) * 1e6);
    }

    /** Returns the time from launching a machine of this type to the end of its first task, in microseconds. */
    long firstRunMicros(MachineType type) {
        return type.bootMicros() + fetchMicros(type) + runMicros + gapMicros;
    }

    /**
     * Returns how many more tasks of the job a zone may hold beside its other tasks.
     *
     * @param plannedByZone the number of tasks of this demand that were assigned to hosts in each zone
     */
    int remainingInZone(String zone, Map<String, Integer> plannedByZone) {
        return job.maxTasksPerZone() - otherTasks.atMostIn(zone) - plannedByZone.getOrDefault(zone, 0);
    }
}
