package org.weldcourse.workers;

import java.util.ArrayList;
import java.util.List;
import org.weldcourse.cluster.Booking;
import org.weldcourse.cluster.BookingGroup;
import org.weldcourse.cluster.ClusterState;
import org.weldcourse.cluster.Machine;
import org.weldcourse.http.HttpClient;

/**
 * Sends commands to workers without waiting for their next heartbeat: stops, and single forget commands that prompt a
 * heartbeat. Both are harmless when they arrive late or twice. All other forget commands go out with heartbeat
 * responses, since a request of their own would cost more than the longer list of tasks in the heartbeats.
 */
public final class DirectCommands {
    private static final long TIMEOUT_MICROS = 2_000_000;

    private final ClusterState cluster;
    private final CommandSelector selector;
    private final HttpClient httpClient;
    private final long fencingToken;
    private final int maxInFlight;
    private int inFlight;

    /** Creates a sender with at most {@code maxInFlight} messages in flight, under this leader's fencing token. */
    public DirectCommands(
            ClusterState cluster, CommandSelector selector, HttpClient httpClient, long fencingToken, int maxInFlight) {
        this.cluster = cluster;
        this.selector = selector;
        this.httpClient = httpClient;
        this.fencingToken = fencingToken;
        this.maxInFlight = maxInFlight;
    }

    /**
     * Sends the commands that should not wait for the next heartbeats, up to the limit of messages in flight. The
     * remaining commands go out in the next cycle or in heartbeat responses.
     *
     * @param overloaded whether the leader is overloaded; then no heartbeats are prompted, since each costs a message
     *     and an additional heartbeat
     */
    public void send(boolean overloaded, long nowMicros) {
        for (Machine machine : cluster.machines.values()) {
            if (inFlight >= maxInFlight) {
                return;
            }
            if (machine.hasUnsentCommands && isReachable(machine)) {
                List<WorkerCommand> commands = selectCommands(machine, overloaded, nowMicros);
                if (!commands.isEmpty()) {
                    post(machine, commands);
                }
            }
        }
    }

    private static boolean isReachable(Machine machine) {
        return !machine.directCommandsInFlight && machine.reconciled && !machine.deleting && machine.address != null;
    }

    private List<WorkerCommand> selectCommands(Machine machine, boolean overloaded, long nowMicros) {
        machine.hasUnsentCommands = selector.needsHeartbeatPrompt(machine);
        List<WorkerCommand> commands = new ArrayList<>();
        if (machine.hasUnsentCommands && !overloaded && !machine.heartbeatResponsePending) {
            selector.heartbeatPromptCommand(machine, nowMicros).ifPresent(commands::add);
        }
        for (BookingGroup group : machine.bookings.groups()) {
            addStops(group, commands);
        }
        if (commands.size() >= CommandSelector.MAX_COMMANDS) {
            // The rest goes out after the response to this message.
            machine.hasUnsentCommands = true;
        }
        return commands;
    }

    private static void addStops(BookingGroup group, List<WorkerCommand> commands) {
        for (Booking booking : group.present()) {
            if (commands.size() >= CommandSelector.MAX_COMMANDS) {
                return;
            }
            if (booking.needsStopCommand()) {
                booking.markStopSent();
                commands.add(WorkerCommand.stop(booking.taskId(), booking.attempt(), booking.gracePeriodMicros()));
            }
        }
    }

    private void post(Machine machine, List<WorkerCommand> commands) {
        machine.directCommandsInFlight = true;
        inFlight++;
        httpClient.call(
                new HttpClient.Call(
                        machine.address,
                        "POST",
                        "/orders",
                        CommandCodec.encodeDirectMessage(fencingToken, machine.incarnation, commands),
                        TIMEOUT_MICROS),
                response -> {
                    machine.directCommandsInFlight = false;
                    inFlight--;
                });
    }
}
