package org.weldcourse.workers;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import org.weldcourse.settings.Settings;

/** Tests of {@link WorkerLeaseRenewalBound}. */
class WorkerLeaseRenewalBoundTest {
    private final Settings.Workers workers =
            new Settings.Workers(1_000_000, 10_000_000, 40_000_000, 4_000_000, 35_000_000);
    private final WorkerLeaseRenewalBound bound = new WorkerLeaseRenewalBound(workers);

    @Test
    void noRenewalBeforeTheFirstCompleteRead() {
        assertFalse(bound.mayRenewLeases(0));
        assertFalse(bound.mayRenewLeases(Long.MAX_VALUE));
    }

    @Test
    void lastRenewalLeavesTimeForCancellationsConfirmedAfterTheRead() {
        long readMicros = 5_000_000;
        bound.recordOpenJobsRead(readMicros);
        long lastRenewalMicros = readMicros + 35_000_000 - 10_000_000 - WorkerLeaseRenewalBound.MARGIN_MICROS - 1;
        assertTrue(bound.mayRenewLeases(lastRenewalMicros));
        assertFalse(bound.mayRenewLeases(lastRenewalMicros + 1));
        // A cancellation confirmed at the time of the read takes effect in time even if both clocks drift by 0.05% in
        // the unfavorable direction.
        double leaseExpiryMicros = lastRenewalMicros + 10_000_000 * 1.0005;
        assertTrue(leaseExpiryMicros * 1.0005 < readMicros + 35_000_000);
    }

    @Test
    void olderReadThatCompletesLaterDoesNotLowerTheBound() {
        bound.recordOpenJobsRead(9_000_000);
        bound.recordOpenJobsRead(2_000_000);
        assertTrue(bound.mayRenewLeases(9_000_000 + 21_999_999));
        assertFalse(bound.mayRenewLeases(9_000_000 + 22_000_000));
    }
}
