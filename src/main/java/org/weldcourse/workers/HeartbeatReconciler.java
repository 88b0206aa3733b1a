package org.weldcourse.workers;

import java.util.List;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.weldcourse.cluster.ClusterState;
import org.weldcourse.cluster.Machine;

/**
 * Accepts or refuses workers' heartbeats and reconciles the accepted ones with the bookings. A heartbeat is accepted if
 * it is newer than the last one and carries this leader's fencing token. Until the worker has seen that token, commands
 * of an older leader could still reach it and change the tasks that its heartbeat listed.
 */
public final class HeartbeatReconciler {
    private static final Logger LOG = LoggerFactory.getLogger(HeartbeatReconciler.class);

    private final ClusterState cluster;
    private final long fencingToken;
    private final BookingReconciler bookingReconciler;
    private final ResponseLossDetector responseLossDetector;
    private final CommandSelector commandSelector;

    /** Creates a reconciler for the leader with this fencing token; worker leases last {@code leaseMicros}. */
    public HeartbeatReconciler(
            ClusterState cluster,
            CommandSelector commandSelector,
            long fencingToken,
            long leaseMicros,
            StartAuthorization startAuthorization) {
        this.cluster = cluster;
        this.fencingToken = fencingToken;
        this.commandSelector = commandSelector;
        this.responseLossDetector = new ResponseLossDetector(leaseMicros);
        this.bookingReconciler = new BookingReconciler(cluster, responseLossDetector, startAuthorization);
    }

    /**
     * The result of processing a heartbeat.
     *
     * @param commands the commands of the response, in the order in which the worker is to execute them
     * @param changed whether anything changed that the next admission cycle may use
     */
    public record Result(List<WorkerCommand> commands, boolean changed) {
        static final Result EMPTY = new Result(List.of(), false);
    }

    /**
     * Processes a heartbeat and selects the commands of the response.
     *
     * @param mayStart whether the leader may currently start tasks
     */
    public Result reconcile(Machine machine, Heartbeat heartbeat, boolean mayStart, long nowMicros) {
        if (!machine.isNewer(heartbeat)) {
            return Result.EMPTY;
        }
        if (heartbeat.fencingToken() != fencingToken) {
            // Sent before the worker saw this leader's token, perhaps long ago: the machine may no longer exist. The
            // response carries the token, and the next heartbeat is accepted.
            return new Result(commandSelector.stopCommandsForCancelledTasks(heartbeat), false);
        }
        if (heartbeat.incarnation() > machine.incarnation) {
            responseLossDetector.onNewIncarnation(machine, nowMicros);
            LOG.debug("{} incarnation {}", machine.name, heartbeat.incarnation());
        }
        boolean changed = updateMachine(machine, heartbeat, nowMicros);
        cluster.setPresentTasks(machine, heartbeat.tasks());
        changed |= bookingReconciler.reconcile(machine, heartbeat.tasks(), nowMicros);
        responseLossDetector.checkIncarnationOutlivesLease(machine, nowMicros);
        // A machine whose deletion the cloud has not confirmed is still reconciled: it starts nothing more, but its
        // exited tasks free their bookings.
        boolean mayStartThere = mayStart && !machine.isCordoned() && !machine.deleting;
        return new Result(commandSelector.selectCommands(machine, mayStartThere, nowMicros), changed);
    }

    /**
     * Updates the machine from the heartbeat; returns whether anything changed that the next admission cycle may use.
     */
    private static boolean updateMachine(Machine machine, Heartbeat heartbeat, long nowMicros) {
        machine.incarnation = heartbeat.incarnation();
        machine.heartbeatSequence = heartbeat.sequence();
        boolean changed = machine.lastHeartbeatMicros < 0 || !machine.reconciled;
        machine.reconciled = true;
        machine.lastHeartbeatMicros = nowMicros;
        if (machine.firstHeartbeatMicros < 0) {
            machine.firstHeartbeatMicros = nowMicros;
            machine.idleSinceMicros = Math.max(machine.idleSinceMicros, nowMicros);
        }
        machine.address = heartbeat.address();
        machine.zone = heartbeat.zone();
        machine.spot = heartbeat.spot();
        changed |= recordReclaimNotice(machine, heartbeat, nowMicros);
        return changed;
    }

    /** Records when the cloud reclaims the machine; returns whether this is the first notice. */
    private static boolean recordReclaimNotice(Machine machine, Heartbeat heartbeat, long nowMicros) {
        if (heartbeat.reclaimNoticeMicros() == Heartbeat.NO_RECLAIM_NOTICE) {
            return false;
        }
        boolean first = machine.reclaimAtMicros == Long.MAX_VALUE;
        machine.reclaimAtMicros = nowMicros + heartbeat.reclaimNoticeMicros();
        if (first) {
            LOG.info("spot machine {} will be reclaimed in {} s", machine.name, heartbeat.reclaimNoticeMicros() / 1e6);
        }
        return first;
    }
}
