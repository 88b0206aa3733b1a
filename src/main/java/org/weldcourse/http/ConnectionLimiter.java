package org.weldcourse.http;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.Consumer;

/**
 * Connections that others opened, those of workers apart from the rest. Machines that died or were cut off leave theirs
 * behind without a word, so when there is no room for one more, the one that is silent for longest goes, if it is
 * silent for so long that nobody should be behind it; else the newcomer. Workers can't take the share that is kept
 * for users and health checks.
 */
final class ConnectionLimiter<T> {
    private final int most;
    private final int mostWorkers;
    private final long patienceMicros;
    private final Consumer<T> close;
    /** When each was last heard, the longest silent first. */
    private final Map<T, Long> workers = new LinkedHashMap<>();

    private final Map<T, Long> others = new LinkedHashMap<>();

    ConnectionLimiter(int most, int mostWorkers, long patienceMicros, Consumer<T> close) {
        this.most = most;
        this.mostWorkers = mostWorkers;
        this.patienceMicros = patienceMicros;
        this.close = close;
    }

    /** A new connection; false when there is no room for it. */
    boolean opened(T line, long nowMicros) {
        if (size() >= most && !makeRoom(others, nowMicros) && !makeRoom(workers, nowMicros)) {
            return false;
        }
        others.put(line, nowMicros);
        return true;
    }

    /** A request came on it; false when it is one worker's too many. */
    boolean heard(T line, boolean fromWorker, long nowMicros) {
        boolean known = workers.remove(line) != null;
        others.remove(line);
        if (!fromWorker) {
            others.put(line, nowMicros);
            return true;
        }
        if (!known && workers.size() >= mostWorkers && !makeRoom(workers, nowMicros)) {
            others.put(line, nowMicros);
            return false;
        }
        workers.put(line, nowMicros);
        return true;
    }

    void closed(T line) {
        workers.remove(line);
        others.remove(line);
    }

    int size() {
        return workers.size() + others.size();
    }

    private boolean makeRoom(Map<T, Long> lines, long nowMicros) {
        if (lines.isEmpty()) {
            return false;
        }
        Map.Entry<T, Long> longestSilent = lines.entrySet().iterator().next();
        if (nowMicros - longestSilent.getValue() < patienceMicros) {
            return false;
        }
        T line = longestSilent.getKey();
        lines.remove(line);
        close.accept(line);
        return true;
    }
}
