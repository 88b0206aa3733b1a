package org.weldcourse.fleet;

import org.weldcourse.settings.Settings;

/** For how long a machine may send no heartbeat, by what follows when it sends none; all in microseconds. */
public final class HeartbeatTimeouts {
    /** Machines that are most likely dead are waited for this part of a lease. */
    private static final double PROBABLY_DEAD_SHARE = 0.6;
    /** After this part of a lease a machine counts as silent when its zone is looked at. */
    private static final double ZONE_OUTAGE_SHARE = 0.4;
    /** Machines of the earlier leader are waited for a little longer than their lease. */
    private static final long INHERITED_MARGIN_MICROS = 5_000_000;
    /** After a failover, workers need a heartbeat to find the new leader and one more under its fencing token. */
    private static final int FAILOVER_HEARTBEATS = 2;
    /** And some time to notice that their old connection is dead. */
    private static final long RECONNECT_MICROS = 4_000_000;

    private final Settings.Workers workers;

    /** The timeouts for workers with these intervals. */
    public HeartbeatTimeouts(Settings.Workers workers) {
        this.workers = workers;
    }

    /** A machine that is silent for longer gets no new work until it is heard again. */
    public long notReadyMicros() {
        return Math.max(2 * workers.heartbeatIntervalMicros(), workers.leaseMicros() / 3);
    }

    /** The time after which a worker that hears no answer has ended all its tasks. */
    long leaseMicros() {
        return workers.leaseMicros();
    }

    /** A machine that the cloud was about to reclaim is gone when it is silent for longer. */
    long reclaimedMicros() {
        return 2 * workers.heartbeatIntervalMicros();
    }

    /** Zones are cut off when most of their machines are silent for longer. */
    double zoneOutageMicros() {
        return ZONE_OUTAGE_SHARE * workers.leaseMicros();
    }

    /**
     * A machine is lost when it is silent for longer. In doubt whether the fault is on this side it is given twice the
     * time.
     */
    double lostMicros(boolean probablyDead, boolean possibleLocalFault) {
        return (possibleLocalFault ? 2 : 1) * (probablyDead ? PROBABLY_DEAD_SHARE : 1) * workers.leaseMicros();
    }

    /** After a failover, the time in which workers find the new leader and send a heartbeat under its fencing token. */
    long failoverMicros() {
        return FAILOVER_HEARTBEATS * workers.heartbeatIntervalMicros() + RECONNECT_MICROS;
    }

    /** A machine of the earlier leader is lost when it is silent for longer from the election on. */
    long inheritedLostMicros(boolean probablyDead) {
        return probablyDead
                ? Math.max(failoverMicros(), (long) (workers.leaseMicros() * PROBABLY_DEAD_SHARE))
                : workers.leaseMicros() + INHERITED_MARGIN_MICROS;
    }
}
