package org.weldcourse.admission;

import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.weldcourse.jobs.JobSpec;

/**
 * What one admission cycle decided. The planner makes it; the term carries it out and tells the fleet what is missing.
 *
 * @param admissions what to admit where, at most one admission per job, in the order in which they are to be written
 * @param preemptions tasks to preempt so that others fit
 * @param pending what found no room or no quota, for the fleet's scale-out
 * @param reservedMachines names of machines that are spoken for: reserved for gangs, or booked past the bound of admissions, so
 *     that the fleet does not scale them in
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
        /** Adds further tasks, which all come after those on the same machines. */
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
     * A task to preempt; the task of a gang stands for the whole gang, which is stopped together.
     *
     * @param job the job's id
     * @param task the task's index in its job
     */
    public record Preemption(String job, int task) {}

    /**
     * Tasks of a job that wait.
     *
     * @param spec the job
     * @param tasks how many of its tasks wait
     * @param blockedByQuota whether the team's limit is in the way, so that scaling out would not help
     * @param freeSlotsByZone for a gang, the places that are there for it already, by zone; it waits for the rest
     */
    public record PendingTasks(JobSpec spec, int tasks, boolean blockedByQuota, Map<String, Integer> freeSlotsByZone) {
        PendingTasks(JobSpec spec, int tasks, boolean blockedByQuota) {
            this(spec, tasks, blockedByQuota, Map.of());
        }
    }
}
