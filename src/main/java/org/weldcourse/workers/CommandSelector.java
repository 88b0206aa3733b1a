package org.weldcourse.workers;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.weldcourse.cluster.Booking;
import org.weldcourse.cluster.ClusterState;
import org.weldcourse.cluster.Job;
import org.weldcourse.cluster.Machine;
import org.weldcourse.jobs.JobSpec;

/** Selects the commands to send to a worker from the bookings of its machine and its last heartbeat. */
public final class CommandSelector {
    /** Keeps a message well below the limit of 64 KiB; the remaining commands go out with the next message. */
    static final int MAX_COMMANDS = 500;

    private static final int MAX_FORGET_COMMANDS = MAX_COMMANDS / 4;

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
        addForgets(machine, commands);
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
    private void addForgets(Machine machine, List<WorkerCommand> commands) {
        List<WorkerCommand> forgets = forgetCommands(machine);
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
        for (Booking booking : machine.bookings.values()) {
            if (!booking.isReported()) {
                continue;
            }
            // Does not wait for the admission cycle to request the stop: this response renews the worker's lease.
            if (booking.job().isCancelled()) {
                booking.requestStop(0);
            }
            if (booking.isStopRequested() && commands.size() < MAX_COMMANDS) {
                commands.add(WorkerCommand.stop(booking.taskId(), booking.attempt(), booking.gracePeriodMicros()));
                booking.markStopSent();
            }
        }
    }

    /** Whether an admitted task fits the machine's capacity now, so that a response would start it. */
    public boolean hasTasksToStart(Machine machine) {
        if (!mayStartOn(machine)) {
            return false;
        }
        RemainingCapacity freeCapacity = RemainingCapacity.afterStops(machine);
        return machine.bookings.values().stream()
                .anyMatch(booking -> StartAuthorization.isAdmitted(booking)
                        && freeCapacity.fits(booking.job().spec()));
    }

    /**
     * Whether tasks may be started on the machine. One whose deletion the cloud has not confirmed starts nothing more,
     * but its exited tasks free their bookings.
     */
    private static boolean mayStartOn(Machine machine) {
        return machine.type != null && !machine.isCordoned() && !machine.deleting;
    }

    private void addStarts(Machine machine, List<WorkerCommand> commands, long nowMicros) {
        RemainingCapacity freeCapacity = RemainingCapacity.afterStops(machine);
        for (Booking booking : machine.bookings.values()) {
            JobSpec spec = booking.job().spec();
            if (!freeCapacity.fits(spec)
                    || commands.size() >= MAX_COMMANDS
                    || !startAuthorization.allows(booking, nowMicros)) {
                continue;
            }
            freeCapacity.allocate(spec);
            booking.markStartSent();
            commands.add(WorkerCommand.start(booking.taskId(), booking.attempt()));
            startAuthorization.recordStart(booking);
        }
    }

    /**
     * Whether a task waits for its start command, which only the response to the machine's next heartbeat can carry.
     */
    public boolean needsHeartbeatPrompt(Machine machine) {
        for (Booking booking : machine.bookings.values()) {
            if (booking.isPersisted()
                    && !booking.isReported()
                    && !booking.isStartSent()
                    && !booking.isStopRequested()) {
                return true;
            }
        }
        return false;
    }

    /**
     * Returns a forget command that makes the worker send a heartbeat at once, if there is one. Workers report the
     * change of their task list at once, and only the response to a heartbeat can carry a start command.
     */
    public Optional<WorkerCommand> heartbeatPromptCommand(Machine machine) {
        List<WorkerCommand> forgets = forgetCommands(machine);
        return forgets.isEmpty() ? Optional.empty() : Optional.of(forgets.get(forgets.size() - 1));
    }

    private List<WorkerCommand> forgetCommands(Machine machine) {
        List<WorkerCommand> forgets = new ArrayList<>();
        for (TaskStatus task : machine.exitedTasks) {
            Job job = cluster.jobs.get(task.id().jobId());
            if (job == null || job.mayForget(task.id().index(), task.attempt())) {
                forgets.add(WorkerCommand.forget(task.id(), task.attempt()));
            }
        }
        return forgets;
    }
}
