package org.weldcourse.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests of {@link ConnectionLimiter}. */
class ConnectionLimiterTest {
    private static final long EVICT_AFTER_SILENT_MICROS = 10;

    private final List<String> closed = new ArrayList<>();
    private final ConnectionLimiter<String> limiter =
            new ConnectionLimiter<>(4, 3, EVICT_AFTER_SILENT_MICROS, closed::add);

    private boolean connectWorker(String connection, long nowMicros) {
        return limiter.admit(connection, nowMicros) && limiter.recordRequest(connection, true, nowMicros);
    }

    @Test
    void evictsTheLongestSilentConnectionWhenFull() {
        assertTrue(connectWorker("a", 0));
        assertTrue(connectWorker("b", 1));
        assertTrue(connectWorker("c", 2));
        assertTrue(limiter.recordRequest("a", true, 11));
        assertTrue(connectWorker("d", 12));
        assertEquals(List.of("b"), closed);
        assertEquals(3, limiter.size());
    }

    @Test
    void keepsActiveConnectionsAndReservesConnectionsForUsers() {
        assertTrue(connectWorker("a", 0));
        assertTrue(connectWorker("b", 1));
        assertTrue(connectWorker("c", 2));
        assertFalse(connectWorker("d", 5));
        limiter.remove("d");
        assertTrue(limiter.admit("user", 5));
        assertFalse(limiter.admit("second user", 6));
        assertEquals(List.of(), closed);
    }

    @Test
    void evictsSilentUserConnectionsBeforeWorkerConnections() {
        assertTrue(connectWorker("a", 0));
        assertTrue(connectWorker("b", 0));
        assertTrue(limiter.admit("user", 0));
        assertTrue(limiter.admit("another", 11));
        assertTrue(limiter.admit("third", 12));
        assertEquals(List.of("user"), closed);
        limiter.remove("user");
        assertEquals(4, limiter.size());
    }
}
