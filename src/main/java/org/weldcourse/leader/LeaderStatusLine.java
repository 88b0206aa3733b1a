package org.weldcourse.leader;

import org.weldcourse.cluster.ClusterState;
import org.weldcourse.cluster.Job;
import org.weldcourse.cluster.Machine;
import org.weldcourse.fleet.CostBreakdown;
import org.weldcourse.quota.enforcement.QuotaEnforcement;

/** The status line that a leader logs every 30 s. */
final class LeaderStatusLine {
    private LeaderStatusLine() {}

    /**
     * Formats a summary for operators: open jobs, pending tasks and what they wait for, machines and costs.
     *
     * @param waitingForQuota pending tasks that exceed their team's quota limit
     * @param heartbeatTimeoutMicros the time without a heartbeat after which a machine that is up counts as silent
     */
    static String format(
            ClusterState cluster,
            QuotaEnforcement quotas,
            int waitingForQuota,
            CostBreakdown costs,
            long heartbeatTimeoutMicros,
            long nowMicros) {
        int machinesUp = 0;
        int machinesSilent = 0;
        for (Machine machine : cluster.machines.values()) {
            machinesUp += machine.isUp() ? 1 : 0;
            machinesSilent +=
                    machine.isUp() && nowMicros - machine.lastHeartbeatMicros > heartbeatTimeoutMicros ? 1 : 0;
        }
        int pending = 0;
        int booked = 0;
        int replicas = 0;
        int replicasRunning = 0;
        int replicasWaiting = 0;
        for (Job job : cluster.jobs.values()) {
            pending += job.pendingCount();
            booked += job.bookings().size();
            if (job.spec().isService() && !job.isCancelled()) {
                replicas += job.spec().tasks();
                replicasRunning += job.bookings().runningCount();
                replicasWaiting += job.pendingCount();
            }
        }
        return cluster.jobs.size() + " jobs open, " + booked + " tasks booked, " + pending + " pending ("
                + waitingForQuota + " for their team's quota limit); "
                + (replicas == 0
                        ? ""
                        : replicas + " replicas requested, " + replicasRunning + " running, " + replicasWaiting
                                + " pending, " + (replicas - replicasRunning - replicasWaiting)
                                + " starting or stopping; ")
                + quotas.status() + machinesUp + " machines up, " + machinesSilent + " silent, "
                + (cluster.machines.size() - machinesUp) + " starting; " + costs;
    }
}
