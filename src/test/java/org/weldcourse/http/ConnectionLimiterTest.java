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

    private boolean worker(String connection, long nowMicros) {
        return limiter.admit(connection, nowMicros) && limiter.recordRequest(connection, true, nowMicros);
    }

    @Test
    void whatTheDeadLeftBehindMakesRoomTheLongestSilentFirst() {
        assertTrue(worker("a", 0));
        assertTrue(worker("b", 1));
        assertTrue(worker("c", 2));
        assertTrue(limiter.recordRequest("a", true, 11));
        assertTrue(worker("d", 12));
        assertEquals(List.of("b"), closed);
        assertEquals(3, limiter.size());
    }

    @Test
    void theLivingDoNotMakeRoomAndWorkersLeaveTheirShareToUsers() {
        assertTrue(worker("a", 0));
        assertTrue(worker("b", 1));
        assertTrue(worker("c", 2));
        assertFalse(worker("d", 5));
        limiter.remove("d");
        assertTrue(limiter.admit("user", 5));
        assertFalse(limiter.admit("one too many", 6));
        assertEquals(List.of(), closed);
    }

    @Test
    void aUsersConnectionLongSilentGoesBeforeAnyWorkers() {
        assertTrue(worker("a", 0));
        assertTrue(worker("b", 0));
        assertTrue(limiter.admit("user", 0));
        assertTrue(limiter.admit("another", 11));
        assertTrue(limiter.admit("third", 12));
        assertEquals(List.of("user"), closed);
        limiter.remove("user");
        assertEquals(4, limiter.size());
    }
}
