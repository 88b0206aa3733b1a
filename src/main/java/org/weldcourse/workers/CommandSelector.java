package org.weldcourse.workers;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.weldcourse.cluster.Booking;
import org.weldcourse.cluster.BookingGroup;
import org.weldcourse.cluster.ClusterState;
import org.weldcourse.cluster.Job;
import org.weldcourse.cluster.Machine;

/** Selects the commands to send to a worker from the bookings of its machine and its last heartbeat. */
public final class CommandSelector {
    /** Keeps a message well below the limit of 64 KiB; the remaining commands go out with the next message. */
    static final int MAX_COMMANDS = 500;

    private static final int MAX_FORGET_COMMANDS = MAX_COMMANDS / 4;

    /** How many tasks of a job may be refused before the rest waits for the machine's next heartbeat. */
    private static final int MAX_REFUSED_STARTS = 50;

    private final ClusterState cluster;
    private final StartAuthorization startAuthorization;

    /** Creates a selector over this cluster state; {@link StartAuthorization} decides on each start. */
    public CommandSelector(ClusterState cluster, StartAuthorization startAuthorization) {
        this.cluster = cluster;
        this.startAuthorization = startAuthorization;
    }

    /**
     * Selects the commands of the response to an accepted heartbeat: forget and stop commands first, then starts on the
     * remaining capacity.
     *
     * @param mayStart whether the leader may start tasks: its lease is valid, and every cancellation that was confirmed
     *     before the heartbeat arrived is known
     */
    public List<WorkerCommand> selectCommands(Machine machine, boolean mayStart, long nowMicros) {
        List<WorkerCommand> commands = new ArrayList<>();
        addForgets(machine, commands, nowMicros);
        addStopsOfUnbookedTasks(machine, commands);
        addStops(machine, commands);
        if (mayStart && mayStartOn(machine)) {
            addStarts(machine, commands, nowMicros);
        }
        return commands;
    }

    /**
     * Selects the stop commands for the response to a heartbeat that is not reconciled. That response also renews the
     * worker's lease, and a renewal must not keep a cancelled task alive. An attempt of a cancelled job may be stopped
     * however old the heartbeat is.
     */
    public List<WorkerCommand> stopCommandsForCancelledTasks(Heartbeat heartbeat) {
        List<WorkerCommand> commands = new ArrayList<>();
        for (TaskStatus task : heartbeat.tasks()) {
            Job job = cluster.jobs.get(task.id().jobId());
            if (job != null
                    && job.isCancelled()
                    && task.state() != TaskState.EXITED
                    && commands.size() < MAX_COMMANDS) {
                commands.add(WorkerCommand.stop(task.id(), task.attempt(), 0));
            }
        }
        return commands;
    }

    /**
     * Adds commands to forget exited attempts that no leader can start again, as the store's records show. If all
     * exited tasks may be forgotten, the last one is held back to prompt a heartbeat ({@link #heartbeatPromptCommand}).
     */
    private void addForgets(Machine machine, List<WorkerCommand> commands, long nowMicros) {
        List<WorkerCommand> forgets = forgetCommands(machine, nowMicros);
        int heldBack = forgets.size() == machine.exitedTasks.size() ? 1 : 0;
        int count = Math.min(forgets.size() - heldBack, MAX_FORGET_COMMANDS);
        for (int i = 0; i < count; i++) {
            commands.add(forgets.get(i));
        }
    }

    private static void addStopsOfUnbookedTasks(Machine machine, List<WorkerCommand> commands) {
        for (TaskStatus unbooked : machine.unbookedTasks) {
            if (commands.size() >= MAX_COMMANDS) {
                return;
            }
            commands.add(WorkerCommand.stop(unbooked.id(), unbooked.attempt(), 0));
        }
    }

    private static void addStops(Machine machine, List<WorkerCommand> commands) {
        for (BookingGroup group : machine.bookings.groups()) {
            for (Booking booking : group.present()) {
                // Does not wait for the admission cycle to request the stop: this response renews the worker's lease.
                if (booking.isReported() && group.job().isCancelled()) {
                    booking.requestStop(0);
                }
                if (booking.isReported() && booking.isStopRequested() && commands.size() < MAX_COMMANDS) {
                    commands.add(WorkerCommand.stop(booking.taskId(), booking.attempt(), booking.gracePeriodMicros()));
                    booking.markStopSent();
                }
            }
        }
    }

