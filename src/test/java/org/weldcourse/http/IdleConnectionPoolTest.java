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
        IdleConnectionPool<String> lines = new IdleConnectionPool<>(() -> room[0], closed::add);
        for (int i = 0; i < 5; i++) {
            lines.keep("worker-" + i, "line " + i);
        }
        assertEquals(List.of("line 0", "line 1"), closed);
        // Others opened connections meanwhile.
        room[0] = 2;
        lines.trim();
        assertEquals(List.of("line 0", "line 1", "line 2"), closed);
        assertNull(lines.take("worker-0"));
        assertEquals("line 4", lines.take("worker-4"));
        assertNull(lines.take("worker-4"));
    }

    @Test
    void theOneUsedLastIsTakenAndALostOneForgotten() {
        IdleConnectionPool<String> lines = new IdleConnectionPool<>(() -> 3, line -> {});
        lines.keep("state", "first");
        lines.keep("state", "second");
        lines.keep("state", "third");
        lines.forget("second");
        assertEquals("third", lines.take("state"));
        assertEquals("first", lines.take("state"));
        assertNull(lines.take("state"));
    }
}
