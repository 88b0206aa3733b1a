package org.weldcourse.cluster;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.weldcourse.quota.ResourceAmount;
import org.weldcourse.workers.ExitCause;
import org.weldcourse.workers.TaskId;
import org.weldcourse.workers.TaskState;
import org.weldcourse.workers.TaskStatus;

/** The leader's in-memory state during one term: open jobs, machines, bookings and reported tasks. */
public final class ClusterState {
    private static final Logger LOG = LoggerFactory.getLogger(ClusterState.class);
    /** A job must not wait 90 s while there is free capacity, even if its own tasks fail. */
    static final long MAX_BACKOFF_MICROS = 60_000_000;

    /**
     * The backoff of a job whose task was refused by a worker; also the initial backoff of a replica that exits early.
     */
    private static final long REFUSED_BACKOFF_MICROS = 1_000_000;
    /** A replica that exits within this time counts as an error. */
    private static final long SHORT_RUN_MICROS = 10_000_000;

    /** Open jobs by id. */
    public final Map<String, Job> jobs = new HashMap<>();
    /** Known machines by name. */
    public final Map<String, Machine> machines = new HashMap<>();

    public final RunTimeEstimator runTimes = new RunTimeEstimator();
    /** The machine that last reported a task as present and not exited. */
    private final Map<TaskId, Machine> machineByPresentTask = new HashMap<>();
    /**
     * The usage that counts against each team's limit, updated incrementally so that no cycle has to sum all bookings.
     */
    public final QuotaUsage quotaUsage = new QuotaUsage();
    /** Closed jobs that still have booked tasks. */
    public final Map<String, Job> outstandingJobs = new HashMap<>();

    private final OperationCounter operations;
    private final TaskFailures failures = new TaskFailures(machines);
    private final PendingBookingChanges pendingChanges = new PendingBookingChanges();
    private Runnable onPendingChanges = () -> {};
    /** Reported tasks whose job is not known. */
    private int tasksOfUnknownJobs;

    /** Creates the state of a term. */
    public ClusterState() {
        this(new OperationCounter());
    }

    /** Creates the state of a term that counts the operations on single bookings. */
    public ClusterState(OperationCounter operations) {
        this.operations = operations;
    }

    /** The number of reported tasks whose job is not known, so that they cannot be charged to a team. */
    public int tasksOfUnknownJobs() {
        return tasksOfUnknownJobs;
    }

    /**
     * The usage that counts against the team's limit before anything more is admitted or started: besides bookings and
     * unbooked tasks, the tasks that are released but still on record, because a later leader may start them.
     */
    public ResourceAmount usageOnRecord(String team) {
        return quotaUsage.usedBy(team).plus(releasedOnRecord(team));
    }

    /** The amount of the team's tasks that are released but still on record. */
    public ResourceAmount releasedOnRecord(String team) {
        ResourceAmount released = ResourceAmount.ZERO;
        for (Job job : jobs.values()) {
            if (!job.releasedTasks().isEmpty()
                    && !job.isClosed()
                    && job.spec().team().equals(team)) {
                released = released.plus(job.spec().quotaPerTask().times(job.releasedTaskCount()));
            }
        }
        return released;
    }

    /** Returns the machine of this name and adds it if it is not known yet. */
    public Machine getOrAddMachine(String name, long nowMicros) {
        return machines.computeIfAbsent(name, unknown -> new Machine(unknown, nowMicros));
    }

    /** Books a task on a machine under an attempt number, with an admission of its own. */
    public Booking book(Job job, int task, int attempt, Machine machine, long nowMicros) {
        return book(job, task, new Admission(job, attempt), machine, nowMicros);
    }

    /** Books a task on a machine. */
    Booking book(Job job, int task, Admission admission, Machine machine, long nowMicros) {
        Booking booking = new Booking(job, task, admission, machine, nowMicros);
        Booking earlier = machine.bookings.get(booking.taskId());
        if (earlier != null) {
            // The earlier attempt's quota stays charged: nothing shows that its task is gone.
            LOG.error(
                    "{} attempt {} replaces the booking of attempt {} on {}",
                    booking.taskId(),
                    booking.attempt(),
                    earlier.attempt(),
                    machine.name);
            keepOnRecord(earlier);
            machine.bookings.remove(earlier);
        }
        booking.setGroup(machine.bookings.add(booking, operations));
        job.addBooking(booking);
        admission.booked(booking);
        quotaUsage.addBooked(job.spec());
        machine.invalidateAllocation();
        return booking;
    }

