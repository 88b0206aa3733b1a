package org.weldcourse.workers;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.weldcourse.http.Json;

/**
 * Decodes heartbeats. The field names of the protocol are used only here. The JSON is parsed as a stream, because
 * hundreds of heartbeats arrive per second. Unknown fields are skipped; a field of the wrong type counts as missing. An
 * instance holds the fields of one heartbeat that were read so far.
 */
public final class HeartbeatCodec {
    private final JsonParser in;

    private String machine;
    private String address;
    private String type;
    private String zone;
    private boolean spot;
    private long incarnation;
    private long sequence = -1;
    private long fencingToken;
    private long reclaimNoticeMicros = Heartbeat.NO_RECLAIM_NOTICE;
    private List<TaskStatus> tasks = List.of();

    private HeartbeatCodec(JsonParser in) {
        this.in = in;
    }

    /**
     * Decodes the body of a heartbeat request.
     *
     * @throws MalformedHeartbeatException if the body is not a JSON object, if the machine's name, the incarnation or
     *     the sequence number is missing, or if a listed task is malformed: with a partial list, tasks would seem lost
     */
    public static Heartbeat decode(byte[] body) throws MalformedHeartbeatException {
        try (JsonParser in = Json.reader(body)) {
            return new HeartbeatCodec(in).readHeartbeat();
        } catch (IOException malformed) {
            throw new MalformedHeartbeatException("not JSON", malformed);
        }
    }

    private Heartbeat readHeartbeat() throws IOException, MalformedHeartbeatException {
        require(in.nextToken() == JsonToken.START_OBJECT, "not an object");
        while (in.nextToken() == JsonToken.FIELD_NAME) {
            String field = in.currentName();
            in.nextToken();
            readField(field);
        }
        require(in.currentToken() == JsonToken.END_OBJECT, "unterminated object");
        require(machine != null, "forge is missing");
        require(incarnation >= 1, "shift is missing or less than 1");
        require(sequence >= 0, "stitch is missing or negative");
        return new Heartbeat(
                machine, address, type, zone, spot, incarnation, sequence, fencingToken, reclaimNoticeMicros, tasks);
    }

    private void readField(String field) throws IOException, MalformedHeartbeatException {
        switch (field) {
            case "forge" -> machine = readText();
            case "addr" -> address = readText();
            case "rig" -> type = readText();
            case "yard" -> zone = readText();
            case "loaners" -> spot = in.currentToken() == JsonToken.VALUE_TRUE;
            case "shift" -> incarnation = readInteger(0);
            case "stitch" -> sequence = readInteger(-1);
            case "torch" -> fencingToken = readInteger(0);
            case "recall_s" -> reclaimNoticeMicros = readReclaimNotice();
            case "beads" -> tasks = readTasks();
            default -> in.skipChildren();
        }
    }

    private long readReclaimNotice() throws IOException {
        double seconds = in.currentToken().isNumeric() ? in.getDoubleValue() : -1;
        return seconds < 0 ? Heartbeat.NO_RECLAIM_NOTICE : Math.round(seconds * 1e6);
    }

    private List<TaskStatus> readTasks() throws IOException, MalformedHeartbeatException {
        if (in.currentToken() != JsonToken.START_ARRAY) {
            in.skipChildren();
            return List.of();
        }
        List<TaskStatus> parsedTasks = new ArrayList<>();
        while (in.nextToken() == JsonToken.START_OBJECT) {
            parsedTasks.add(readTask());
        }
        require(in.currentToken() == JsonToken.END_ARRAY, "an entry of beads is not an object");
        return parsedTasks;
    }

    private TaskStatus readTask() throws IOException, MalformedHeartbeatException {
        String id = null;
        String state = null;
        int attempt = 0;
        String cause = null;
        while (in.nextToken() == JsonToken.FIELD_NAME) {
            String field = in.currentName();
            in.nextToken();
            switch (field) {
                case "bead" -> id = readText();
                case "strike" -> attempt = (int) readInteger(0);
                case "heat" -> state = readText();
                case "cause" -> cause = readText();
                default -> in.skipChildren();
            }
        }
        TaskState taskState = parseState(state);
        return new TaskStatus(
                TaskId.parse(id), attempt, taskState, taskState == TaskState.EXITED ? parseExitCause(cause) : null);
    }

    private String readText() throws IOException {
        if (in.currentToken() == JsonToken.VALUE_STRING) {
            return in.getText();
        }
        in.skipChildren();
        return null;
    }

    private long readInteger(long defaultValue) throws IOException {
        if (in.currentToken() == JsonToken.VALUE_NUMBER_INT
                && in.getNumberType() != JsonParser.NumberType.BIG_INTEGER) {
            return in.getLongValue();
        }
        in.skipChildren();
        return defaultValue;
    }

    private static TaskState parseState(String state) throws MalformedHeartbeatException {
        return switch (String.valueOf(state)) {
            case "fetching" -> TaskState.FETCHING_IMAGE;
            case "gathering" -> TaskState.WAITING_FOR_GANG;
            case "running" -> TaskState.RUNNING;
            case "saving" -> TaskState.SAVING_CHECKPOINT;
            case "exited" -> TaskState.EXITED;
            default -> throw new MalformedHeartbeatException("a task's heat is unknown: " + state);
        };
    }

    /** Maps causes that this version does not know to {@link ExitCause#FAILED}. */
    private static ExitCause parseExitCause(String cause) {
        return switch (String.valueOf(cause)) {
            case "done" -> ExitCause.DONE;
            case "stopped" -> ExitCause.STOPPED;
            case "mates_gone" -> ExitCause.GANG_PEER_LOST;
            case "alone" -> ExitCause.GANG_INCOMPLETE;
            case "no_room" -> ExitCause.REFUSED_NO_ROOM;
            case "busy" -> ExitCause.REFUSED_OTHER_ATTEMPT;
            case "unknown" -> ExitCause.REFUSED_UNKNOWN_TASK;
            default -> ExitCause.FAILED;
        };
    }

    private static void require(boolean condition, String message) throws MalformedHeartbeatException {
        if (!condition) {
            throw new MalformedHeartbeatException(message);
        }
    }
}
