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
 * Answers the workers' heartbeats in a leader's term. Each answer with status 200 renews the worker's lease and carries
 * the commands for the worker.
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

    /** A handler that runs {@code onChange} when a heartbeat changed what the admission cycle may act on. */
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

    /** Answers 503 while this leader may not renew workers' leases, else 200. */
    void handle(Heartbeat heartbeat, Reply reply) {
        long nowMicros = dependencies.clock().nowMicros();
        if (!mayRenewWorkerLeases(nowMicros)) {
            reply.refuse(503, "cut off from the state service", 1);
            return;
        }
        // A late copy may speak of a machine that is long gone; one that is there comes again with our fencing token.
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
     * While the store refuses this node, or as long as it has not read again since, other controllers may have confirmed
     * cancellations: what is started then would be stopped, but it would have been started.
     */
    private boolean mayStartTasks(long nowMicros) {
        return dependencies.election().isLeaseValid()
                && dependencies.store().failingSinceMicros() < 0
                && leaseRenewalBound.isReadFresh(nowMicros);
    }

    /**
     * After its own lease expiry a leader may keep work alive only while the others say that the store serves none of
     * them: else a successor may wait for its workers. And before or after, no longer than a cancellation that it has
     * not read of leaves time for.
     */
    private boolean mayRenewWorkerLeases(long nowMicros) {
        return leaseRenewalBound.mayRenewLeases(nowMicros)
                && (nowMicros < dependencies.election().leaseExpiryMicros()
                        || dependencies.storeOutage().affectsAllControllers());
    }
}