    /** Whether an admitted task fits the machine's capacity now, so that a response would start it. */
    public boolean hasTasksToStart(Machine machine) {
        if (!mayStartOn(machine)) {
            return false;
        }
        RemainingCapacity freeCapacity = RemainingCapacity.afterStops(machine);
        for (BookingGroup group : machine.bookings.groups()) {
            if (freeCapacity.fits(group.spec()) && hasAdmittedTask(group)) {
                return true;
            }
        }
        return false;
    }

    /** Whether a task of the group waits for its start on a persisted admission, among those that are looked at first. */
    private static boolean hasAdmittedTask(BookingGroup group) {
        int left = MAX_REFUSED_STARTS;
        for (Booking booking : group.waiting()) {
            if (StartAuthorization.isAdmitted(booking)) {
                return true;
            }
            if (--left == 0) {
                return false;
            }
        }
        return false;
    }

    /**
     * Whether tasks may be started on the machine. One whose deletion the cloud has not confirmed starts nothing more,
     * but its exited tasks free their bookings.
     */
    private static boolean mayStartOn(Machine machine) {
        return machine.type != null && !machine.isClosedToStarts() && !machine.deleting;
    }

    private void addStarts(Machine machine, List<WorkerCommand> commands, long nowMicros) {
        RemainingCapacity freeCapacity = RemainingCapacity.afterStops(machine);
        for (BookingGroup group : machine.bookings.groups()) {
            if (freeCapacity.fits(group.spec()) && hasAdmittedTask(group)) {
                addStarts(group, freeCapacity, commands, nowMicros);
            }
        }
    }

    private void addStarts(
            BookingGroup group, RemainingCapacity freeCapacity, List<WorkerCommand> commands, long nowMicros) {
        List<Booking> toStart = new ArrayList<>();
        List<Booking> refused = new ArrayList<>();
        for (Booking booking : group.waiting()) {
            if (!freeCapacity.fits(group.spec())
                    || commands.size() + toStart.size() >= MAX_COMMANDS
                    || refused.size() >= MAX_REFUSED_STARTS) {
                break;
            }
            if (startAuthorization.allows(booking, nowMicros)) {
                freeCapacity.allocate(group.spec());
                toStart.add(booking);
            } else {
                refused.add(booking);
            }
        }
        // The next response looks at other tasks first.
        refused.forEach(group::moveToEnd);
        for (Booking booking : toStart) {
            booking.markStartSent();
            booking.machine().recentStarts.add(booking.taskId(), booking.attempt(), nowMicros);
            commands.add(WorkerCommand.start(booking.taskId(), booking.attempt()));
            startAuthorization.recordStart(booking);
        }
    }

    /**
     * Whether a task waits for its start command, which only the response to the machine's next heartbeat can carry.
     */
    public boolean needsHeartbeatPrompt(Machine machine) {
        for (BookingGroup group : machine.bookings.groups()) {
            int left = MAX_REFUSED_STARTS;
            for (Booking booking : group.waiting()) {
                if (booking.isPersisted() && !booking.isStopRequested()) {
                    return true;
                }
                if (--left == 0) {
                    break;
                }
            }
        }
        return false;
    }

    /**
     * Returns a forget command that makes the worker send a heartbeat at once, if there is one. Workers report the
     * change of their task list at once, and only the response to a heartbeat can carry a start command.
     */
    public Optional<WorkerCommand> heartbeatPromptCommand(Machine machine, long nowMicros) {
        List<WorkerCommand> forgets = forgetCommands(machine, nowMicros);
        return forgets.isEmpty() ? Optional.empty() : Optional.of(forgets.get(forgets.size() - 1));
    }

    /** The commands to forget attempts that no leader can start again, and that no copy of a start command can either. */
    private List<WorkerCommand> forgetCommands(Machine machine, long nowMicros) {
        List<WorkerCommand> forgets = new ArrayList<>();
        for (TaskStatus task : machine.exitedTasks) {
            Job job = cluster.jobs.get(task.id().jobId());
            boolean isOver = job == null || job.mayForget(task.id().index(), task.attempt());
            if (isOver && !machine.recentStarts.mayBeRepeated(task.id(), task.attempt(), nowMicros)) {
                forgets.add(WorkerCommand.forget(task.id(), task.attempt()));
            }
        }
        return forgets;
    }
}
