package org.weldcourse.fleet;

import org.weldcourse.cluster.ClusterState;
import org.weldcourse.cluster.Machine;

/**
 * The time after a failover in which a new leader does not scale out. It can't count on machines before they have sent
 * it a heartbeat: until most have, it would launch machines for all waiting work once more, beside those that run it
 * already.
 */
final class FailoverGracePeriod {
    /** Machines that died with the old leader are never heard of: a new one does not wait for the last of them. */
    private static final double MAX_SILENT_SHARE = 0.1;

    private final ClusterState cluster;
    private final HeartbeatTimeouts timeouts;
    private final long startedMicros;

    /** The grace period of a leader that was elected at this time. */
    FailoverGracePeriod(ClusterState cluster, HeartbeatTimeouts timeouts, long startedMicros) {
        this.cluster = cluster;
        this.timeouts = timeouts;
        this.startedMicros = startedMicros;
    }

    /**
     * Whether too many machines are still silent of.
     *
     * @param hasListed whether the cloud's list has come since the election; before, not all machines are known
     */
    boolean isActive(boolean hasListed, long nowMicros) {
        if (nowMicros - startedMicros > timeouts.failoverMicros()) {
            return false;
        }
        int heard = 0;
        int silent = 0;
        for (Machine machine : cluster.machines.values()) {
            heard += machine.isUp() ? 1 : 0;
            silent += machine.isUp() || isBooting(machine, nowMicros) ? 0 : 1;
        }
        return !hasListed || silent > MAX_SILENT_SHARE * (heard + silent);
    }

    private static boolean isBooting(Machine machine, long nowMicros) {
        return machine.starting && machine.bookings.isEmpty() && !BootTimeouts.isBootOverdue(machine, nowMicros);
    }
}
