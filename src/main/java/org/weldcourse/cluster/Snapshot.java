package org.weldcourse.cluster;

import java.util.BitSet;
import java.util.Comparator;
import java.util.List;
import java.util.Set;
import org.weldcourse.fleet.MachineType;
import org.weldcourse.jobs.JobSpec;
import org.weldcourse.quota.ResourceAmount;
import org.weldcourse.settings.Settings;

/**
 * The input of one admission cycle, not shared with other cycles. The planner removes the tasks that it books from the
 * jobs' pending tasks and changes nothing else. Times are in microseconds of the node's steady clock.
 *
 * @param machines machines that new tasks may be booked on
 * @param jobs jobs with pending tasks
 */
public record Snapshot(long nowMicros, List<MachineView> machines, List<JobView> jobs, List<TeamView> teams) {
    static final long NOT_RUNNING = -1;
    /** The task index of a view that stands for several tasks, none of which was told to start. */
    public static final int ANY_WAITING_TASK = -1;

    /**
     * The resources and images that a machine's bookings use.
     *
     * @param images images that the machine has cached or fetches for its bookings
     * @param tasks the booked tasks in preemption order: terminating tasks first, then the lowest priority, then the
     *     least work lost
     */
    public record Allocation(double cpus, double gpus, double memoryGb, Set<String> images, List<TaskView> tasks) {
        /** Sorts the tasks into preemption order. */
        public Allocation {
            tasks = tasks.stream()
                    .sorted(Comparator.comparing((TaskView task) -> !task.terminating())
                            .thenComparing(task -> task.job().priority(), Comparator.reverseOrder())
                            .thenComparingLong(task -> -task.unsavedSinceMicros()))
                    .toList();
        }

        /** Whether any task is terminating or of lower priority than {@code priority}. */
        public boolean hasVictimFor(JobSpec.Priority priority) {
            if (tasks.isEmpty()) {
                return false;
            }
            TaskView first = tasks.get(0);
            return first.terminating() || first.job().priority().compareTo(priority) > 0;
        }
    }

    /**
     * A machine that tasks may be booked on.
     *
     * @param spot whether this is a spot machine, which the cloud may reclaim
     * @param startSloPriority the highest priority among job classes with a start objective that need this kind of
     *     machine, or null; jobs that those classes would preempt are better placed elsewhere
     * @param allocation what is booked here, which may exceed the machine's capacity while tasks wait for their victims
     *     to exit
     */
    public record MachineView(
            String name,
            MachineType type,
            String zone,
            boolean spot,
            JobSpec.Priority startSloPriority,
            Allocation allocation) {}

    /**
     * A booked task, or several tasks of a job that wait on the same machine and are alike.
     *
     * @param task the index of the task in its job, or {@link Snapshot#ANY_WAITING_TASK}
     * @param count the number of tasks
     * @param terminating whether a stop was requested
     * @param runningSinceMicros when the task was first reported as running, or {@link Snapshot#NOT_RUNNING}
     * @param expectedRunMicros the expected total run time
     */
    public record TaskView(
            JobSpec job, int task, int count, boolean terminating, long runningSinceMicros, long expectedRunMicros) {
        /** Creates the view of one task. */
        public TaskView(JobSpec job, int task, boolean terminating, long runningSinceMicros, long expectedRunMicros) {
            this(job, task, 1, terminating, runningSinceMicros, expectedRunMicros);
        }

        /** Whether the task is reported as running. */
        public boolean running() {
            return runningSinceMicros != NOT_RUNNING;
        }

        /** The expected end, at the earliest now. */
        public long expectedEndMicros(long nowMicros) {
            return Math.max(nowMicros, (running() ? runningSinceMicros : nowMicros) + expectedRunMicros);
        }

        /** Whether a running task is expected to end in this interval; false if it has overrun its expected end. */
        public boolean expectedToEndBetween(long nowMicros, long untilMicros) {
            long endMicros = runningSinceMicros + expectedRunMicros;
            return endMicros >= nowMicros && endMicros <= untilMicros;
        }

        /**
         * Since when work would be lost by stopping the task; a later time means less loss. The latest times stand for
         * tasks that do not run, which lose nothing, and for those that save a checkpoint.
         */
        private long unsavedSinceMicros() {
            return !running()
                    ? Long.MAX_VALUE
                    : job.checkpointIntervalMicros() > 0 ? Long.MAX_VALUE - 1 : runningSinceMicros;
        }

        /** The run time that is lost by stopping the task, or the time for saving its checkpoint. */
        public long lostWorkMicros(long nowMicros) {
            return !running()
                    ? 0
                    : job.checkpointIntervalMicros() > 0 ? job.checkpointSaveMicros() : nowMicros - runningSinceMicros;
        }
    }

    /**
     * A job with pending tasks.
     *
     * @param pending the pending tasks; the planner removes those that it books
     * @param started whether any task is booked or done
     * @param admissionDeadlinesMicros the latest admission times that still meet the objectives of the job's class, in
     *     ascending order; empty if there are none
     * @param latestStartMicros the latest start of a task that still ends in time
     * @param expectedRunMicros the expected run time of a task
     * @param zones the zones of the tasks on machines, if the job has a zone constraint; else empty
     * @param excludedMachines names of machines that tasks of the job have failed on
     * @param quotaReservedTasks how many of the pending tasks already count as used by the team
     * @param releasedTasks how many tasks count as used by the team only until an admission of this job rewrites its
     *     record
     */
    public record JobView(
            JobSpec spec,
            BitSet pending,
            long acceptedMicros,
            boolean started,
            long[] admissionDeadlinesMicros,
            long latestStartMicros,
            long expectedRunMicros,
            ZoneCounts zones,
            Set<String> excludedMachines,
            int quotaReservedTasks,
            int releasedTasks) {
        /** The binary logarithm, rounded down, of the pending tasks' work in CPU-seconds (in CPUs for a service). */
        public int remainingWorkLog2() {
            double cpuSeconds = pending.cardinality() * spec.cpus() * (spec.isService() ? 1 : expectedRunMicros / 1e6);
            return Math.getExponent(Math.max(1, cpuSeconds));
        }
    }

    /**
     * A team and its usage.
     *
     * @param team the team's guarantee and limit
     * @param released the part of the usage that ends once the admission records are rewritten
     * @param cohort the cohort that the team borrows in, or null
     */
    public record TeamView(
            Settings.Team team, double usedCpus, double usedGpus, ResourceAmount released, CohortView cohort) {
        /** Creates the view of a team without a cohort, with the usage that counts against its limit. */
        public static TeamView of(Settings.Team team, ResourceAmount counted, ResourceAmount released) {
            return new TeamView(team, counted.cpus(), counted.gpus(), released, null);
        }

        /** Creates the view of a team without a cohort. */
        public TeamView(Settings.Team team, double usedCpus, double usedGpus) {
            this(team, usedCpus, usedGpus, ResourceAmount.ZERO, null);
        }
    }

    /** The limit ({@code max}) and the usage of all teams of a cohort together. */
    public record CohortView(String name, double cpusMax, double gpusMax, double usedCpus, double usedGpus) {}
}
