package org.weldcourse.app;

import org.weldcourse.election.LeaderElection;
import org.weldcourse.runtime.Clock;
import org.weldcourse.runtime.ScheduledTask;
import org.weldcourse.runtime.Timers;
import org.weldcourse.store.Store;

/** Reads one key of the store when nothing else was answered for a second, so that what is known of it is never old. */
final class StoreProbeTask extends ScheduledTask {
    private static final long PROBE_MICROS = 1_000_000;

    private final Store store;
    private final ProcessMetrics processMetrics;

    StoreProbeTask(Store store, ProcessMetrics processMetrics, Clock clock, Timers timers) {
        super("store probe", clock, timers);
        this.store = store;
        this.processMetrics = processMetrics;
    }

    @Override
    protected long step() {
        // It comes every second, so that its lateness stands for that of all tasks.
        processMetrics.recordLateness(lateMicros());
        if (clock.nowMicros() - store.lastCompletedMicros() >= PROBE_MICROS) {
            store.get(LeaderElection.FENCING_TOKEN_KEY, read -> {});
        }
        return PROBE_MICROS;
    }
}