    /** Removes a booking from its machine and its job without requeuing the task. */
    public void discard(Booking booking) {
        keepOnRecord(booking);
        if (booking.machine().bookings.remove(booking)) {
            quotaUsage.removeBooked(booking.job().spec());
            booking.machine().invalidateAllocation();
        }
        booking.job().removeBooking(booking);
    }

    private static void keepOnRecord(Booking booking) {
        booking.admission().released(booking);
        if (!booking.isPersisted()) {
            booking.job().releasedTasks().addUnpersisted(booking.task());
        }
        String recordKey = booking.recordKey();
        if (recordKey != null) {
            booking.job().releasedTasks().add(recordKey, booking.task());
        }
    }

    /**
     * Releases a booking whose task is known not to be on the machine, or was never told to start there, and requeues
     * the task unless it is done. If a gang lost a task this way, the rest of the gang is evicted.
     */
    public void release(Booking booking, ReleaseReason reason, long nowMicros) {
        Machine machine = booking.machine();
        Job job = booking.job();
        boolean isCurrent = job.booking(booking.task()) == booking;
        keepOnRecord(booking);
        if (machine.bookings.remove(booking)) {
            quotaUsage.removeBooked(job.spec());
            machine.invalidateAllocation();
            if (LOG.isDebugEnabled()) {
                LOG.debug(
                        "{} attempt {} released from {}: {}",
                        booking.taskId(),
                        booking.attempt(),
                        machine.name,
                        reason);
            }
        }
        if (machine.bookings.isEmpty()) {
            machine.idleSinceMicros = nowMicros;
        }
        job.removeBooking(booking);
        if (isCurrent && !job.isDone(booking.task())) {
            job.requeue(booking.task());
            if (job.spec().isGang()) {
                evict(job, job.spec().checkpointSaveMicros());
            }
        }
    }

    /**
     * Releases bookings like {@link #release}: as many as one event may, and the rest in calls of {@link
     * #makePendingChanges}. Until then the rest counts as booked.
     *
     * @param bookings the bookings, which are asked for one by one, each when it is to be released
     * @param whenReleased called after the last one
     */
    public void releaseInParts(
            Iterator<Booking> bookings, ReleaseReason reason, Runnable whenReleased, LongSupplier nowMicros) {
        changeInParts(bookings, booking -> release(booking, reason, nowMicros.getAsLong()), whenReleased);
    }

    /** Requests the stop of bookings in parts, like {@link #releaseInParts}. */
    public void stopInParts(Iterator<Booking> bookings, long graceMicros, Runnable whenRequested) {
        changeInParts(bookings, booking -> booking.requestStop(graceMicros), whenRequested);
    }

    private void changeInParts(Iterator<Booking> bookings, Consumer<Booking> change, Runnable whenChanged) {
        pendingChanges.make(bookings, change, whenChanged);
        if (!pendingChanges.isEmpty()) {
            onPendingChanges.run();
        }
    }

    /** Whether changes are left to be made by {@link #makePendingChanges}. */
    public boolean hasPendingChanges() {
        return !pendingChanges.isEmpty();
    }

    /** Makes the next part of the changes that are left; returns whether more are left. */
    public boolean makePendingChanges() {
        pendingChanges.makePart();
        return !pendingChanges.isEmpty();
    }

    /** Sets what is called while changes are left to be made by {@link #makePendingChanges}. */
    public void onPendingChanges(Runnable listener) {
        onPendingChanges = listener;
    }

    /** Requests a stop of all booked tasks of a job. */
    public void evict(Job job, long graceMicros) {
        job.bookings().evict(graceMicros);
    }

