package org.weldcourse.http;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.IntSupplier;

/**
 * Idle connections by address, and no more than there is room for: sockets are scarce, and there are many workers to whom
 * a message goes now and then. The one that idles longest makes room.
 */
final class IdleConnectionPool<T> {
    private final IntSupplier most;
    private final Consumer<T> close;
    private final Map<String, ArrayDeque<T>> byAddress = new HashMap<>();
    private final Map<T, String> oldestFirst = new LinkedHashMap<>();

    IdleConnectionPool(IntSupplier most, Consumer<T> close) {
        this.most = most;
        this.close = close;
    }

    void keep(String address, T line) {
        byAddress.computeIfAbsent(address, unknown -> new ArrayDeque<>()).addLast(line);
        oldestFirst.put(line, address);
        trim();
    }

    /** Closes what there is no room for any more. */
    void trim() {
        while (oldestFirst.size() > most.getAsInt()) {
            T oldest = oldestFirst.keySet().iterator().next();
            forget(oldest);
            close.accept(oldest);
        }
    }

    /** The one that was used last, or null. */
    T take(String address) {
        ArrayDeque<T> lines = byAddress.get(address);
        if (lines == null) {
            return null;
        }
        T line = lines.peekLast();
        forget(line);
        return line;
    }

    void forget(T line) {
        String address = oldestFirst.remove(line);
        if (address == null) {
            return;
        }
        ArrayDeque<T> lines = byAddress.get(address);
        lines.remove(line);
        if (lines.isEmpty()) {
            byAddress.remove(address);
        }
    }
}
