package org.weldcourse.fleet;

import java.util.Map;
import org.weldcourse.jobs.JobSpec;

/**
 * Pending tasks of one job that found no room, for the scale-out plan.
 *
 * @param tasks how many tasks wait; of a gang, all that its attempt needs
 * @param runMicros the expected run time of a task
 * @param gapMicros how long a place stays empty between one task and the next
 * @param deadlineMicros when all of them should be done
 * @param freeSlotsByZone of a gang, how many of its places are free, by zone
 * @param tasksByZone of a job that has to be spread over zones, how many of its other tasks each zone holds
 */
public record CapacityDemand(
        JobSpec job,
        int tasks,
        long runMicros,
        long gapMicros,
        long deadlineMicros,
        Map<String, Integer> freeSlotsByZone,
        Map<String, Integer> tasksByZone) {
    /** Demand of tasks that may go anywhere and follow one another without a gap. */
    public CapacityDemand(JobSpec job, int tasks, long runMicros, long deadlineMicros) {
        this(job, tasks, runMicros, 0, deadlineMicros, Map.of(), Map.of());
    }

    /** How long a machine of this type fetches the job's image, in microseconds. */
    long fetchMicros(MachineType type) {
        return (long) (type.fetchSeconds(job) * 1e6);
    }

    /** How long after its launch a machine of this type has done its first run, in microseconds. */
    long firstRunMicros(MachineType type) {
        return type.bootMicros() + fetchMicros(type) + runMicros + gapMicros;
    }

    /** How many more tasks of the job a zone may hold, with so many in each already. */
    int remainingInZone(String zone, Map<String, Integer> taken) {
        return job.maxTasksPerZone() - taken.getOrDefault(zone, 0);
    }
}
