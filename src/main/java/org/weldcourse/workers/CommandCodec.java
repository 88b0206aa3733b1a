package org.weldcourse.workers;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.weldcourse.http.Json;

/** Writes commands for workers to the wire: the protocol's names for them stay in here. */
public final class CommandCodec {
    private CommandCodec() {}

    /** The answer to a heartbeat, which renews the worker's lease if the token is not older than one that it has seen. */
    public static Map<String, Object> encodeHeartbeatResponse(long fencingToken, List<WorkerCommand> commands) {
        return Json.of("torch", fencingToken, "orders", encode(commands));
    }

    /** A direct message with commands, which hold only for this incarnation of the worker. */
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
                        command.graceMicros() / 1e6);
            case FORGET -> Json.of("order", "forget", "bead", task, "strike", command.attempt());
        };
    }
}
