package org.weldcourse.simulation;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import org.weldcourse.http.HttpClient;
import org.weldcourse.runtime.Timers;

/**
 * What a process hears from outside: its timers, answers and requests. While it stands still they wait, and then come all
 * at once and in no order.
 */
final class PausableProcess implements Timers {
    private final FakeClock clock;
    private final List<Runnable> deferredWork = new ArrayList<>();
    private final Random random = new Random(7);
    private boolean paused;

    PausableProcess(FakeClock clock) {
        this.clock = clock;
    }

    boolean isPaused() {
        return paused;
    }

    void pause() {
        paused = true;
    }

    void resume() {
        paused = false;
        List<Runnable> all = new ArrayList<>(deferredWork);
        deferredWork.clear();
        Collections.shuffle(all, random);
        all.forEach(Runnable::run);
    }

    void run(Runnable work) {
        if (paused) {
            deferredWork.add(work);
        } else {
            work.run();
        }
    }

    @Override
    public Timer after(long delayMicros, Runnable work) {
        boolean[] cancelled = new boolean[1];
        clock.after(
                delayMicros,
                () -> run(() -> {
                    if (!cancelled[0]) {
                        work.run();
                    }
                }));
        return () -> cancelled[0] = true;
    }

    HttpClient caller(HttpClient client) {
        return (call, done) -> client.call(call, response -> run(() -> done.accept(response)));
    }
}
