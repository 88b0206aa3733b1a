package org.weldcourse.persistence;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import org.weldcourse.jobs.CancellationConfirmation;
import org.weldcourse.runtime.Clock;
import org.weldcourse.runtime.Timers;
import org.weldcourse.store.Store.Outcome;

/**
 * Lets callers wait for a read of the open jobs that is sent after their call. Such a read shows every change that was
 * committed before the call, whichever node committed it. One read serves all callers that wait when it is sent.
 *
 * <p>All methods run on the event loop of the {@link Timers}; times are microseconds of the {@link Clock}.
 */
public final class ReadBarrier {
    /** A read that was sent this long ago or longer passes no caller; the answers of a slow store take less. */
    static final long MAX_READ_AGE_MICROS = CancellationConfirmation.MAX_READ_AGE_TO_START_MICROS;

    /** How long a caller waits; well below the 4 s after which a worker gives up its heartbeat. */
    static final long MAX_WAIT_MICROS = 1_500_000;

    /** The share of the store's request rate that the reads may use. */
    private static final double SHARE_OF_REQUESTS = 0.1;

    private final Clock clock;
    private final Timers timers;
    private final Reader reader;
    private final long readIntervalMicros;
    private final Set<Caller> waiting = new HashSet<>();
    private List<Caller> next = new ArrayList<>();
    private boolean readScheduled;
    private long nextReadMicros;
    private boolean stopped;

    /** Reads the changes of the open jobs once. */
    interface Reader {
        /** Sends a read; {@code callback} receives its outcome after the changes were applied. */
        void read(Consumer<Outcome> callback);
    }

    /** Receives the end of a wait. */
    public interface Callback {
        /** Called once; {@code passed} says whether all changes that were committed before the call are now known. */
        void completed(boolean passed);
    }

    /** A caller with the timer that ends its wait. */
    private static final class Caller {
        private final Callback callback;
        private Timers.Timer timeout;

        Caller(Callback callback) {
            this.callback = callback;
        }
    }

    /** Creates a barrier whose reads use a store that serves {@code requestsPerSecond} to all nodes. */
    ReadBarrier(Clock clock, Timers timers, double requestsPerSecond, Reader reader) {
        this.clock = clock;
        this.timers = timers;
        this.reader = reader;
        this.readIntervalMicros = Math.round(1e6 / (SHARE_OF_REQUESTS * requestsPerSecond));
    }

    /** Waits for a read that is sent after this call, up to {@link #MAX_WAIT_MICROS}. */
    public void await(Callback callback) {
        if (stopped) {
            callback.completed(false);
            return;
        }
        Caller caller = new Caller(callback);
        waiting.add(caller);
        caller.timeout = timers.after(MAX_WAIT_MICROS, () -> complete(List.of(caller), false));
        next.add(caller);
        scheduleRead();
    }

    /** Ends all waits without a read, and all later ones at once. */
    public void stop() {
        stopped = true;
        complete(new ArrayList<>(waiting), false);
    }

    private void scheduleRead() {
        if (!readScheduled) {
            readScheduled = true;
            timers.after(Math.max(0, nextReadMicros - clock.nowMicros()), this::read);
        }
    }

    private void read() {
        next.retainAll(waiting);
        if (next.isEmpty()) {
            readScheduled = false;
            return;
        }
        List<Caller> batch = next;
        next = new ArrayList<>();
        long sentMicros = clock.nowMicros();
        nextReadMicros = sentMicros + readIntervalMicros;
        reader.read(outcome -> {
            readScheduled = false;
            readCompleted(batch, outcome, sentMicros);
            if (!next.isEmpty()) {
                scheduleRead();
            }
        });
    }

    private void readCompleted(List<Caller> batch, Outcome outcome, long sentMicros) {
        boolean tooOld = clock.nowMicros() - sentMicros >= MAX_READ_AGE_MICROS;
        if (outcome == Outcome.OK && !tooOld) {
            complete(batch, true);
        } else if (outcome == Outcome.OK || outcome == Outcome.RATE_LIMITED) {
            next.addAll(batch);
        } else {
            complete(batch, false);
        }
    }

    private void complete(Collection<Caller> callers, boolean passed) {
        for (Caller caller : callers) {
            if (waiting.remove(caller)) {
                caller.timeout.cancel();
                caller.callback.completed(passed);
            }
        }
    }
}
