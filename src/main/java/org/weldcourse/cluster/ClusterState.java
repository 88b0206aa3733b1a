package org.weldcourse.cluster;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.weldcourse.workers.ExitCause;
import org.weldcourse.workers.TaskId;
import org.weldcourse.workers.TaskState;
import org.weldcourse.workers.TaskStatus;

/** All that a leader knows during one term: open jobs, machines, and which task is booked or seen where. */
public final class ClusterState {
    private static final Logger LOG = LoggerFactory.getLogger(ClusterState.class);
    private static final int MACHINES_TO_BLAME_JOB = 3;
    private static final long FIRST_BACKOFF_MICROS = 5_000_000;
    /** A job must not be left waiting for 90 s where there is room, be it for its own faults. */
    private static final long MAX_BACKOFF_MICROS = 60_000_000;

    private static final long REFUSED_BACKOFF_MICROS = 1_000_000;
    private static final long SHORT_RUN_MICROS = 10_000_000;

    public final Map<String, Job> jobs = new HashMap<>();
    public final Map<String, Machine> machines = new HashMap<>();
    public final RunTimeEstimator runTimes = new RunTimeEstimator();
    /** Where a task was last reported on a machine and not exited. */
    private final Map<TaskId, Machine> machineByPresentTask = new HashMap<>();
    /** What counts against each team's limit, kept as it comes and goes: no cycle has to add it all up. */
    public final QuotaUsage quotaUsage = new QuotaUsage();
    /** Jobs that are over while some of their tasks are still booked. */
    public final Map<String, Job> outstandingJobs = new HashMap<>();
    /** Tasks on machines whose job nobody here knows. */
    private int tasksOfUnknownJobs;

    /** How many tasks are on machines whose job is not known, so that no team can be charged for them. */
    public int tasksOfUnknownJobs() {
        return tasksOfUnknownJobs;
    }

    /** The machine of this name, which becomes known with this call if it is not. */
    public Machine getOrAddMachine(String name, long nowMicros) {
        return machines.computeIfAbsent(name, unknown -> new Machine(unknown, nowMicros));
    }

    /** Books a task on a machine under a new attempt. */
    public Booking book(Job job, int task, int attempt, Machine machine, long nowMicros) {
        Booking booking = new Booking(job, task, attempt, machine, nowMicros);
        job.addBooking(booking);
        Booking earlier = machine.bookings.put(booking.taskId(), booking);
        if (earlier != null) {
            // What it stood for counts on: nothing has shown that it is gone.
            LOG.error(
                    "{} attempt {} is booked over attempt {} on {}",
                    booking.taskId(),
                    attempt,
                    earlier.attempt(),
                    machine.name);
        }
        quotaUsage.addBooked(job.spec());
        machine.invalidateAllocation();
        return booking;
    }

    /** Takes a booking off its machine and its job, without a word on what became of the task. */
    public void discard(Booking booking) {
        booking.job().removeBooking(booking.task());
        if (booking.machine().bookings.remove(booking.taskId(), booking)) {
            quotaUsage.removeBooked(booking.job().spec());
            booking.machine().invalidateAllocation();
        }
    }

    /** There is evidence that the task is not on the machine, or it was never told to run there. */
    public void release(Booking booking, ReleaseReason evidence, long nowMicros) {
        Machine machine = booking.machine();
        Job job = booking.job();
        if (machine.bookings.remove(booking.taskId(), booking)) {
            quotaUsage.removeBooked(job.spec());
            machine.invalidateAllocation();
            LOG.debug("{} attempt {} is free of {}: {}", booking.taskId(), booking.attempt(), machine.name, evidence);
        }
        if (machine.bookings.isEmpty()) {
            machine.idleSinceMicros = nowMicros;
        }
        if (job.booking(booking.task()) != booking) {
            return;
        }
        job.removeBooking(booking.task());
        if (!job.isDone(booking.task())) {
            job.requeue(booking.task());
            if (job.spec().isGang()) {
                evict(job, job.spec().checkpointSaveMicros());
            }
        }
    }

    /** Ends what is left of a job's present attempts. */
    public void evict(Job job, long graceMicros) {
        for (Booking booking : job.bookings()) {
            booking.requestStop(graceMicros);
        }
    }

    /** The task exited on its machine for this cause. */
    public void taskExited(Booking booking, ExitCause cause, long nowMicros) {
        switch (cause) {
            case DONE -> taskSucceeded(booking, nowMicros);
            case FAILED -> taskFailed(booking, nowMicros);
            case REFUSED_NO_ROOM, REFUSED_OTHER_ATTEMPT, REFUSED_UNKNOWN_TASK -> {
                LOG.info(
                        "{} attempt {} refused by {}: {}",
                        booking.taskId(),
                        booking.attempt(),
                        booking.machine().name,
                        cause);
                booking.job().backOffUntil(nowMicros + REFUSED_BACKOFF_MICROS);
            }
            default ->
                LOG.debug(
                        "{} attempt {} ended on {}: {}",
                        booking.taskId(),
                        booking.attempt(),
                        booking.machine().name,
                        cause);
        }
        release(booking, ReleaseReason.EXITED, nowMicros);
    }

