package org.weldcourse.workers;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.weldcourse.http.Json;

/** Encodes worker commands as messages. The field names of the protocol are used only here. */
public final class CommandCodec {
    private CommandCodec() {}

    /** Encodes a heartbeat response; it renews the worker's lease unless the worker has seen a newer fencing token. */
    public static Map<String, Object> encodeHeartbeatResponse(long fencingToken, List<WorkerCommand> commands) {
        return Json.of("torch", fencingToken, "orders", encode(commands));
    }

    /** Encodes a direct message; the worker ignores its commands unless it is still in this incarnation. */
    public static Map<String, Object> encodeDirectMessage(
            long fencingToken, long incarnation, List<WorkerCommand> commands) {
        return Json.of("torch", fencingToken, "shift", incarnation, "orders", encode(commands));
    }

    private static List<Object> encode(List<WorkerCommand> commands) {
        List<Object> encoded = new ArrayList<>(commands.size());
        for (WorkerCommand command : commands) {
            encoded.add(encode(command));
        }
        return encoded;
    }

    private static Map<String, Object> encode(WorkerCommand command) {
        String task = command.task().toString();
        return switch (command.kind()) {
            case START -> Json.of("order", "run", "bead", task, "strike", command.attempt());
            case STOP ->
                Json.of(
                        "order",
                        "halt",
                        "bead",
                        task,
                        "strike",
                        command.attempt(),
                        "cooldown_s",
                        command.gracePeriodMicros() / 1e6);
            case FORGET -> Json.of("order", "forget", "bead", task, "strike", command.attempt());
        };
    }
}
