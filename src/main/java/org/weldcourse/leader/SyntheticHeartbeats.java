package org.weldcourse.leader;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.weldcourse.cluster.Booking;
import org.weldcourse.cluster.BookingGroup;
import org.weldcourse.cluster.Machine;
import org.weldcourse.http.Json;
import org.weldcourse.http.Server.Request;

/** Builds the heartbeats of the synthetic machines of a warm-up, with the field names of the worker protocol. */
final class SyntheticHeartbeats {
    private static final String METHOD = "POST";
    private static final String PATH = "/checkin";
    private static final String ADDRESS = "127.0.0.1:1";
    /** The last pass of a round, in which some tasks exit. */
    private static final int EXIT_PASS = 2;

    private SyntheticHeartbeats() {}

    /**
     * The JSON body of a machine's heartbeat.
     *
     * @param spot whether the machine is reported as a spot machine
     * @param sequence higher than in the machine's previous heartbeat
     * @param pass 0 to 2: tasks are fetched in the first pass, run in the second, and some of them exit in the last
     */
    static byte[] body(Machine machine, String zone, boolean spot, long sequence, long fencingToken, int pass) {
        return Json.bytes(Json.of(
                "forge",
                machine.name,
                "addr",
                ADDRESS,
                "rig",
                machine.type.name(),
                "yard",
                zone,
                "loaners",
                spot,
                "shift",
                1L,
                "stitch",
                sequence,
                "torch",
                fencingToken,
                "recall_s",
                null,
                "beads",
                tasks(machine, pass)));
    }

    private static List<Object> tasks(Machine machine, int pass) {
        List<Object> tasks = new ArrayList<>();
        for (BookingGroup group : machine.bookings.groups()) {
            for (Booking booking : group.present()) {
                tasks.add(task(booking, pass));
            }
        }
        return tasks;
    }

    private static Map<String, Object> task(Booking booking, int pass) {
        boolean exited = pass == EXIT_PASS && booking.task() % 2 == 0;
        Map<String, Object> task = Json.of(
                "bead",
                booking.taskId().toString(),
                "strike",
                (long) booking.attempt(),
                "heat",
                exited ? "exited" : booking.isReported() ? "running" : "fetching");
        if (exited) {
            task.put("cause", "done");
        }
        return task;
    }

    /** The request with this body, as the HTTP server passes it to a handler. */
    static Request request(byte[] body) {
        return new Request(METHOD, PATH, body);
    }

    /** The request with this body, as the bytes of an HTTP request on a connection. */
    static byte[] requestBytes(byte[] body) {
        byte[] head = (METHOD + " " + PATH + " HTTP/1.1\r\n"
                        + "Host: warm-up\r\nContent-Type: application/json\r\nContent-Length: " + body.length
                        + "\r\n\r\n")
                .getBytes(StandardCharsets.US_ASCII);
        byte[] request = new byte[head.length + body.length];
        System.arraycopy(head, 0, request, 0, head.length);
        System.arraycopy(body, 0, request, head.length, body.length);
        return request;
    }
}