    private void taskSucceeded(Booking booking, long nowMicros) {
        Job job = booking.job();
        long ranMicros = booking.runningSinceMicros() < 0 ? 0 : nowMicros - booking.runningSinceMicros();
        booking.machine().successesSinceError++;
        if (job.spec().isGang()) {
            job.markAllDone();
        } else if (!job.spec().isService()) {
            job.markDone(booking.task());
        }
        if (job.spec().isService() && ranMicros < SHORT_RUN_MICROS) {
            // A replica should not end at all; one that always does at once must not spin.
            long pauseMicros = REFUSED_BACKOFF_MICROS << Math.min(6, job.countError() - 1);
            job.backOffUntil(nowMicros + Math.min(MAX_BACKOFF_MICROS, pauseMicros));
        } else {
            job.clearErrors();
        }
        // Only a run seen from its start tells its length, and a checkpoint would hide some of it.
        if (booking.runningSinceMicros() >= 0 && booking.isStartObserved()) {
            runTimes.recordRun(job, ranMicros);
        }
    }

    private static void taskFailed(Booking booking, long nowMicros) {
        Job job = booking.job();
        Machine machine = booking.machine();
        LOG.info("{} attempt {} failed on {}", booking.taskId(), booking.attempt(), machine.name);
        machine.failedJobs.add(job.spec().id());
        machine.successesSinceError = 0;
        job.excludedMachines().add(machine.name);
        int errors = job.countError();
        if (job.excludedMachines().size() >= MACHINES_TO_BLAME_JOB) {
            // Failing everywhere speaks against the job: try again ever more seldom, on any machine.
            long pauseMicros = FIRST_BACKOFF_MICROS << Math.min(10, errors);
            job.backOffUntil(nowMicros + Math.min(MAX_BACKOFF_MICROS, pauseMicros));
            job.excludedMachines().clear();
        }
    }

    /** Replaces the tasks that the machine lists without a booking by those of its newest heartbeat. */
    public void setUnbookedTasks(Machine machine, List<TaskStatus> tasks) {
        machine.unbookedTasks.clear();
        machine.unbookedTasks.addAll(tasks);
        if (tasks.isEmpty() && machine.unbookedTaskJobs.isEmpty()) {
            return;
        }
        forgetUnbookedTasks(machine);
        for (TaskStatus task : tasks) {
            Job job = knownJob(task.id().jobId());
            machine.unbookedTaskJobs.add(Optional.ofNullable(job));
            if (job == null) {
                tasksOfUnknownJobs++;
            } else {
                job.addUnbookedTasks(1);
                quotaUsage.addUnbooked(job.spec());
            }
        }
    }

    private Job knownJob(String id) {
        Job open = jobs.get(id);
        return open == null ? outstandingJobs.get(id) : open;
    }

    private void forgetUnbookedTasks(Machine machine) {
        for (Optional<Job> job : machine.unbookedTaskJobs) {
            if (job.isEmpty()) {
                tasksOfUnknownJobs--;
            } else {
                job.get().addUnbookedTasks(-1);
                quotaUsage.removeUnbooked(job.get().spec());
            }
        }
        machine.unbookedTaskJobs.clear();
    }

    /** Replaces what is present on the machine by what its newest heartbeat lists and has not exited. */
    public void setPresentTasks(Machine machine, List<TaskStatus> tasks) {
        Set<TaskId> before = machine.presentTasks;
        Set<TaskId> now = new HashSet<>(tasks.size() * 2);
        for (TaskStatus task : tasks) {
            if (task.state() != TaskState.EXITED) {
                now.add(task.id());
                before.remove(task.id());
                machineByPresentTask.put(task.id(), machine);
            }
        }
        before.forEach(gone -> machineByPresentTask.remove(gone, machine));
        machine.presentTasks = now;
    }

    /** The machine on which the task was last seen, if any: nowhere else may it run. */
    public Machine lastSeenOn(TaskId task) {
        return machineByPresentTask.get(task);
    }

    /** The cloud said that the machine and all that was on it are gone. */
    public void removeMachine(Machine machine, long nowMicros) {
        machines.remove(machine.name);
        machine.presentTasks.forEach(gone -> machineByPresentTask.remove(gone, machine));
        forgetUnbookedTasks(machine);
        for (Booking booking : new ArrayList<>(machine.bookings.values())) {
            release(booking, ReleaseReason.MACHINE_SCALED_IN, nowMicros);
        }
    }
}
