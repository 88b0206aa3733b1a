package org.weldcourse.jobs;

import java.util.List;
import org.weldcourse.quota.ResourceAmount;

/**
 * A job as its user described it.
 *
 * @param id the user's name for it, unique for ever
 * @param jobClass the class of jobs for which the settings state service-level objectives
 * @param team whose quota it counts against
 * @param kind how its tasks belong together
 * @param priority which jobs it may preempt, and goes before
 * @param tasks how many there are, numbered from 0
 * @param cpus what each task takes of its machine
 * @param gpus what each task takes of its machine
 * @param memoryGb what each task takes of its machine
 * @param image what a machine has to have before a task can start there
 * @param imageGb the size of the image
 * @param machineTypes the machine types that its tasks may run on, or null for any
 * @param zone the only zone that its tasks may run in, or null for any
 * @param singleZone whether all tasks have to be in the same zone
 * @param spreadAcrossZones whether at most half of the tasks, rounded up, may be in one zone
 * @param allowsSpot whether its tasks may run on spot machines
 * @param estimatedRunMicros its owner's estimate of one task's run time, without the fetch of the image
 * @param checkpointIntervalMicros progress after which a running task saves a checkpoint; 0 if it never does
 * @param checkpointSaveMicros how long a task takes to save when it is stopped
 * @param deadlineMicros when the job should be done, from its submission on; 0 if there is no deadline
 */
public record JobSpec(
        String id,
        String jobClass,
        String team,
        Kind kind,
        Priority priority,
        int tasks,
        double cpus,
        double gpus,
        double memoryGb,
        String image,
        double imageGb,
        List<String> machineTypes,
        String zone,
        boolean singleZone,
        boolean spreadAcrossZones,
        boolean allowsSpot,
        long estimatedRunMicros,
        long checkpointIntervalMicros,
        long checkpointSaveMicros,
        long deadlineMicros) {

    /** From the most to the least important. */
    public enum Priority {
        PRODUCTION,
        HIGH,
        NORMAL,
        LOW
    }

    /** How the tasks of a job belong together. */
    public enum Kind {
        /** Independent tasks, each of which runs to completion. */
        JOB_ARRAY,
        /** All tasks run at the same time or none does. */
        GANG,
        /** The tasks are replicas without an end of their own: they run until their user cancels the job. */
        SERVICE
    }

    /** The CPUs and GPUs that one task takes of its team's quota. */
    public ResourceAmount quotaPerTask() {
        return ResourceAmount.of(cpus, gpus);
    }

    /** How many of its tasks have to run at the same time: an array's may follow one another. */
    public int concurrentTasks() {
        return isGang() || isService() ? tasks : 1;
    }

    /** Whether all tasks run at the same time or none does. */
    public boolean isGang() {
        return kind == Kind.GANG;
    }

    /** Whether its tasks are replicas that run until the job is cancelled. */
    public boolean isService() {
        return kind == Kind.SERVICE;
    }

    /** How many tasks one zone may hold. */
    public int maxTasksPerZone() {
        return spreadAcrossZones ? (tasks + 1) / 2 : tasks;
    }

    /** Whether its tasks may go to machines of this type. */
    public boolean allowsMachineType(String type) {
        return machineTypes == null || machineTypes.contains(type);
    }

    /** Whether its tasks may go to this zone. */
    public boolean allowsZone(String candidate) {
        return zone == null || zone.equals(candidate);
    }
}
