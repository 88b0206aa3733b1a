package org.weldcourse.jobs;

import java.util.List;
import org.weldcourse.quota.ResourceAmount;

/**
 * The specification of a job, as submitted by its user.
 *
 * @param id the job ID chosen by the user; it is never reused
 * @param jobClass the class of jobs for which the settings state service-level objectives
 * @param team the team whose quota the job counts against
 * @param kind whether the tasks are independent, a gang or replicas of a service
 * @param priority which jobs it may preempt and precedes in the queue
 * @param tasks the number of tasks; they are numbered from 0
 * @param cpus the CPUs that each task needs
 * @param gpus the GPUs that each task needs
 * @param memoryGb the memory that each task needs
 * @param image the image that a machine must have fetched before a task can start on it
 * @param imageGb the size of the image
 * @param machineTypes the machine types that the tasks may run on, or null for any
 * @param zone the zone that the tasks must run in, or null for any
 * @param singleZone whether all tasks must be in the same zone
 * @param spreadAcrossZones whether at most half of the tasks, rounded up, may be in one zone
 * @param allowsSpot whether the tasks may run on spot machines
 * @param estimatedRunMicros the user's estimate of the run time of one task, without fetching the image
 * @param checkpointIntervalMicros run time between two checkpoints of a task; 0 if it saves none
 * @param checkpointSaveMicros the time that a task needs to save a checkpoint when it is stopped
 * @param deadlineMicros the time from submission until the job should be done; 0 if there is no deadline
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

    /** Priorities, from the highest to the lowest. */
    public enum Priority {
        PRODUCTION,
        HIGH,
        NORMAL,
        LOW
    }

    /** How the tasks of a job are run. */
    public enum Kind {
        /** Independent tasks, each of which runs to completion. */
        JOB_ARRAY,
        /** All tasks run at the same time, or none does. */
        GANG,
        /** Replicas that do not end by themselves: they run until their user cancels the job. */
        SERVICE
    }

    /** The CPUs and GPUs that one task counts against its team's quota. */
    public ResourceAmount quotaPerTask() {
        return ResourceAmount.of(cpus, gpus);
    }

    /** The number of tasks that must run at the same time: all of a gang or service, but one of a job array. */
    public int concurrentTasks() {
        return isGang() || isService() ? tasks : 1;
    }

    /** Whether all tasks run at the same time, or none does. */
    public boolean isGang() {
        return kind == Kind.GANG;
    }

    /** Whether the tasks are replicas that run until the job is cancelled. */
    public boolean isService() {
        return kind == Kind.SERVICE;
    }

    /** Whether the zones of some of the job's tasks restrict those of the others. */
    public boolean hasZoneConstraint() {
        return singleZone || spreadAcrossZones;
    }

    /** The maximum number of tasks in one zone. */
    public int maxTasksPerZone() {
        return spreadAcrossZones ? (tasks + 1) / 2 : tasks;
    }

    /** Whether the tasks may run on machines of this type. */
    public boolean allowsMachineType(String type) {
        return machineTypes == null || machineTypes.contains(type);
    }

    /** Whether the tasks may run in this zone. */
    public boolean allowsZone(String candidate) {
        return zone == null || zone.equals(candidate);
    }
}
