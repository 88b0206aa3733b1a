package org.weldcourse.admission;

import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.weldcourse.jobs.JobSpec;

/**
 * The result of one admission cycle. The leader term applies it and passes the capacity demand to the fleet.
 *
 * @param admissions the admissions, at most one per job, in the order in which they are to be written
 * @param preemptions tasks to preempt
 * @param pending tasks that lack capacity or quota; the fleet scales out for those that lack capacity
 * @param reservedMachines names of machines that the fleet must not scale in: reserved for gangs, or booked beyond the
 *     limit of admissions
 */
public record CycleDecisions(
        List<Admission> admissions,
        List<Preemption> preemptions,
        List<PendingTasks> pending,
        Set<String> reservedMachines) {

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
     * @param spec the job
     * @param tasks the number of pending tasks
     * @param blockedByQuota whether the tasks wait for quota, so that scaling out would not help
     * @param freeSlotsByZone for a gang, how many of its tasks already fit in each zone
     */
    public record PendingTasks(JobSpec spec, int tasks, boolean blockedByQuota, Map<String, Integer> freeSlotsByZone) {
        PendingTasks(JobSpec spec, int tasks, boolean blockedByQuota) {
            this(spec, tasks, blockedByQuota, Map.of());
        }
    }
}
