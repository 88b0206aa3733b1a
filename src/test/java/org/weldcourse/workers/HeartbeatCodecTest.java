package org.weldcourse.workers;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.weldcourse.http.Json;

/** Tests of {@link HeartbeatCodec}. */
class HeartbeatCodecTest {
    private static Map<String, Object> heartbeatBody(List<Object> tasks) {
        return Json.of(
                "forge",
                "m-1",
                "addr",
                "x:1",
                "rig",
                "s",
                "yard",
                "a",
                "loaners",
                true,
                "shift",
                2,
                "stitch",
                9,
                "torch",
                4,
                "new_field",
                1,
                "beads",
                tasks);
    }

    private static void assertMalformed(String expectedMessage, byte[] body) {
        MalformedHeartbeatException malformed =
                assertThrows(MalformedHeartbeatException.class, () -> HeartbeatCodec.decode(body));
        assertEquals(expectedMessage, malformed.getMessage());
    }

    @Test
    void allFieldsAreDecodedAndUnknownFieldsIgnored() throws Exception {
        Map<String, Object> body = heartbeatBody(List.of(
                Json.of("bead", "req-000001/3", "strike", 2, "heat", "exited", "cause", "unheard_of"),
                Json.of(
                        "bead",
                        "req-000001/4",
                        "strike",
                        1,
                        "heat",
                        "saving",
                        "cause",
                        "done",
                        "new_field",
                        List.of())));
        Heartbeat expected = new Heartbeat(
                "m-1",
                "x:1",
                "s",
                "a",
                true,
                2,
                9,
                4,
                Heartbeat.NO_RECLAIM_NOTICE,
                List.of(
                        new TaskStatus(new TaskId("req-000001", 3), 2, TaskState.EXITED, ExitCause.FAILED),
                        new TaskStatus(new TaskId("req-000001", 4), 1, TaskState.SAVING_CHECKPOINT, null)));
        assertEquals(expected, HeartbeatCodec.decode(Json.bytes(body)));
        body.put("recall_s", 1.5);
        assertEquals(1_500_000, HeartbeatCodec.decode(Json.bytes(body)).reclaimNoticeMicros());
    }

    @ParameterizedTest
    @CsvSource({
        "done, DONE",
        "stopped, STOPPED",
        "mates_gone, GANG_PEER_LOST",
        "alone, GANG_INCOMPLETE",
        "error, FAILED",
        "no_room, REFUSED_NO_ROOM",
        "busy, REFUSED_OTHER_ATTEMPT",
        "unknown, REFUSED_UNKNOWN_TASK"
    })
    void exitCausesAreDecoded(String cause, ExitCause expected) throws Exception {
        Map<String, Object> body =
                heartbeatBody(List.of(Json.of("bead", "req-000001/3", "heat", "exited", "cause", cause)));
        assertEquals(
                expected, HeartbeatCodec.decode(Json.bytes(body)).tasks().get(0).cause());
    }

    @Test
    void malformedHeartbeatsAreRejectedWithReason() {
        assertMalformed("forge is missing", Json.bytes(Map.of()));
        assertMalformed("not an object", "[]".getBytes(StandardCharsets.UTF_8));
        assertMalformed("not JSON", "{\"forge\":".getBytes(StandardCharsets.UTF_8));
        assertMalformed(
                "invalid task ID: nothing",
                Json.bytes(heartbeatBody(List.of(Json.of("bead", "nothing", "heat", "running")))));
        assertMalformed(
                "invalid task ID: req-000001/x",
                Json.bytes(heartbeatBody(List.of(Json.of("bead", "req-000001/x", "heat", "running")))));
        assertMalformed(
                "a task's heat is unknown: null", Json.bytes(heartbeatBody(List.of(Json.of("bead", "req-000001/3")))));
        assertMalformed("an entry of beads is not an object", Json.bytes(heartbeatBody(List.of("req-000001/3"))));
        Map<String, Object> body = heartbeatBody(List.of());
        body.put("shift", null);
        assertMalformed("shift is missing or less than 1", Json.bytes(body));
        body.put("shift", 1);
        body.put("stitch", -1);
        assertMalformed("stitch is missing or negative", Json.bytes(body));
    }
}
