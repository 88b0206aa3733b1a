package org.weldcourse.fleet;

import org.weldcourse.cluster.ClusterState;
import org.weldcourse.cluster.Machine;

/**
 * The period after a failover in which a new leader does not scale out. Machines count as capacity only once they have
 * sent it a heartbeat; before most have, it would launch new machines for work that is already running.
 */
final class FailoverGracePeriod {
    /** Share of silent machines at which the period ends; machines that died during the failover never report. */
    private static final double MAX_SILENT_SHARE = 0.1;

    private final ClusterState cluster;
    private final HeartbeatTimeouts timeouts;
    private final long startedMicros;

    /** Creates the grace period of a leader elected at {@code startedMicros}. */
    FailoverGracePeriod(ClusterState cluster, HeartbeatTimeouts timeouts, long startedMicros) {
        this.cluster = cluster;
        this.timeouts = timeouts;
        this.startedMicros = startedMicros;
    }

    /**
     * Returns whether the period still lasts. It ends once the cloud's list was received and nearly all machines have
     * sent a heartbeat, or else at the failover timeout.
     *
     * @param hasReceivedList whether the cloud's list was received since the election; until then, some machines may be
     *     unknown
     */
    boolean isActive(boolean hasReceivedList, long nowMicros) {
        if (nowMicros - startedMicros > timeouts.failoverMicros()) {
            return false;
        }
        int reporting = 0;
        int silent = 0;
        for (Machine machine : cluster.machines.values()) {
            reporting += machine.isUp() ? 1 : 0;
            silent += machine.isUp() || isBooting(machine, nowMicros) ? 0 : 1;
        }
        return !hasReceivedList || silent > MAX_SILENT_SHARE * (reporting + silent);
    }

    private static boolean isBooting(Machine machine, long nowMicros) {
        return machine.starting && machine.bookings.isEmpty() && !BootTimeouts.isBootOverdue(machine, nowMicros);
    }
}
