package org.weldcourse.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests of {@link IdleConnectionPool}. */
class IdleConnectionPoolTest {
    @Test
    void closesTheLongestIdleConnectionsAboveTheMaximum() {
        List<String> closed = new ArrayList<>();
        int[] maxIdle = {3};
        IdleConnectionPool<String> pool = new IdleConnectionPool<>(() -> maxIdle[0], closed::add);
        for (int i = 0; i < 5; i++) {
            pool.release("worker-" + i, "connection " + i);
        }
        assertEquals(List.of("connection 0", "connection 1"), closed);
        // The maximum decreases because inbound connections were opened.
        maxIdle[0] = 2;
        pool.trim();
        assertEquals(List.of("connection 0", "connection 1", "connection 2"), closed);
        assertNull(pool.acquire("worker-0"));
        assertEquals("connection 4", pool.acquire("worker-4"));
        assertNull(pool.acquire("worker-4"));
    }

    @Test
    void acquiresTheMostRecentlyUsedConnectionAndDropsRemovedOnes() {
        IdleConnectionPool<String> pool = new IdleConnectionPool<>(() -> 3, connection -> {});
        pool.release("state", "first");
        pool.release("state", "second");
        pool.release("state", "third");
        pool.remove("second");
        assertEquals("third", pool.acquire("state"));
        assertEquals("first", pool.acquire("state"));
        assertNull(pool.acquire("state"));
    }
}
