package org.weldcourse.simulation;

import java.util.Comparator;
import java.util.PriorityQueue;
import org.weldcourse.runtime.Clock;
import org.weldcourse.runtime.Timers;

/** A clock and its timers that advance only in calls to {@link #pass}. */
public final class FakeClock implements Clock, Timers {
    private record ScheduledTask(long atMicros, long order, Runnable work, boolean[] cancelled) {}

    private final PriorityQueue<ScheduledTask> queue = new PriorityQueue<>(
            Comparator.comparingLong(ScheduledTask::atMicros).thenComparingLong(ScheduledTask::order));
    private long nowMicros = 1_000_000;
    private long order;
    private long eventMicros;
    private Runnable afterEvent = () -> {};

    @Override
    public long nowMicros() {
        return nowMicros;
    }

    @Override
    public long wallMicros() {
        return nowMicros + 1_700_000_000_000_000L;
    }

    @Override
    public Timer after(long delayMicros, Runnable work) {
        boolean[] cancelled = new boolean[1];
        queue.add(new ScheduledTask(nowMicros + Math.max(0, delayMicros), order++, work, cancelled));
        return () -> cancelled[0] = true;
    }

    /** Sets how long each event takes, as on a slow processor; events that are due meanwhile run late. */
    public void eventsTake(long micros) {
        eventMicros = micros;
    }

    /** Sets what runs after each event. */
    public void afterEachEvent(Runnable listener) {
        afterEvent = listener;
    }

    /** Advances the clock and runs the timers that fall due, each at its own time. */
    public void pass(long micros) {
        long endMicros = nowMicros + micros;
        while (!queue.isEmpty() && queue.peek().atMicros <= endMicros) {
            ScheduledTask next = queue.poll();
            nowMicros = Math.max(nowMicros, next.atMicros);
            if (!next.cancelled[0]) {
                next.work.run();
                nowMicros += eventMicros;
                afterEvent.run();
            }
        }
        nowMicros = Math.max(nowMicros, endMicros);
    }

    public void passSeconds(double seconds) {
        pass(Math.round(seconds * 1e6));
    }
}
