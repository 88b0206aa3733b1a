package org.weldcourse.fleet;

import java.util.Map;
import org.weldcourse.jobs.JobSpec;
import org.weldcourse.placement.PlacementConstraints;

/**
 * Pending tasks of one job that could not be placed, as input to the scale-out plan.
 *
 * @param constraints the job, and on which machines it may run
 * @param tasks the number of waiting tasks; for a gang, all tasks of its attempt
 * @param runMicros the estimated run time of a task
 * @param gapMicros how long a slot stays empty between two consecutive tasks
 * @param deadlineMicros when all tasks should have finished
 * @param freeSlotsByZone for a gang, the free slots for its tasks in each zone
 * @param waitedMicros how long the job has waited without any of its tasks being booked
 */
public record CapacityDemand(
        PlacementConstraints constraints,
        int tasks,
        long runMicros,
        long gapMicros,
        long deadlineMicros,
        Map<String, Integer> freeSlotsByZone,
        long waitedMicros) {
    /** After this wait a job gets a machine of its own, whatever room the running machines seem to have. */
    public static final long MAX_WAIT_FOR_RUNNING_MACHINES_MICROS = 45_000_000;

    /** Creates demand for tasks of a new job that run back to back. */
    public CapacityDemand(JobSpec job, int tasks, long runMicros, long deadlineMicros) {
        this(PlacementConstraints.ofNewJob(job), tasks, runMicros, 0, deadlineMicros, Map.of(), 0);
    }

    /** Returns the job that the tasks belong to. */
    public JobSpec job() {
        return constraints.job();
    }

    /** Returns whether the running machines have failed to provide the room that they seemed to have. */
    boolean isOverdue() {
        return waitedMicros >= MAX_WAIT_FOR_RUNNING_MACHINES_MICROS;
    }

    /** Returns the work of all tasks, in CPU-microseconds. */
    double work() {
        return (double) tasks * runMicros * job().cpus();
    }

    /** Returns the slots that running machines are taken to have free in a zone. */
    int freeSlotsIn(String zone) {
        return isOverdue() ? 0 : freeSlotsByZone.getOrDefault(zone, 0);
    }

    /** Returns the time to fetch the job's image on a machine of this type, in microseconds. */
    long fetchMicros(MachineType type) {
        return (long) (type.fetchSeconds(job()) * 1e6);
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
        int others = job().spreadAcrossZones() ? constraints.otherTasks().atMostIn(zone) : 0;
        return job().maxTasksPerZone() - others - plannedByZone.getOrDefault(zone, 0);
    }
}
