package org.weldcourse.jobs;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.BitSet;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.weldcourse.http.Json;

/** Tests of {@link AdmissionRecordCodec}, {@link AdmittedTasks} and {@link FinishedTasksCodec}. */
class AdmissionRecordCodecTest {
    private static Map<String, Object> throughJson(Map<String, Object> body) {
        return Json.objectOrEmpty(Json.bytes(body));
    }

    @Test
    void splitAdmissionsFitTheLimitAndDecodeCompletely() {
        AdmittedTasks tasks = new AdmittedTasks();
        Set<String> expected = new HashSet<>();
        int nextTask = 0;
        for (int m = 0; m < 30; m++) {
            for (int i = 0; i < 40; i++) {
                tasks.add(String.format("m-%06d", m), 7 + i % 2, nextTask);
                expected.add(String.format("m-%06d %d %d", m, 7 + i % 2, nextTask));
                nextTask += i % 3 == 0 ? 1 : 2;
            }
        }
        List<AdmittedTasks> parts = tasks.split(1024);
        assertTrue(parts.size() > 1);
        Set<String> read = new HashSet<>();
        for (AdmittedTasks part : parts) {
            Map<String, Object> record = throughJson(AdmissionRecordCodec.encode(part, 123_456, 123_456, null));
            assertTrue(Json.bytes(record).length <= 1024);
            assertEquals(123_456, AdmissionRecordCodec.lastAttempt(record));
            AdmissionRecordCodec.visit(record, (machine, attempt, first, last) -> {
                for (int task = first; task <= last; task++) {
                    assertTrue(read.add(machine + " " + attempt + " " + task));
                }
            });
        }
        assertEquals(expected, read);
    }

    @Test
    void finishedTasksRoundTrip() throws Exception {
        BitSet finished = new BitSet();
        finished.set(3, 9);
        finished.set(799);
        Map<String, Object> record =
                throughJson(AdmissionRecordCodec.encode(new AdmittedTasks().add("m-1", 2, 5), 2, 1, finished));
        assertEquals(finished, FinishedTasksCodec.decode(record));
        assertTrue(FinishedTasksCodec.encode(finished).length() <= FinishedTasksCodec.maxEncodedBytes(800));
        assertEquals(1, AdmissionRecordCodec.countTasks(record));
    }

    @Test
    void unreadableAdmissionsFailWithReason() {
        Object[][] unreadable = {
            {"m-1", 5, "are not a string"},
            {"m-1", null, "are not a string"},
            {"m-1", "0-7", "have no attempt number"},
            {"m-1", "", "have no attempt number"},
            {"m-1", "3:", "contain an invalid number"},
            {"m-1", "3:0-x", "contain an invalid number"},
            {"m-1", "3:0-7;x:1", "contain an invalid number"}
        };
        for (Object[] machine : unreadable) {
            Map<String, Object> record = Json.of("machines", Json.of((String) machine[0], machine[1]));
            UnreadableRecordException exception =
                    assertThrows(UnreadableRecordException.class, () -> AdmissionRecordCodec.countTasks(record));
            assertTrue(
                    exception.getMessage().contains("on m-1 ")
                            && exception.getMessage().contains((String) machine[2]),
                    exception.getMessage());
        }
        assertThrows(UnreadableRecordException.class, () -> FinishedTasksCodec.decode(Json.of("bits", "not base64")));
        assertEquals(0, AdmissionRecordCodec.countTasks(Map.of()));
        assertEquals(new BitSet(), FinishedTasksCodec.decode(Map.of()));
    }
}
