package org.weldcourse.cluster;

import java.util.BitSet;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.weldcourse.fleet.MachineType;
import org.weldcourse.jobs.JobSpec;
import org.weldcourse.quota.ResourceAmount;
import org.weldcourse.settings.Settings;

/**
 * What one admission cycle decides on. It is the cycle's own: the planner takes what it books out of the jobs' pending
 * tasks, and changes nothing else. Times are in microseconds of the node's steady clock.
 *
 * @param machines the machines that new tasks may be booked on
 * @param jobs the jobs that have tasks to place
 */
public record Snapshot(long nowMicros, List<MachineView> machines, List<JobView> jobs, List<TeamView> teams) {
    static final long NOT_RUNNING = -1;

    /**
     * What a machine's bookings take of it.
     *
     * @param images the images that the machine holds, or fetches for its bookings
     * @param tasks the booked tasks, in the order in which they would be preempted: what leaves anyway, then lower
     *     priorities, then the least work lost
     */
    public record Allocation(double cpus, double gpus, double memoryGb, Set<String> images, List<TaskView> tasks) {
        /** Puts the tasks in the order in which they would be preempted. */
        public Allocation {
            tasks = tasks.stream()
                    .sorted(Comparator.comparing((TaskView task) -> !task.terminating())
                            .thenComparing(task -> task.job().priority(), Comparator.reverseOrder())
                            .thenComparingLong(task -> -task.unsavedSinceMicros()))
                    .toList();
        }

        /** Whether a task is on its way out, or of lower priority than this. */
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
     * @param spot whether the cloud may reclaim it
     * @param startSloPriority the highest priority of job classes with an objective for their start that need such a
     *     machine, or null: what they would preempt had better go elsewhere
     * @param allocation what is booked on it, which may exceed the machine while a preemptor waits for its victims to leave
     */
    public record MachineView(
            String name,
            MachineType type,
            String zone,
            boolean spot,
            JobSpec.Priority startSloPriority,
            Allocation allocation) {}

    /**
     * A booked task.
     *
     * @param task the task's index in its job
     * @param terminating whether it was told to stop
     * @param runningSinceMicros since when its machine reports it as running, or a negative number when it does not
     * @param expectedRunMicros how long it should run in all
     */
    public record TaskView(
            JobSpec job, int task, boolean terminating, long runningSinceMicros, long expectedRunMicros) {
        /** Whether its machine reported it as running. */
        public boolean running() {
            return runningSinceMicros != NOT_RUNNING;
        }

        /** When it should end by its expected run time, and never in the past. */
        public long expectedEndMicros(long nowMicros) {
            return Math.max(nowMicros, (running() ? runningSinceMicros : nowMicros) + expectedRunMicros);
        }

        /** Whether a running task should end by then, and is not past its time yet. */
        public boolean expectedToEndBetween(long nowMicros, long untilMicros) {
            long endMicros = runningSinceMicros + expectedRunMicros;
            return endMicros >= nowMicros && endMicros <= untilMicros;
        }

        /** Since when it has done the work that stopping it would lose; of two, the later loses less. */
        private long unsavedSinceMicros() {
            return !running()
                    ? Long.MAX_VALUE
                    : job.checkpointIntervalMicros() > 0 ? Long.MAX_VALUE - 1 : runningSinceMicros;
        }

        /** The run time that stopping it would lose, or that saving it would take. */
        public long lostWorkMicros(long nowMicros) {
            return !running()
                    ? 0
                    : job.checkpointIntervalMicros() > 0 ? job.checkpointSaveMicros() : nowMicros - runningSinceMicros;
        }
    }

    /**
     * A job with tasks to place.
     *
     * @param pending the tasks to place; the planner takes out what it books
     * @param started whether some of its tasks are booked or done
     * @param admissionDeadlinesMicros until when it has to be admitted to meet its class's objectives, the soonest first;
     *     empty when it has none to meet
     * @param latestStartMicros by when a task should start to be done in time
     * @param expectedRunMicros how long a task should run
     * @param tasksByZone where its other tasks are booked, if that decides on where the pending ones may go
     * @param excludedMachines names of machines that its tasks have failed on
     * @param quotaReservedTasks how many of the pending tasks count as used by the team already
     */
    public record JobView(
            JobSpec spec,
            BitSet pending,
            long acceptedMicros,
            boolean started,
            long[] admissionDeadlinesMicros,
            long latestStartMicros,
            long expectedRunMicros,
            Map<String, Integer> tasksByZone,
            Set<String> excludedMachines,
            int quotaReservedTasks) {
        /** The work that is left to admit, in CPU-seconds as a power of two. */
        public int remainingWorkLog2() {
            double cpuSeconds = pending.cardinality() * spec.cpus() * (spec.isService() ? 1 : expectedRunMicros / 1e6);
            return Math.getExponent(Math.max(1, cpuSeconds));
        }
    }

    /**
     * A team, and what counts against its limit.
     *
     * @param team its guarantee and limit
     * @param cohort the cohort that it borrows in, or null
     */
    public record TeamView(Settings.Team team, double usedCpus, double usedGpus, CohortView cohort) {
        /** A team that belongs to no cohort, and all that counts against its limit. */
        public static TeamView of(Settings.Team team, ResourceAmount counted) {
            return new TeamView(team, counted.cpus(), counted.gpus());
        }

        /** A team that belongs to no cohort. */
        public TeamView(Settings.Team team, double usedCpus, double usedGpus) {
            this(team, usedCpus, usedGpus, null);
        }
    }

    /** What the teams of a cohort may use together ({@code max}), and what they do use. */
    public record CohortView(String name, double cpusMax, double gpusMax, double usedCpus, double usedGpus) {}
}
