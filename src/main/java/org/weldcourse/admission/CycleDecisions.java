package org.weldcourse.admission;

import java.util.Arrays;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.weldcourse.jobs.JobSpec;
import org.weldcourse.placement.PlacementConstraints;

/**
 * The result of one admission cycle. The leader term applies it and passes the capacity demand to the fleet.
 *
 * @param admissions the admissions, at most one per job, in the order in which they are to be written
 * @param preemptions tasks to preempt
 * @param pending tasks that lack capacity or quota; the fleet scales out for those that lack capacity
 * @param reservations the gangs that machines are reserved for, by the machine's name
 * @param bookedBeyondLimit names of machines that are booked beyond the limit of admissions
 */
public record CycleDecisions(
        List<Admission> admissions,
        List<Preemption> preemptions,
        List<PendingTasks> pending,
        Map<String, JobSpec> reservations,
        Set<String> bookedBeyondLimit) {

    /** Names of machines that the fleet must not scale in. */
    public Set<String> reservedMachines() {
        Set<String> reserved = new HashSet<>(bookedBeyondLimit);
        reserved.addAll(reservations.keySet());
        return reserved;
    }

    /**
     * Tasks of one job to admit.
     *
     * @param job the job's id
     * @param tasks task indexes by machine name, in ascending order on each machine
     */
    public record Admission(String job, Map<String, int[]> tasks) {
        /** Adds tasks, whose indexes on each machine are higher than those already there. */
        void add(Map<String, int[]> more) {
            more.forEach((machine, some) -> tasks.merge(machine, some, Admission::concatenate));
        }

        private static int[] concatenate(int[] first, int[] second) {
            int[] both = Arrays.copyOf(first, first.length + second.length);
            System.arraycopy(second, 0, both, first.length, second.length);
            return both;
        }
    }

    /**
     * A task to preempt, or several tasks of a job that wait on the same machine. Preempting one task of a gang stops the
     * whole gang.
     *
     * @param job the job's id
     * @param task the task's index in its job, or {@link org.weldcourse.cluster.Snapshot#ANY_WAITING_TASK}
     * @param machine the name of the machine that the tasks are booked on
     * @param count the number of tasks
     */
    public record Preemption(String job, int task, String machine, int count) {}

    /**
     * Pending tasks of a job.
     *
     * @param constraints the job, and on which machines it may run
     * @param tasks the number of pending tasks
     * @param blockedByQuota whether the tasks wait for quota, so that scaling out would not help
     * @param freeSlotsByZone for a gang, how many of its tasks already fit in each zone
     */
    public record PendingTasks(
            PlacementConstraints constraints, int tasks, boolean blockedByQuota, Map<String, Integer> freeSlotsByZone) {
        PendingTasks(PlacementConstraints constraints, int tasks, boolean blockedByQuota) {
            this(constraints, tasks, blockedByQuota, Map.of());
        }

        /** The job that the tasks belong to. */
        public JobSpec spec() {
            return constraints.job();
        }
    }
}
