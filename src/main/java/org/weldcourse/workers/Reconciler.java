package org.weldcourse.workers;

import java.util.List;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.weldcourse.cluster.ClusterState;
import org.weldcourse.cluster.Machine;

/**
 * Accepts or refuses workers' heartbeats, and has those accepted reconciled with the bookings. Only a newer heartbeat
 * counts, and only one that shows this leader's token: before that, an older leader's commands could still reach the
 * worker and make the heartbeat untrue.
 */
public final class Reconciler {
    private static final Logger LOG = LoggerFactory.getLogger(Reconciler.class);

    private final ClusterState cluster;
    private final long fencingToken;
    private final BookingReconciliation bookings;
    private final AnswerLossDetector answerLoss;
    private final CommandSelector commands;

    /** A reconciler for the leader with this fencing token, whose workers' leases are this long. */
    public Reconciler(
            ClusterState cluster,
            CommandSelector commands,
            long fencingToken,
            long leaseMicros,
            StartAuthorization startAuthorization) {
        this.cluster = cluster;
        this.fencingToken = fencingToken;
        this.commands = commands;
        this.answerLoss = new AnswerLossDetector(leaseMicros);
        this.bookings = new BookingReconciliation(cluster, answerLoss, startAuthorization);
    }

    /**
     * What a heartbeat led to.
     *
     * @param commands the answer's commands for the worker, in the order in which they are to be carried out
     * @param changed whether something was learnt that the next admission cycle may use
     */
    public record Result(List<WorkerCommand> commands, boolean changed) {
        static final Result NOTHING = new Result(List.of(), false);
    }

    /**
     * Takes in a heartbeat and decides on the commands that answer it.
     *
     * @param mayStart whether the leader may start tasks at all now
     */
    public Result reconcile(Machine machine, Heartbeat heartbeat, boolean mayStart, long nowMicros) {
        if (!machine.isNewer(heartbeat)) {
            return Result.NOTHING;
        }
        if (heartbeat.fencingToken() != fencingToken) {
            // Older than this term, if only by the way it took: it may speak of a machine long gone. The answer
            // brings our token, and what the worker then says counts.
            return new Result(commands.stopCommandsForCancelledTasks(heartbeat), false);
        }
        if (heartbeat.incarnation() > machine.incarnation) {
            answerLoss.incarnationBegan(machine, nowMicros);
            LOG.debug("{} incarnation {}", machine.name, heartbeat.incarnation());
        }
        boolean changed = accept(machine, heartbeat, nowMicros);
        cluster.setPresentTasks(machine, heartbeat.tasks());
        changed |= bookings.reconcile(machine, heartbeat.tasks(), nowMicros);
        answerLoss.incarnationGoesOn(machine, nowMicros);
        // A machine whose return the cloud did not confirm goes on: it starts nothing more, but what leaves it is free.
        boolean mayStartThere = mayStart && !machine.isCordoned() && !machine.deleting;
        return new Result(commands.answer(machine, mayStartThere, nowMicros), changed);
    }

    /** Whether the next admission cycle may use what the heartbeat says of the machine itself. */
    private static boolean accept(Machine machine, Heartbeat heartbeat, long nowMicros) {
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
        changed |= noteReclaim(machine, heartbeat, nowMicros);
        return changed;
    }

    /** Whether this is the first that is heard of it that the cloud reclaims the machine. */
    private static boolean noteReclaim(Machine machine, Heartbeat heartbeat, long nowMicros) {
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
