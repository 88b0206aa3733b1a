package org.weldcourse.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests of {@link IdleConnectionPool}. */
class IdleConnectionPoolTest {
    @Test
    void thoseThatIdleLongestMakeRoom() {
        List<String> closed = new ArrayList<>();
        int[] room = {3};
        IdleConnectionPool<String> pool = new IdleConnectionPool<>(() -> room[0], closed::add);
        for (int i = 0; i < 5; i++) {
            pool.release("worker-" + i, "line " + i);
        }
        assertEquals(List.of("line 0", "line 1"), closed);
        // Others opened connections meanwhile.
        room[0] = 2;
        pool.trim();
        assertEquals(List.of("line 0", "line 1", "line 2"), closed);
        assertNull(pool.acquire("worker-0"));
        assertEquals("line 4", pool.acquire("worker-4"));
        assertNull(pool.acquire("worker-4"));
    }

    @Test
    void theOneUsedLastIsTakenAndALostOneForgotten() {
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
