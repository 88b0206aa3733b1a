package org.weldcourse.workers;

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

    /** Creates a reconciler for the leader with this fencing token; worker leases last {@code leaseMicros}. */
    public HeartbeatReconciler(
            ClusterState cluster, long fencingToken, long leaseMicros, StartAuthorization startAuthorization) {
        this.cluster = cluster;
        this.fencingToken = fencingToken;
        this.responseLossDetector = new ResponseLossDetector(leaseMicros);
        this.bookingReconciler = new BookingReconciler(cluster, responseLossDetector, startAuthorization);
    }

    /**
     * The result of processing a heartbeat.
     *
     * @param accepted whether the heartbeat tells what is on the machine, so that its response may carry any command
     * @param changed whether anything changed that the next admission cycle may use
     */
    public record Result(boolean accepted, boolean changed) {
        static final Result REFUSED = new Result(false, false);
    }

    /** Accepts or refuses a heartbeat, and updates the machine and its bookings from an accepted one. */
    public Result reconcile(Machine machine, Heartbeat heartbeat, long nowMicros) {
        // With another token, it was sent before the worker saw this leader's, perhaps long ago: the machine may no
        // longer exist. The response carries the token, and the next heartbeat is accepted.
        if (!machine.isNewer(heartbeat) || heartbeat.fencingToken() != fencingToken) {
            return Result.REFUSED;
        }
        if (heartbeat.incarnation() > machine.incarnation) {
            responseLossDetector.onNewIncarnation(machine, nowMicros);
            LOG.debug("{} incarnation {}", machine.name, heartbeat.incarnation());
        }
        boolean changed = updateMachine(machine, heartbeat, nowMicros);
        cluster.setPresentTasks(machine, heartbeat.tasks());
        changed |= bookingReconciler.reconcile(machine, heartbeat.tasks(), nowMicros);
        responseLossDetector.checkIncarnationOutlivesLease(machine, nowMicros);
        return new Result(true, changed);
    }

    /**
     * Releases bookings of the machine that became unwanted after its last heartbeat was accepted and before the
     * response to it is sent. Returns whether any was released.
     */
    public boolean releaseUnwanted(Machine machine, long nowMicros) {
        return bookingReconciler.releaseUnwanted(machine, nowMicros);
    }

    /**
     * Updates the machine from the heartbeat; returns whether anything changed that the next admission cycle may use.
     */
    private static boolean updateMachine(Machine machine, Heartbeat heartbeat, long nowMicros) {
        machine.incarnation = heartbeat.incarnation();
        machine.heartbeatSequence = heartbeat.sequence();
        // The worker has given up the heartbeat before, if its response is still held back.
        machine.heartbeatResponsePending = false;
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
