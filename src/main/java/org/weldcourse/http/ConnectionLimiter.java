package org.weldcourse.http;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.Consumer;

/**
 * Limits the number of inbound connections, with a separate, lower limit for workers, so that some connections remain
 * for users and health checks. At a limit, the connection that has been silent longest is evicted if it has been
 * silent so long that its client must be gone; otherwise the new connection is refused. Eviction is needed because
 * machines that fail or become unreachable do not close their connections.
 *
 * <p>Not thread-safe: used on the server's event loop only.
 */
final class ConnectionLimiter<T> {
    private final int maxConnections;
    private final int maxWorkerConnections;
    private final long evictAfterSilentMicros;
    private final Consumer<T> closer;
    /** The time of the last activity of each connection, in microseconds; the longest silent one comes first. */
    private final Map<T, Long> workerConnections = new LinkedHashMap<>();

    private final Map<T, Long> otherConnections = new LinkedHashMap<>();

    /**
     * Creates a limiter without connections.
     *
     * @param maxConnections the maximum number of connections
     * @param maxWorkerConnections how many of these may belong to workers
     * @param evictAfterSilentMicros the time of silence after which a connection may be evicted
     * @param closer closes an evicted connection
     */
    ConnectionLimiter(int maxConnections, int maxWorkerConnections, long evictAfterSilentMicros, Consumer<T> closer) {
        this.maxConnections = maxConnections;
        this.maxWorkerConnections = maxWorkerConnections;
        this.evictAfterSilentMicros = evictAfterSilentMicros;
        this.closer = closer;
    }

    /** Registers a new connection; returns false if the limit is reached and the connection has to be closed. */
    boolean admit(T connection, long nowMicros) {
        if (size() >= maxConnections
                && !evictLongestSilent(otherConnections, nowMicros)
                && !evictLongestSilent(workerConnections, nowMicros)) {
            return false;
        }
        otherConnections.put(connection, nowMicros);
        return true;
    }

    /** Records a request on the connection; returns false if it comes from a worker beyond the limit for workers. */
    boolean recordRequest(T connection, boolean fromWorker, long nowMicros) {
        boolean isWorkerConnection = workerConnections.remove(connection) != null;
        otherConnections.remove(connection);
        if (!fromWorker) {
            otherConnections.put(connection, nowMicros);
            return true;
        }
        if (!isWorkerConnection
                && workerConnections.size() >= maxWorkerConnections
                && !evictLongestSilent(workerConnections, nowMicros)) {
            otherConnections.put(connection, nowMicros);
            return false;
        }
        workerConnections.put(connection, nowMicros);
        return true;
    }

    /** Removes a closed connection. */
    void remove(T connection) {
        workerConnections.remove(connection);
        otherConnections.remove(connection);
    }

    /** The number of registered connections. */
    int size() {
        return workerConnections.size() + otherConnections.size();
    }

    private boolean evictLongestSilent(Map<T, Long> connections, long nowMicros) {
        if (connections.isEmpty()) {
            return false;
        }
        Map.Entry<T, Long> longestSilent = connections.entrySet().iterator().next();
        if (nowMicros - longestSilent.getValue() < evictAfterSilentMicros) {
            return false;
        }
        T connection = longestSilent.getKey();
        connections.remove(connection);
        closer.accept(connection);
        return true;
    }
}
