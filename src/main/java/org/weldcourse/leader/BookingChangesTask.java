package org.weldcourse.leader;

import org.weldcourse.cluster.ClusterState;
import org.weldcourse.runtime.Clock;
import org.weldcourse.runtime.ScheduledTask;
import org.weldcourse.runtime.Timers;

/** Makes the changes of bookings that were too many for the event that asked for them, one part per step. */
final class BookingChangesTask extends ScheduledTask {
    private final ClusterState cluster;
    private final Runnable onChange;

    /** Creates the task of a term, which runs {@code onChange} after each step that changed bookings. */
    BookingChangesTask(ClusterState cluster, long fencingToken, Clock clock, Timers timers, Runnable onChange) {
        super("booking changes " + fencingToken, clock, timers);
        this.cluster = cluster;
        this.onChange = onChange;
        cluster.onPendingChanges(() -> wakeIn(0));
    }

    @Override
    protected int pauseFactor() {
        return 1;
    }

    @Override
    protected long step() {
        if (!cluster.hasPendingChanges()) {
            return -1;
        }
        boolean hasMore = cluster.makePendingChanges();
        onChange.run();
        return hasMore ? 0 : -1;
    }
}
