package org.weldcourse.cluster;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.LongSupplier;

/**
 * Books the tasks of an admission on the machines that the planner chose, in parts: an admission may have as many tasks
 * as a job. The leader and the standby's warm-up share this code.
 */
public final class AttemptBookings {
    private final ClusterState cluster;
    private final Job job;
    private final Admission admission;
    /** The chosen machines in the planner's order, and the tasks of each. */
    private final List<Map.Entry<String, int[]>> tasksByMachine;

    private int nextMachine;
    private int nextTask;

    /** Begins an admission of tasks, given by the names of their machines. */
    public AttemptBookings(ClusterState cluster, Job job, Map<String, int[]> tasksByMachine) {
        this.cluster = cluster;
        this.job = job;
        this.admission = new Admission(job, job.lastAttempt() + 1);
        this.tasksByMachine = new ArrayList<>(tasksByMachine.entrySet());
        job.beginAdmission();
    }

    /** The job whose tasks are admitted. */
    public Job job() {
        return job;
    }

    /** The admission; it is not persisted yet. */
    public Admission admission() {
        return admission;
    }

    /** Whether all tasks are booked. */
    public boolean isComplete() {
        return nextMachine == tasksByMachine.size();
    }

    /**
     * Whether the admission must not go on: since the planner decided, the job ended or is being stopped, or a machine
     * is gone.
     */
    public boolean isObsolete() {
        return job.isCancelled()
                || job.isClosing()
                || job.isClosed()
                || job.isStale()
                || !areMachinesKnown()
                || hasLostBookings();
    }

    private boolean areMachinesKnown() {
        for (Map.Entry<String, int[]> entry : tasksByMachine) {
            if (!cluster.machines.containsKey(entry.getKey())) {
                return false;
            }
        }
        return true;
    }

    /** A gang is admitted as a whole: if one of its bookings was released meanwhile, the rest is evicted. */
    private boolean hasLostBookings() {
        return job.spec().isGang() && job.isEvicted();
    }

    /** Books up to {@code max} of the remaining tasks and returns how many were booked. */
    public int bookPart(int max, long nowMicros) {
        int booked = 0;
        while (booked < max && !isComplete()) {
            int[] tasks = tasksByMachine.get(nextMachine).getValue();
            if (nextTask == tasks.length) {
                nextMachine++;
                nextTask = 0;
                continue;
            }
            Machine machine =
                    cluster.machines.get(tasksByMachine.get(nextMachine).getKey());
            cluster.book(job, tasks[nextTask++], admission, machine, nowMicros);
            booked++;
        }
        return booked;
    }

    /** Marks all bookings as persisted, so that their tasks may start. */
    public void markPersisted() {
        admission.markPersisted();
        job.endAdmission();
        for (Map.Entry<String, int[]> entry : tasksByMachine) {
            Machine machine = cluster.machines.get(entry.getKey());
            if (machine != null) {
                machine.hasUnsentCommands = true;
            }
        }
    }

    /** Releases the bookings of an admission that was not written; the job may be booked again once all are released. */
    public void release(LongSupplier nowMicros) {
        cluster.releaseInParts(new Bookings(), ReleaseReason.ADMISSION_REFUSED, job::endAdmission, nowMicros);
    }

    /** The number of tasks of the admission. */
    public int taskCount() {
        return tasksByMachine.stream()
                .mapToInt(entry -> entry.getValue().length)
                .sum();
    }

    /** The names of the chosen machines. */
    public List<String> machineNames() {
        return tasksByMachine.stream().map(Map.Entry::getKey).toList();
    }

    /** The admission's bookings that were not released meanwhile. */
    private final class Bookings extends BookingSearch {
        private int machine;
        private int task;

        @Override
        protected Booking find() {
            while (machine < tasksByMachine.size()) {
                int[] tasks = tasksByMachine.get(machine).getValue();
                if (task == tasks.length) {
                    machine++;
                    task = 0;
                    continue;
                }
                Booking booking = job.booking(tasks[task++]);
                if (booking != null && booking.admission() == admission) {
                    return booking;
                }
            }
            return null;
        }
    }
}
