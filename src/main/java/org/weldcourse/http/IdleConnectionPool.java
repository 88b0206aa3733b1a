package org.weldcourse.http;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.IntSupplier;

/**
 * A bounded pool of idle connections by address. Above the maximum, the connection that has been idle longest is
 * closed: sockets are limited, and most workers are sent a command only occasionally.
 *
 * <p>Not thread-safe: used on one event loop only.
 */
final class IdleConnectionPool<T> {
    private final IntSupplier maxIdle;
    private final Consumer<T> closer;
    private final Map<String, ArrayDeque<T>> byAddress = new HashMap<>();
    private final Map<T, String> longestIdleFirst = new LinkedHashMap<>();

    /** Creates an empty pool; {@code maxIdle} supplies the current maximum, which changes over time. */
    IdleConnectionPool(IntSupplier maxIdle, Consumer<T> closer) {
        this.maxIdle = maxIdle;
        this.closer = closer;
    }

    /** Adds an idle connection to the pool, for the next request to the address. */
    void release(String address, T connection) {
        byAddress.computeIfAbsent(address, unused -> new ArrayDeque<>()).addLast(connection);
        longestIdleFirst.put(connection, address);
        trim();
    }

    /** Closes connections above the current maximum, the longest idle first. */
    void trim() {
        while (longestIdleFirst.size() > maxIdle.getAsInt()) {
            T oldest = longestIdleFirst.keySet().iterator().next();
            remove(oldest);
            closer.accept(oldest);
        }
    }

    /** Removes and returns the most recently used idle connection to the address, or null if there is none. */
    T acquire(String address) {
        ArrayDeque<T> connections = byAddress.get(address);
        if (connections == null) {
            return null;
        }
        T connection = connections.peekLast();
        remove(connection);
        return connection;
    }

    /** Removes a closed connection if it is in the pool. */
    void remove(T connection) {
        String address = longestIdleFirst.remove(connection);
        if (address == null) {
            return;
        }
        ArrayDeque<T> connections = byAddress.get(address);
        connections.remove(connection);
        if (connections.isEmpty()) {
            byAddress.remove(address);
        }
    }
}
