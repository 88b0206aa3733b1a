package org.weldcourse.workers;

import java.util.ArrayList;
import java.util.List;
import org.weldcourse.cluster.Booking;
import org.weldcourse.cluster.ClusterState;
import org.weldcourse.cluster.Machine;
import org.weldcourse.http.Caller;

/**
 * Sends commands straight to workers, beside the answers to their heartbeats: stops that need not wait for the next one,
 * and forgets that prompt one. A late copy of either does no harm. Everything else that a worker may forget is told with
 * its next heartbeat: a request for it alone would cost more than the longer list.
 */
public final class DirectCommands {
    private static final long TIMEOUT_MICROS = 2_000_000;

    private final ClusterState cluster;
    private final CommandSelector selector;
    private final Caller caller;
    private final long fencingToken;
    private final int maxInFlight;
    private int inFlight;

    /** Sends at most {@code maxInFlight} messages at a time, under this leader's fencing token. */
    public DirectCommands(
            ClusterState cluster, CommandSelector selector, Caller caller, long fencingToken, int maxInFlight) {
        this.cluster = cluster;
        this.selector = selector;
        this.caller = caller;
        this.fencingToken = fencingToken;
        this.maxInFlight = maxInFlight;
    }

    /**
     * Sends what machines should hear before their next heartbeats, as far as messages in flight allow: the rest of a
     * wave is told in the next cycle, or with the next heartbeats.
     *
     * @param overloaded the leader is short of time: no heartbeats are prompted, since each costs a message and another
     *     heartbeat
     */
    public void send(boolean overloaded) {
        for (Machine machine : cluster.machines.values()) {
            if (inFlight >= maxInFlight) {
                return;
            }
            if (machine.hasUnsentCommands && isReachable(machine)) {
                List<WorkerCommand> commands = commands(machine, overloaded);
                if (!commands.isEmpty()) {
                    post(machine, commands);
                }
            }
        }
    }

    private static boolean isReachable(Machine machine) {
        return !machine.directCommandsInFlight && machine.reconciled && !machine.deleting && machine.address != null;
    }

    private List<WorkerCommand> commands(Machine machine, boolean overloaded) {
        machine.hasUnsentCommands = selector.needsHeartbeatPrompt(machine);
        List<WorkerCommand> commands = new ArrayList<>();
        if (machine.hasUnsentCommands && !overloaded) {
            selector.heartbeatPromptCommand(machine).ifPresent(commands::add);
        }
        for (Booking booking : machine.bookings.values()) {
            if (commands.size() >= CommandSelector.MAX_COMMANDS) {
                break;
            }
            if (booking.needsStopCommand()) {
                booking.markStopSent();
                commands.add(WorkerCommand.stop(booking.taskId(), booking.attempt(), booking.gracePeriodMicros()));
            }
        }
        return commands;
    }

    private void post(Machine machine, List<WorkerCommand> commands) {
        machine.directCommandsInFlight = true;
        inFlight++;
        caller.call(
                new Caller.Call(
                        machine.address,
                        "POST",
                        "/orders",
                        CommandCodec.encodeDirectMessage(fencingToken, machine.incarnation, commands),
                        TIMEOUT_MICROS),
                answer -> {
                    machine.directCommandsInFlight = false;
                    inFlight--;
                });
    }
}
