package org.weldcourse.simulation;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import org.weldcourse.http.HttpClient;
import org.weldcourse.runtime.Timers;

/**
 * Simulates a process that can be paused. Timers, responses and requests that arrive during a pause are deferred, and run
 * all at once in random order when the process resumes.
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
        List<Runnable> deferred = new ArrayList<>(deferredWork);
        deferredWork.clear();
        Collections.shuffle(deferred, random);
        deferred.forEach(Runnable::run);
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

    HttpClient wrapClient(HttpClient client) {
        return (call, callback) -> client.call(call, response -> run(() -> callback.accept(response)));
    }
}
