package org.weldcourse.workers;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.weldcourse.cluster.Booking;
import org.weldcourse.cluster.ClusterState;
import org.weldcourse.cluster.Job;
import org.weldcourse.cluster.Machine;
import org.weldcourse.fleet.MachineType;
import org.weldcourse.jobs.JobSpec;

/** Selects the commands that a worker is to be sent, by the bookings of its machine and what it last reported. */
public final class CommandSelector {
    /** So many commands stay well below the 64 KiB that a message may have; the rest goes with the next one. */
    static final int MAX_COMMANDS = 500;

    private static final int MAX_FORGETS = MAX_COMMANDS / 4;

    private final ClusterState cluster;
    private final StartAuthorization startAuthorization;

    /** Selects commands by this state; {@link StartAuthorization} has the last word on each start. */
    public CommandSelector(ClusterState cluster, StartAuthorization startAuthorization) {
        this.cluster = cluster;
        this.startAuthorization = startAuthorization;
    }

    /** The commands that answer an accepted heartbeat: first what leaves the machine, then starts on the room left. */
    List<WorkerCommand> answer(Machine machine, boolean mayStart, long nowMicros) {
        List<WorkerCommand> commands = new ArrayList<>();
        addForgets(machine, commands);
        addStopsOfUnbooked(machine, commands);
        addStops(machine, commands);
        if (mayStart && machine.type != null) {
            addStarts(machine, commands, nowMicros);
        }
        return commands;
    }

    /**
     * For an answer to a heartbeat that teaches nothing: it renews the worker's lease all the same, and no renewal may
     * carry a cancelled task along. To stop an attempt of a cancelled job is right however old the heartbeat.
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
     * Exits that are on record, so that no leader will ever start these attempts again. The last one is kept back, to
     * prompt a heartbeat with it ({@link #heartbeatPromptCommand}).
     */
    private void addForgets(Machine machine, List<WorkerCommand> commands) {
        List<WorkerCommand> forgets = forgets(machine);
        int kept = forgets.size() == machine.exitedTasks.size() ? 1 : 0;
        int told = Math.min(forgets.size() - kept, MAX_FORGETS);
        for (int i = 0; i < told; i++) {
            commands.add(forgets.get(i));
        }
    }

    private static void addStopsOfUnbooked(Machine machine, List<WorkerCommand> commands) {
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
            // Not only after the cycle that asks for its end: the answer at hand renews the worker's lease.
            if (booking.job().isCancelled()) {
                booking.requestStop(0);
            }
            if (booking.isStopRequested() && commands.size() < MAX_COMMANDS) {
                commands.add(WorkerCommand.stop(booking.taskId(), booking.attempt(), booking.gracePeriodMicros()));
                booking.markStopSent();
            }
        }
    }

    private void addStarts(Machine machine, List<WorkerCommand> commands, long nowMicros) {
        Room room = new Room(machine.type);
        for (Booking booking : machine.bookings.values()) {
            // The worker takes commands in turn, and a task that has no checkpoint to save exits at once.
            if (booking.isReported() && (!booking.isStopRequested() || savesCheckpoint(booking))) {
                room.take(booking.job().spec());
            }
        }
        for (Booking booking : machine.bookings.values()) {
            JobSpec spec = booking.job().spec();
            if (!room.fits(spec) || commands.size() >= MAX_COMMANDS || !startAuthorization.allows(booking, nowMicros)) {
                continue;
            }
            room.take(spec);
            booking.markStartSent();
            commands.add(WorkerCommand.start(booking.taskId(), booking.attempt()));
            startAuthorization.started(booking);
        }
    }

    /** What of a machine is taken while its commands are selected. */
    private static final class Room {
        private final MachineType type;
        private double cpus;
        private double gpus;
        private double memoryGb;

        Room(MachineType type) {
            this.type = type;
        }

        void take(JobSpec spec) {
            cpus += spec.cpus();
            gpus += spec.gpus();
            memoryGb += spec.memoryGb();
        }

        boolean fits(JobSpec spec) {
            double slack = MachineType.EPSILON;
            return cpus + spec.cpus() <= type.cpus() + slack
                    && gpus + spec.gpus() <= type.gpus() + slack
                    && memoryGb + spec.memoryGb() <= type.memoryGb() + slack;
        }
    }

    private static boolean savesCheckpoint(Booking booking) {
        boolean canSave = booking.job().spec().checkpointIntervalMicros() > 0
                && booking.gracePeriodMicros() > 0
                && booking.gracePeriodMicros() >= booking.job().spec().checkpointSaveMicros();
        return canSave && booking.isRunning();
    }

    /** Whether something waits to be started there that only an answer to the machine's next heartbeat would bring. */
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
     * A command that makes the worker send a heartbeat at once, if there is one: to forget an exited task is a change,
     * and only a heartbeat can be answered with a start.
     */
    public Optional<WorkerCommand> heartbeatPromptCommand(Machine machine) {
        List<WorkerCommand> forgets = forgets(machine);
        return forgets.isEmpty() ? Optional.empty() : Optional.of(forgets.get(forgets.size() - 1));
    }

    private List<WorkerCommand> forgets(Machine machine) {
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
