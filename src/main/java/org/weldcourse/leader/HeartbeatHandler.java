package org.weldcourse.leader;

import java.util.List;
import org.weldcourse.cluster.ClusterState;
import org.weldcourse.cluster.Machine;
import org.weldcourse.fleet.Autoscaler;
import org.weldcourse.http.Server.Reply;
import org.weldcourse.persistence.ReadBarrier;
import org.weldcourse.workers.CommandCodec;
import org.weldcourse.workers.CommandSelector;
import org.weldcourse.workers.Heartbeat;
import org.weldcourse.workers.HeartbeatReconciler;
import org.weldcourse.workers.WorkerCommand;
import org.weldcourse.workers.WorkerLeaseRenewalBound;

/**
 * Answers the workers' heartbeats in a leader's term. Each response with status 200 renews the worker's lease and
 * carries the commands for the worker.
 *
 * <p>Any controller may confirm a cancellation at any time, also while this leader is cut off from the store. Thus a
 * response that starts tasks is held back until the open jobs were read by a request that was sent after the heartbeat
 * arrived: a cancellation that was confirmed before the worker sent its heartbeat is then known, however long this
 * leader has not heard of the store. No other response is held back.
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
    private final ReadBarrier readBarrier;
    private final Runnable onChange;
    private boolean stopped;

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
            ReadBarrier readBarrier,
            Runnable onChange) {
        this.dependencies = dependencies;
        this.fencingToken = fencingToken;
        this.cluster = cluster;
        this.autoscaler = autoscaler;
        this.commands = commands;
        this.reconciler = reconciler;
        this.recovery = recovery;
        this.leaseRenewalBound = leaseRenewalBound;
        this.readBarrier = readBarrier;
        this.onChange = onChange;
    }

    /** Ends the term: responses that are held back are refused. */
    void stop() {
        stopped = true;
    }

    /** Responds with 503 while this leader may not renew workers' leases, otherwise with 200. */
    void handle(Heartbeat heartbeat, Reply reply) {
        long nowMicros = dependencies.clock().nowMicros();
        if (!mayRenewWorkerLeases(nowMicros)) {
            refuse(reply);
            return;
        }
        // A delayed heartbeat may come from a machine that no longer exists. A machine that still exists sends the
        // current fencing token with its next heartbeat.
        boolean unknownMachine =
                heartbeat.fencingToken() != fencingToken && !cluster.machines.containsKey(heartbeat.machine());
        if (!recovery.isComplete() || unknownMachine || autoscaler.isDeleted(heartbeat.machine())) {
            send(reply, commands.stopCommandsForCancelledTasks(heartbeat));
            return;
        }
        Machine machine = cluster.getOrAddMachine(heartbeat.machine(), nowMicros);
        if (machine.type == null) {
            machine.type =
                    dependencies.machineTypes().byName(heartbeat.machineType()).orElse(null);
        }
        HeartbeatReconciler.Result result = reconciler.reconcile(machine, heartbeat, nowMicros);
        if (!result.accepted()) {
            send(reply, commands.stopCommandsForCancelledTasks(heartbeat));
        } else if (commands.hasTasksToStart(machine) && isStoreReachable()) {
            respondAfterRead(machine, heartbeat, reply);
        } else {
            send(reply, commands.selectCommands(machine, false, nowMicros));
        }
        if (result.changed()) {
            onChange.run();
        }
    }

    /** Whether a read can be expected to succeed; otherwise it isn't worth delaying a response. */
    private boolean isStoreReachable() {
        return dependencies.election().isLeaseValid() && dependencies.store().failingSinceMicros() < 0;
    }

    private void respondAfterRead(Machine machine, Heartbeat heartbeat, Reply reply) {
        machine.heartbeatResponsePending = true;
        readBarrier.await(passed -> {
            dependencies.startCounts().countHeldResponse(passed);
            if (machine.isLast(heartbeat)) {
                machine.heartbeatResponsePending = false;
                // A task that the response doesn't start waits for the next heartbeat.
                machine.hasUnsentCommands = true;
            }
            long nowMicros = dependencies.clock().nowMicros();
            if (stopped || !mayRenewWorkerLeases(nowMicros)) {
                refuse(reply);
            } else if (machine.isLast(heartbeat)) {
                sendHeldResponse(machine, passed, nowMicros, reply);
            } else {
                // The worker has given up this heartbeat.
                send(reply, commands.stopCommandsForCancelledTasks(heartbeat));
            }
        });
    }

    private void sendHeldResponse(Machine machine, boolean openJobsRead, long nowMicros, Reply reply) {
        // The read, or a quota that was lowered meanwhile, may have ended what was to be started.
        boolean released = reconciler.releaseUnwanted(machine, nowMicros);
        boolean mayStart = openJobsRead && dependencies.election().isLeaseValid();
        send(reply, commands.selectCommands(machine, mayStart, nowMicros));
        if (released) {
            onChange.run();
        }
    }

    private void send(Reply reply, List<WorkerCommand> workerCommands) {
        reply.send(200, CommandCodec.encodeHeartbeatResponse(fencingToken, workerCommands));
    }

    private static void refuse(Reply reply) {
        reply.refuse(503, "cut off from the state service", 1);
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
