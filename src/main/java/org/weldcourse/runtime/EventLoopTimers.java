package org.weldcourse.runtime;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.Future;
import java.util.concurrent.TimeUnit;

/** The system clock, and timers that run on the event loop that owns all mutable state of the process. */
public final class EventLoopTimers implements Clock, Timers {
    private final EventLoop eventLoop;

    /** Creates a clock and timers for the event loop. */
    public EventLoopTimers(EventLoop eventLoop) {
        this.eventLoop = eventLoop;
    }

    @Override
    public long nowMicros() {
        return System.nanoTime() / 1_000;
    }

    @Override
    public long wallMicros() {
        return System.currentTimeMillis() * 1_000;
    }

    @Override
    public Timer after(long delayMicros, Runnable work) {
        Future<?> pending = eventLoop.schedule(work, Math.max(0, delayMicros), TimeUnit.MICROSECONDS);
        return () -> pending.cancel(false);
    }
}
