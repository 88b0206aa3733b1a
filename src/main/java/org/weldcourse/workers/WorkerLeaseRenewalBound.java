package org.weldcourse.workers;

import org.weldcourse.settings.Settings;

/**
 * Until when a leader may renew its workers' leases so that cancellations which it has not read of are still carried out
 * in time.
 *
 * <p>Any node may confirm a cancellation, also while the state service refuses the leader alone. Let the leader's last
 * complete read of the open jobs have been sent at {@code r}: what it does not know of was confirmed at {@code c >= r}. An
 * answer to a worker that is given before {@code r + cancel - lease - margin} answers a heartbeat that was sent before that,
 * so that without a further answer the worker's tasks are gone by {@code r + cancel - margin <= c + cancel - margin}. The
 * leader's own lease proves nothing here: its renewals may go on while its reads hang. Whatever it did read of is stopped
 * in every answer, so that no renewal carries a cancelled task along.
 */
public final class WorkerLeaseRenewalBound {
    /**
     * For the drift of two clocks over both spans (0.05% each: some 50 ms), and for a worker that looks at its lease, and
     * ends what it has, a little late. Our own lateness needs none: a heartbeat is sent before it is answered. Where there is
     * little time beyond the lease, a quarter of it has to do.
     */
    public static final long MARGIN_MICROS = 3_000_000;
    /** Reads come once a second: of an older one too much may be unknown to start anything. */
    private static final long FRESH_MICROS = 3_000_000;

    private static final long NEVER = Long.MIN_VALUE;

    private final long spanMicros;
    private long readMicros = NEVER;

    /** A bound for workers with these leases and cancellation times; nothing is allowed before the first read. */
    public WorkerLeaseRenewalBound(Settings.Workers workers) {
        long beyondLeaseMicros = workers.cancelMicros() - workers.leaseMicros();
        this.spanMicros = beyondLeaseMicros - Math.min(MARGIN_MICROS, beyondLeaseMicros / 4);
    }

    /** All changes to open jobs up to this time are known: that of the sending of a read which was answered whole. */
    public void recordOpenJobsRead(long sentMicros) {
        readMicros = Math.max(readMicros, sentMicros);
    }

    /** Whether hardly anything can have been cancelled that is not known of. */
    public boolean isFreshAt(long nowMicros) {
        return readMicros != NEVER && nowMicros - readMicros < FRESH_MICROS;
    }

    /** Never before the first whole read: a predecessor may have used up all the time that there was. */
    public boolean mayRenewAt(long nowMicros) {
        return readMicros != NEVER && nowMicros - readMicros < spanMicros;
    }
}
