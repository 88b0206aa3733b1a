package org.weldcourse.jobs;

import java.util.LinkedHashMap;
import java.util.Map;
import org.weldcourse.http.Server.Reply;
import org.weldcourse.runtime.Clock;
import org.weldcourse.runtime.Timers;

/**
 * Confirms cancellations to users, no sooner than every leader has lost the right to start tasks of the job.
 *
 * <p>A leader starts a task only within {@link #MAX_READ_AGE_TO_START_MICROS} after it sent a read of the open jobs that
 * shows the job as not cancelled. Such a read was sent before the cancellation was committed, and thus before this node
 * knew of it. A confirmation that is sent {@link #DELAY_MICROS} after this node first knew of the cancellation comes
 * after the last start command, even if the leader is cut off from the store or was deposed without noticing it.
 */
public final class CancellationConfirmation {
    /** How long after the sending of a read of the open jobs a leader may start tasks that the read allows. */
    public static final long MAX_READ_AGE_TO_START_MICROS = 500_000;

    /** Covers the drift of two clocks (0.05% each) and timers that fire a few milliseconds early. */
    private static final long CLOCK_MARGIN_MICROS = 20_000;

    static final long DELAY_MICROS = MAX_READ_AGE_TO_START_MICROS + CLOCK_MARGIN_MICROS;

    /** A cancellation that is forgotten and asked for again is only confirmed later than necessary. */
    private static final int MAX_REMEMBERED = 4_000;

    private final Clock clock;
    private final Timers timers;
    private final Map<String, Long> knownSinceMicros = new LinkedHashMap<>() {
        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Long> eldest) {
            return size() > MAX_REMEMBERED;
        }
    };

    CancellationConfirmation(Clock clock, Timers timers) {
        this.clock = clock;
        this.timers = timers;
    }

    /** Replies with the status of a job that the store shows as cancelled, once the cancellation may be confirmed. */
    void reply(JobStatus cancelled, Reply reply) {
        long nowMicros = clock.nowMicros();
        Long known = knownSinceMicros.putIfAbsent(cancelled.id(), nowMicros);
        long remainingMicros = known == null ? DELAY_MICROS : known + DELAY_MICROS - nowMicros;
        if (remainingMicros <= 0) {
            JobReplies.status(reply, cancelled);
        } else {
            timers.after(remainingMicros, () -> JobReplies.status(reply, cancelled));
        }
    }
}
