package org.weldcourse.workers;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import org.weldcourse.settings.Settings;

/** Until when workers' leases may be renewed. */
class WorkerLeaseRenewalBoundTest {
    private final Settings.Workers workers =
            new Settings.Workers(1_000_000, 10_000_000, 40_000_000, 4_000_000, 35_000_000);
    private final WorkerLeaseRenewalBound bound = new WorkerLeaseRenewalBound(workers);

    @Test
    void nothingIsRenewedBeforeTheFirstWholeRead() {
        assertFalse(bound.mayRenewAt(0));
        assertFalse(bound.mayRenewAt(Long.MAX_VALUE));
    }

    @Test
    void theLastRenewalLeavesTimeForWhatWasConfirmedJustAfterTheRead() {
        long readMicros = 5_000_000;
        bound.recordOpenJobsRead(readMicros);
        long lastMicros = readMicros + 35_000_000 - 10_000_000 - WorkerLeaseRenewalBound.MARGIN_MICROS - 1;
        assertTrue(bound.mayRenewAt(lastMicros));
        assertFalse(bound.mayRenewAt(lastMicros + 1));
        // What was confirmed in the moment of the read is gone in time, though clocks drift by 0.05% the wrong way.
        double goneMicros = lastMicros + 10_000_000 * 1.0005;
        assertTrue(goneMicros * 1.0005 < readMicros + 35_000_000);
    }

    @Test
    void anOlderReadThatEndsLaterTakesNothingBack() {
        bound.recordOpenJobsRead(9_000_000);
        bound.recordOpenJobsRead(2_000_000);
        assertTrue(bound.mayRenewAt(9_000_000 + 21_999_999));
        assertFalse(bound.mayRenewAt(9_000_000 + 22_000_000));
    }
}