    /** Processes the exit of a task on its machine, and releases its booking. */
    public void taskExited(Booking booking, ExitCause cause, long nowMicros) {
        switch (cause) {
            case DONE -> taskSucceeded(booking, nowMicros);
            case FAILED -> failures.taskFailed(booking, nowMicros);
            case REFUSED_NO_ROOM, REFUSED_OTHER_ATTEMPT, REFUSED_UNKNOWN_TASK -> {
                LOG.info(
                        "{} attempt {} refused by {}: {}",
                        booking.taskId(),
                        booking.attempt(),
                        booking.machine().name,
                        cause);
                booking.job().runHistory().backOffUntil(nowMicros + REFUSED_BACKOFF_MICROS);
            }
            default ->
                LOG.debug(
                        "{} attempt {} exited on {}: {}",
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
        failures.taskSucceeded(job, booking.machine());
        if (job.spec().isGang()) {
            job.markAllDone();
        } else if (!job.spec().isService()) {
            job.markDone(booking.task());
        }
        if (job.spec().isService() && ranMicros < SHORT_RUN_MICROS) {
            // Replicas are not expected to exit: back off, in case one always exits right after its start.
            long backoffMicros =
                    REFUSED_BACKOFF_MICROS << Math.min(6, job.runHistory().incrementErrors() - 1);
            job.runHistory().backOffUntil(nowMicros + Math.min(MAX_BACKOFF_MICROS, backoffMicros));
        } else {
            job.runHistory().clearErrors();
        }
        // The run time is known only if the start was observed; a run resumed from a checkpoint would look too short.
        if (booking.runningSinceMicros() >= 0 && booking.isStartObserved()) {
            runTimes.recordRun(job, ranMicros);
        }
    }

    /** Removes a job that is closed from the open ones. */
    public void removeClosed(Job job) {
        jobs.remove(job.spec().id());
        failures.withdraw(job);
    }

    /** Replaces the machine's unbooked tasks by those of its newest heartbeat. */
    public void setUnbookedTasks(Machine machine, List<TaskStatus> tasks) {
        machine.unbookedTasks.clear();
        machine.unbookedTasks.addAll(tasks);
        if (tasks.isEmpty() && machine.unbookedTaskJobs.isEmpty()) {
            return;
        }
        clearUnbookedTasks(machine);
        for (TaskStatus task : tasks) {
            Job job = findJob(task.id().jobId());
            machine.unbookedTaskJobs.add(Optional.ofNullable(job));
            if (job == null) {
                tasksOfUnknownJobs++;
            } else {
                job.addUnbookedTask(machine);
                quotaUsage.addUnbooked(job.spec());
            }
        }
    }

    private Job findJob(String id) {
        Job open = jobs.get(id);
        return open == null ? outstandingJobs.get(id) : open;
    }

    private void clearUnbookedTasks(Machine machine) {
        for (Optional<Job> job : machine.unbookedTaskJobs) {
            if (job.isEmpty()) {
                tasksOfUnknownJobs--;
            } else {
                job.get().removeUnbookedTask(machine);
                quotaUsage.removeUnbooked(job.get().spec());
            }
        }
        machine.unbookedTaskJobs.clear();
    }

    /** Replaces the tasks that are present on the machine by those in its newest heartbeat that have not exited. */
    public void setPresentTasks(Machine machine, List<TaskStatus> tasks) {
        Set<TaskId> previous = machine.presentTasks;
        Set<TaskId> current = new HashSet<>(tasks.size() * 2);
        for (TaskStatus task : tasks) {
            if (task.state() != TaskState.EXITED) {
                current.add(task.id());
                previous.remove(task.id());
                machineByPresentTask.put(task.id(), machine);
            }
        }
        previous.forEach(task -> machineByPresentTask.remove(task, machine));
        machine.presentTasks = current;
    }

    /** The machine that last reported the task, or null. The task must not be started on any other machine. */
    public Machine lastSeenOn(TaskId task) {
        return machineByPresentTask.get(task);
    }

    /** Removes a machine whose deletion the cloud has confirmed, and releases its bookings. */
    public void removeMachine(Machine machine, long nowMicros) {
        removeMachines(List.of(machine), nowMicros);
    }

    /** Removes machines whose deletion the cloud has confirmed, and releases their bookings in parts. */
    public void removeMachines(List<Machine> removed, long nowMicros) {
        for (Machine machine : removed) {
            machines.remove(machine.name);
            machine.presentTasks.forEach(task -> machineByPresentTask.remove(task, machine));
            clearUnbookedTasks(machine);
            evictGangsOn(machine);
        }
        Iterator<Machine> rest = removed.iterator();
        releaseInParts(new BookingsOfMachines(rest), ReleaseReason.MACHINE_SCALED_IN, () -> {}, () -> nowMicros);
    }

    /** Evicts the gangs that have lost a machine, without waiting until their bookings there are released. */
    private void evictGangsOn(Machine machine) {
        for (BookingGroup group : machine.bookings.groups()) {
            if (group.spec().isGang() && !group.job().allDone()) {
                evict(group.job(), group.spec().checkpointSaveMicros());
            }
        }
    }
}
