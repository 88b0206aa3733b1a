package org.weldcourse.fleet;

import org.weldcourse.settings.Settings;

/** Timeouts for missing heartbeats, one for each consequence, in microseconds. */
public final class HeartbeatTimeouts {
    /** Timeout of machines that are probably dead, as a share of the lease. */
    private static final double PROBABLY_DEAD_SHARE = 0.6;
    /** Timeout after which a machine counts towards a zone outage, as a share of the lease. */
    private static final double ZONE_OUTAGE_SHARE = 0.4;
    /** Margin beyond the lease for machines known from the previous leader. */
    private static final long INHERITED_MARGIN_MICROS = 5_000_000;
    /** Heartbeats after a failover: one to find the new leader and one with its fencing token. */
    private static final int FAILOVER_HEARTBEATS = 2;
    /** Time for workers to detect that the connection to the old leader is dead. */
    private static final long RECONNECT_MICROS = 4_000_000;

    private final Settings.Workers workers;

    /** Creates timeouts from the workers' heartbeat interval and lease. */
    public HeartbeatTimeouts(Settings.Workers workers) {
        this.workers = workers;
    }

    /** Timeout after which a machine gets no new tasks until its next heartbeat. */
    public long notReadyMicros() {
        return Math.max(2 * workers.heartbeatIntervalMicros(), workers.leaseMicros() / 3);
    }

    /** Time without a response to its heartbeats after which a worker has stopped all its tasks. */
    long leaseMicros() {
        return workers.leaseMicros();
    }

    /** Timeout after which a machine whose reclaim time has passed counts as reclaimed. */
    long reclaimedMicros() {
        return 2 * workers.heartbeatIntervalMicros();
    }

    /** Timeout for zone outages: a zone is unreachable if most of its machines have been silent for longer. */
    double zoneOutageMicros() {
        return ZONE_OUTAGE_SHARE * workers.leaseMicros();
    }

    /** Timeout after which a machine is lost. It is doubled if the leader's own network may be at fault. */
    double lostMicros(boolean probablyDead, boolean possibleLocalFault) {
        return (possibleLocalFault ? 2 : 1) * (probablyDead ? PROBABLY_DEAD_SHARE : 1) * workers.leaseMicros();
    }

    /** Time after a failover for workers to find the new leader and send a heartbeat with its fencing token. */
    long failoverMicros() {
        return FAILOVER_HEARTBEATS * workers.heartbeatIntervalMicros() + RECONNECT_MICROS;
    }

    /** Timeout, counted from the election, after which a machine known from the previous leader is lost. */
    long inheritedLostMicros(boolean probablyDead) {
        return probablyDead
                ? Math.max(failoverMicros(), (long) (workers.leaseMicros() * PROBABLY_DEAD_SHARE))
                : workers.leaseMicros() + INHERITED_MARGIN_MICROS;
    }
}
