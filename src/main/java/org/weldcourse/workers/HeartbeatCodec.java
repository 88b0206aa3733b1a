package org.weldcourse.workers;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.weldcourse.http.Json;

/**
 * Reads heartbeats off the wire: the protocol's field names stay in here. They are read as a stream, since hundreds
 * come in a second and most say little new. Unknown fields are skipped; one of the wrong type counts as missing. An
 * instance holds what was read of one heartbeat so far.
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
     * The heartbeat that the body of a request holds.
     *
     * @throws MalformedHeartbeatException if the body is no JSON object, lacks the machine's name, its incarnation or
     *     the sequence number, or lists something that is no task: then the list as a whole shows nothing
     */
    public static Heartbeat decode(byte[] body) throws MalformedHeartbeatException {
        try (JsonParser in = Json.reader(body)) {
            return new HeartbeatCodec(in).heartbeat();
        } catch (IOException malformed) {
            throw new MalformedHeartbeatException("not JSON", malformed);
        }
    }

    private Heartbeat heartbeat() throws IOException, MalformedHeartbeatException {
        require(in.nextToken() == JsonToken.START_OBJECT, "not an object");
        while (in.nextToken() == JsonToken.FIELD_NAME) {
            String field = in.currentName();
            in.nextToken();
            readField(field);
        }
        require(in.currentToken() == JsonToken.END_OBJECT, "the object has no end");
        require(machine != null, "forge is missing");
        require(incarnation >= 1, "shift is missing or less than 1");
        require(sequence >= 0, "stitch is missing or negative");
        return new Heartbeat(
                machine, address, type, zone, spot, incarnation, sequence, fencingToken, reclaimNoticeMicros, tasks);
    }

    private void readField(String field) throws IOException, MalformedHeartbeatException {
        switch (field) {
            case "forge" -> machine = text();
            case "addr" -> address = text();
            case "rig" -> type = text();
            case "yard" -> zone = text();
            case "loaners" -> spot = in.currentToken() == JsonToken.VALUE_TRUE;
            case "shift" -> incarnation = integer(0);
            case "stitch" -> sequence = integer(-1);
            case "torch" -> fencingToken = integer(0);
            case "recall_s" -> reclaimNoticeMicros = reclaimNotice();
            case "beads" -> tasks = tasks();
            default -> in.skipChildren();
        }
    }

    private long reclaimNotice() throws IOException {
        double seconds = in.currentToken().isNumeric() ? in.getDoubleValue() : -1;
        return seconds < 0 ? Heartbeat.NO_RECLAIM_NOTICE : Math.round(seconds * 1e6);
    }

    private List<TaskStatus> tasks() throws IOException, MalformedHeartbeatException {
        if (in.currentToken() != JsonToken.START_ARRAY) {
            in.skipChildren();
            return List.of();
        }
        List<TaskStatus> listed = new ArrayList<>();
        while (in.nextToken() == JsonToken.START_OBJECT) {
            listed.add(task());
        }
        require(in.currentToken() == JsonToken.END_ARRAY, "an entry of beads is not an object");
        return listed;
    }

    private TaskStatus task() throws IOException, MalformedHeartbeatException {
        String id = null;
        String heat = null;
        int attempt = 0;
        String cause = null;
        while (in.nextToken() == JsonToken.FIELD_NAME) {
            String field = in.currentName();
            in.nextToken();
            switch (field) {
                case "bead" -> id = text();
                case "strike" -> attempt = (int) integer(0);
                case "heat" -> heat = text();
                case "cause" -> cause = text();
                default -> in.skipChildren();
            }
        }
        TaskState state = state(heat);
        return new TaskStatus(TaskId.parse(id), attempt, state, state == TaskState.EXITED ? exitCause(cause) : null);
    }

    private String text() throws IOException {
        if (in.currentToken() == JsonToken.VALUE_STRING) {
            return in.getText();
        }
        in.skipChildren();
        return null;
    }

    private long integer(long otherwise) throws IOException {
        if (in.currentToken() == JsonToken.VALUE_NUMBER_INT
                && in.getNumberType() != JsonParser.NumberType.BIG_INTEGER) {
            return in.getLongValue();
        }
        in.skipChildren();
        return otherwise;
    }

    private static TaskState state(String heat) throws MalformedHeartbeatException {
        return switch (String.valueOf(heat)) {
            case "fetching" -> TaskState.FETCHING_IMAGE;
            case "gathering" -> TaskState.WAITING_FOR_GANG;
            case "running" -> TaskState.RUNNING;
            case "saving" -> TaskState.SAVING_CHECKPOINT;
            case "exited" -> TaskState.EXITED;
            default -> throw new MalformedHeartbeatException("a task's heat is unknown: " + heat);
        };
    }

    /** A cause that this version does not know is taken for a failure. */
    private static ExitCause exitCause(String cause) {
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

    private static void require(boolean holds, String elseWrong) throws MalformedHeartbeatException {
        if (!holds) {
            throw new MalformedHeartbeatException(elseWrong);
        }
    }
}
