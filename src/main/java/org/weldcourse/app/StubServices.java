package org.weldcourse.app;

import io.netty.channel.EventLoop;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import org.weldcourse.http.Json;
import org.weldcourse.http.Server;
import org.weldcourse.runtime.EventLoopTimers;

/**
 * Stub of the store and the cloud for the {@link WarmUp}: there is one job and one machine type, and every
 * commit succeeds.
 */
final class StubServices {
    /** The only job, in the form in which users submit it and the store keeps it. */
    static final String JOB =
            """
            {"name_id": "req-000001", "course": "c", "crew": "t", "shape": "array", "rank": "normal", "beads": 2,
             "cpus": 1.0, "gpus": 0.0, "mem_gb": 1.0, "blank": "i", "size_gb": 1.0, "rigs": null, "yard": null,
             "together": false, "apart": false, "loaners": true, "expected_s": 1.0, "tack_s": 0.0, "quench_s": 0.0,
             "due_s": null}""";

    private static final String MACHINE_TYPES =
            """
            {"rigs": [{"name": "m", "cpus": 4, "gpus": 0, "mem_gb": 8, "local_gb": 10, "pull_gb_per_s": 1.0,
                       "price": 1.0, "spot_price": 0.5, "ready_s": 1, "yards": ["a"]}]}""";

    private StubServices() {}

    /** Listens at {@code address} until the event loop is shut down. */
    static void listen(EventLoop loop, String address) throws InterruptedException {
        Server.Limits limits = new Server.Limits(20, 20, 60_000_000, 60_000_000);
        new Server(loop, StubServices::handle, new EventLoopTimers(loop), limits, () -> {}).listen(address);
    }

    private static void handle(Server.Request request, Server.Reply reply) {
        String path = request.path();
        if (path.startsWith("/watch") && !path.startsWith("/watch?starts=open/")) {
            reply.refuse(503, "not now", 1);
        } else if (path.startsWith("/store/") && !path.endsWith("/req-000001") && !path.endsWith("/req-000009")) {
            reply.send(404, json("{\"ledger\": 1}"));
        } else {
            reply.send(200, json(responseBody(path)));
        }
    }

    private static String responseBody(String path) {
        if (path.startsWith("/watch?starts=open/")) {
            return """
                    {"ledger": 2, "events": [{"write": "open/req-000001", "value": %s, "mark": 2}]}"""
                    .formatted(JOB);
        } else if (path.startsWith("/store?starts=open/")) {
            return """
                    {"pairs": [{"path": "open/req-000001", "value": %s, "mark": 1}], "has_next": false, "ledger": 1}"""
                    .formatted(JOB);
        } else if (path.startsWith("/store?")) {
            return """
                    {"pairs": [], "has_next": false, "ledger": 1}""";
        } else if (path.startsWith("/store/final/")) {
            return """
                    {"path": "final/req-000009", "value": {"heat": "done", "done": 1}, "mark": 1}""";
        } else if (path.startsWith("/store/open/")) {
            return """
                    {"path": "open/req-000001", "value": %s, "mark": 1}""".formatted(JOB);
        } else if (path.startsWith("/grants")) {
            return """
                    {"permit": 1}""";
        } else if (path.equals("/machine_types")) {
            return MACHINE_TYPES;
        } else if (path.startsWith("/machines?")) {
            return """
                    {"forges": [], "has_next": false}""";
        } else if (path.equals("/machines")) {
            return """
                    {"forges": ["m-000001"]}""";
        }
        return """
                {"ledger": 2}""";
    }

    /** Parses a JSON object. */
    static Map<String, Object> json(String text) {
        return Json.objectOrEmpty(text.getBytes(StandardCharsets.UTF_8));
    }
}
