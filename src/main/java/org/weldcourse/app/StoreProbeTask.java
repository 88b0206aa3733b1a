package org.weldcourse.app;

import org.weldcourse.election.LeaderElection;
import org.weldcourse.runtime.Clock;
import org.weldcourse.runtime.ScheduledTask;
import org.weldcourse.runtime.Timers;
import org.weldcourse.store.Store;

/**
 * Reads a key when no store request has completed for a second, so that a store outage is noticed even without other
 * requests.
 */
final class StoreProbeTask extends ScheduledTask {
    private static final long PROBE_INTERVAL_MICROS = 1_000_000;

    private final Store store;
    private final ProcessMetrics processMetrics;

    StoreProbeTask(Store store, ProcessMetrics processMetrics, Clock clock, Timers timers) {
        super("store probe", clock, timers);
        this.store = store;
        this.processMetrics = processMetrics;
    }

    @Override
    protected long step() {
        // This task runs every second, so its lateness is a sample of the lateness of all tasks.
        processMetrics.recordLateness(lateMicros());
        if (clock.nowMicros() - store.lastCompletedMicros() >= PROBE_INTERVAL_MICROS) {
            store.get(LeaderElection.FENCING_TOKEN_KEY, read -> {});
        }
        return PROBE_INTERVAL_MICROS;
    }
}
