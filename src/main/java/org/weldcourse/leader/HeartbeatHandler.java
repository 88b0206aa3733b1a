package org.weldcourse.leader;

import org.weldcourse.cluster.ClusterState;
import org.weldcourse.cluster.Machine;
import org.weldcourse.fleet.Autoscaler;
import org.weldcourse.http.Server.Reply;
import org.weldcourse.workers.CommandCodec;
import org.weldcourse.workers.CommandSelector;
import org.weldcourse.workers.Heartbeat;
import org.weldcourse.workers.HeartbeatReconciler;
import org.weldcourse.workers.WorkerLeaseRenewalBound;

/**
 * Answers the workers' heartbeats in a leader's term. Each response with status 200 renews the worker's lease and
 * carries the commands for the worker.
 */
final class HeartbeatHandler {
    private final LeaderTermDependencies dependencies;
    private final long fencingToken;
    private final ClusterState cluster;
    private final Autoscaler autoscaler;
    private final CommandSelector commands;
    private final HeartbeatReconciler reconciler;
    private final RecoveryProgress recovery;
    private final WorkerLeaseRenewalBound leaseRenewalBound;
    private final Runnable onChange;

    /** Creates a handler that runs {@code onChange} when a heartbeat changed state that the admission cycle reads. */
    HeartbeatHandler(
            LeaderTermDependencies dependencies,
            long fencingToken,
            ClusterState cluster,
            Autoscaler autoscaler,
            CommandSelector commands,
            HeartbeatReconciler reconciler,
            RecoveryProgress recovery,
            WorkerLeaseRenewalBound leaseRenewalBound,
            Runnable onChange) {
        this.dependencies = dependencies;
        this.fencingToken = fencingToken;
        this.cluster = cluster;
        this.autoscaler = autoscaler;
        this.commands = commands;
        this.reconciler = reconciler;
        this.recovery = recovery;
        this.leaseRenewalBound = leaseRenewalBound;
        this.onChange = onChange;
    }

    /** Responds with 503 while this leader may not renew workers' leases, otherwise with 200. */
    void handle(Heartbeat heartbeat, Reply reply) {
        long nowMicros = dependencies.clock().nowMicros();
        if (!mayRenewWorkerLeases(nowMicros)) {
            reply.refuse(503, "cut off from the state service", 1);
            return;
        }
        // A delayed heartbeat may come from a machine that no longer exists. A machine that still exists sends the
        // current fencing token with its next heartbeat.
        boolean unknownMachine =
                heartbeat.fencingToken() != fencingToken && !cluster.machines.containsKey(heartbeat.machine());
        if (!recovery.isComplete() || unknownMachine || autoscaler.isDeleted(heartbeat.machine())) {
            reply.send(
                    200,
                    CommandCodec.encodeHeartbeatResponse(
                            fencingToken, commands.stopCommandsForCancelledTasks(heartbeat)));
            return;
        }
        Machine machine = cluster.getOrAddMachine(heartbeat.machine(), nowMicros);
        if (machine.type == null) {
            machine.type =
                    dependencies.machineTypes().byName(heartbeat.machineType()).orElse(null);
        }
        HeartbeatReconciler.Result result =
                reconciler.reconcile(machine, heartbeat, mayStartTasks(nowMicros), nowMicros);
        reply.send(200, CommandCodec.encodeHeartbeatResponse(fencingToken, result.commands()));
        if (result.changed()) {
            onChange.run();
        }
    }

    /**
     * Whether tasks may be started. While the store refuses this node, and until this node has read the open jobs
     * again, other controllers may have confirmed cancellations that it doesn't know of: it would start cancelled
     * tasks.
     */
    private boolean mayStartTasks(long nowMicros) {
        return dependencies.election().isLeaseValid()
                && dependencies.store().failingSinceMicros() < 0
                && leaseRenewalBound.isReadFresh(nowMicros);
    }

    /**
     * Whether workers' leases may be renewed. After its own lease has expired, a leader may keep tasks running only
     * while the other controllers report that the store serves none of them: otherwise a successor may be waiting for
     * the workers' leases to expire. In any case, the time since the last read of the open jobs is bounded, so that a
     * cancellation that this leader has not read still takes effect in time.
     */
    private boolean mayRenewWorkerLeases(long nowMicros) {
        return leaseRenewalBound.mayRenewLeases(nowMicros)
                && (nowMicros < dependencies.election().leaseExpiryMicros()
                        || dependencies.storeOutage().affectsAllControllers());
    }
}
