package org.weldcourse.workers;

import org.weldcourse.settings.Settings;

/**
 * Bounds the time until which a leader may renew its workers' leases, so that cancellations which it has not read yet
 * still take effect within the cancellation time of the settings.
 *
 * <p>Any node may confirm a cancellation, even while the store refuses only the leader. Let {@code r} be the time at
 * which the leader sent its last complete read of the open jobs. Every cancellation that it does not know was confirmed
 * at some {@code c >= r}. A response that is sent before {@code r + cancel - lease - margin} answers a heartbeat sent
 * before that time. Without a further response the worker's lease expires, and its tasks end by
 * {@code r + cancel - margin <= c + cancel - margin}.
 *
 * <p>The leader's own lease does not help here: its renewals may succeed while its reads hang. Cancellations that the
 * leader has read are part of every response as stop commands, so no renewal keeps such a task alive.
 */
public final class WorkerLeaseRenewalBound {
    /**
     * Covers the drift of two clocks over both time spans (0.05% each, about 50 ms) and a worker that is late to check
     * its lease and to end its tasks. A delay of the leader needs no margin, because a heartbeat is sent before its
     * response. If the cancellation time is only a little longer than the lease, a quarter of the difference is used
     * instead.
     */
    public static final long MARGIN_MICROS = 3_000_000;

    private static final long NEVER_READ = Long.MIN_VALUE;

    private final long maxReadAgeToRenewMicros;
    private long lastReadSentMicros = NEVER_READ;

    /**
     * Creates a bound from the lease and cancellation times of the settings; it allows nothing before the first read.
     */
    public WorkerLeaseRenewalBound(Settings.Workers workers) {
        long beyondLeaseMicros = workers.cancelMicros() - workers.leaseMicros();
        this.maxReadAgeToRenewMicros = beyondLeaseMicros - Math.min(MARGIN_MICROS, beyondLeaseMicros / 4);
    }

    /** Records a complete read of the open jobs that was sent at this time: all earlier changes are known. */
    public void recordOpenJobsRead(long sentMicros) {
        lastReadSentMicros = Math.max(lastReadSentMicros, sentMicros);
    }

    /**
     * Whether leases may be renewed; not before the first read, as the previous leader may have used up the whole time.
     */
    public boolean mayRenewLeases(long nowMicros) {
        return lastReadSentMicros != NEVER_READ && nowMicros - lastReadSentMicros < maxReadAgeToRenewMicros;
    }
}
