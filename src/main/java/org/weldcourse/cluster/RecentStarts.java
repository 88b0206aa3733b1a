package org.weldcourse.cluster;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import org.weldcourse.workers.TaskId;

/**
 * The start commands that a copy of a heartbeat response may still bring to a machine's worker. A worker ignores the copy
 * of a start command as long as it knows the attempt, and drops responses to heartbeats that it sent too long ago: if it
 * is not told to forget an attempt before then, no copy can start the attempt again.
 */
public final class RecentStarts {
    /** Workers drop responses 4 s after they sent the heartbeat; the rest allows for clocks that drift apart. */
    static final long RESPONSE_LIFETIME_MICROS = 4_250_000;

    private final Deque<Start> starts = new ArrayDeque<>();
    private final Map<Attempt, Start> lastByAttempt = new HashMap<>();

    private record Attempt(TaskId task, int number) {}

    private record Start(Attempt attempt, long sentMicros) {}

    /** Notes that the response to the current heartbeat contains this start command. */
    public void add(TaskId task, int attempt, long nowMicros) {
        removeExpired(nowMicros);
        Start start = new Start(new Attempt(task, attempt), nowMicros);
        starts.add(start);
        lastByAttempt.put(start.attempt, start);
    }

    /** Whether a copy of a start command for this attempt may still be carried out. */
    public boolean mayBeRepeated(TaskId task, int attempt, long nowMicros) {
        removeExpired(nowMicros);
        return lastByAttempt.containsKey(new Attempt(task, attempt));
    }

    private void removeExpired(long nowMicros) {
        while (!starts.isEmpty() && nowMicros - starts.peek().sentMicros > RESPONSE_LIFETIME_MICROS) {
            Start expired = starts.remove();
            lastByAttempt.remove(expired.attempt, expired);
        }
    }
}
