package org.weldcourse.workers;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.weldcourse.http.Json;

/** Tests of {@link CommandCodec}. */
class CommandCodecTest {
    private static final TaskId TASK = new TaskId("req-000001", 3);

    private static String json(Map<String, Object> message) {
        return new String(Json.bytes(message), StandardCharsets.UTF_8);
    }

    @Test
    void commandsAreEncodedInOrderWithProtocolNames() {
        List<WorkerCommand> commands = List.of(
                WorkerCommand.forget(TASK, 1), WorkerCommand.stop(TASK, 2, 1_500_000), WorkerCommand.start(TASK, 3));
        String orders = "\"orders\":[{\"order\":\"forget\",\"bead\":\"req-000001/3\",\"strike\":1},"
                + "{\"order\":\"halt\",\"bead\":\"req-000001/3\",\"strike\":2,\"cooldown_s\":1.5},"
                + "{\"order\":\"run\",\"bead\":\"req-000001/3\",\"strike\":3}]}";
        assertEquals("{\"torch\":7," + orders, json(CommandCodec.encodeHeartbeatResponse(7, commands)));
        assertEquals("{\"torch\":7,\"shift\":2," + orders, json(CommandCodec.encodeDirectMessage(7, 2, commands)));
    }
}
