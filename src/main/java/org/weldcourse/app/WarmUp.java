package org.weldcourse.app;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.StringReader;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.weldcourse.admission.Drill;
import org.weldcourse.http.Caller.Call;
import org.weldcourse.http.Json;
import org.weldcourse.http.NettyCaller;
import org.weldcourse.http.Server;
import org.weldcourse.runtime.Loop;
import org.weldcourse.settings.Settings;
import org.weldcourse.settings.SettingsFile;
import org.weldcourse.settings.Tuning;

/**
 * Runs a controller for a moment on the loopback, beside a stand-in for the services that it needs, so that the
 * classes of the ordinary path are loaded when the build makes its class archive. Nothing else uses it.
 */
final class WarmUp {
    private static final String HOST = "127.0.0.1";
    private static final long SECONDS = 2;

    private WarmUp() {}

    static void run() throws Exception {
        int api = freePort();
        int services = freePort();
        EventLoop loop = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory()).next();
        new Server(loop, WarmUp::standIn, new Loop(loop), new Server.Limits(20, 20, 60_000_000, 60_000_000), () -> {})
                .listen(HOST + ":" + services);
        Node node = new Node(settings(api, freePort(), services), Tuning.DEFAULT);
        node.start();
        NettyCaller caller = new NettyCaller(loop, () -> 8);
        CountDownLatch answered = new CountDownLatch(6);
        String address = HOST + ":" + api;
        loop.schedule(
                () -> {
                    for (Call call : List.of(
                            new Call(address, "GET", "/ready", null, 1_000_000),
                            new Call(address, "POST", "/v1/jobs", job(), 1_000_000),
                            new Call(address, "GET", "/v1/jobs/req-000001", null, 1_000_000),
                            new Call(address, "POST", "/v1/jobs/req-000001/withdraw", Map.of(), 1_000_000),
                            new Call(address, "GET", "/v1/jobs/req-000009", null, 1_000_000),
                            new Call(address, "POST", "/checkin", report(), 1_000_000))) {
                        caller.call(call, answer -> answered.countDown());
                    }
                },
                800,
                TimeUnit.MILLISECONDS);
        Loop time = new Loop(loop);
        Drill drill = new Drill(settings(api, freePort(), services), time, time, () -> true);
        loop.execute(drill::start);
        answered.await(SECONDS, TimeUnit.SECONDS);
        Thread.sleep(1_500);
        loop.execute(drill::cancel);
        node.stop();
        loop.parent().shutdownGracefully(0, 100, TimeUnit.MILLISECONDS);
    }

    private static int freePort() throws Exception {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(HOST))) {
            return socket.getLocalPort();
        }
    }

    private static Settings settings(int api, int back, int services) throws SettingsFile.Invalid {
        return SettingsFile.parse(new StringReader(settingsText(api, back, services)));
    }

    static String settingsText(int api, int back, int services) {
        String at = HOST + ":";
        return String.join(
                "\n",
                "host_name = \"warm\"",
                "site = \"a\"",
                "api_addr = \"" + at + api + "\"",
                "back = \"" + at + back + "\"",
                "[[known]]",
                "host_name = \"warm-2\"",
                "site = \"a\"",
                "address = \"" + at + back + "\"",
                "[endpoints]",
                "cloud = \"" + at + services + "\"",
                "state = \"" + at + services + "\"",
                "[deployment]",
                "zones = [\"a\"]",
                "[[deployment.teams]]",
                "name = \"t\"",
                "cpus = 1.0",
                "cpus_max = 0.0",
                "gpus = 0.0",
                "gpus_max = 0.0",
                "[[deployment.objectives]]",
                "kind = \"wait\"",
                "class = \"c\"",
                "within_s = 5.0",
                "share = 0.5",
                "[deployment.workers]",
                "report_s = 1.0",
                "lease_s = 10.0",
                "gang_wait_s = 40.0",
                "gang_peer_s = 4.0",
                "cancel_s = 35.0",
                "[deployment.state]",
                "rps = 100.0",
                "write_rps = 50.0",
                "value_kb = 32.0",
                "txn_ops = 16",
                "[deployment.cloud]",
                "rps = 3.0",
                "list_lag_s = 8.0",
                "[deployment.quota]",
                "max_sockets = 500");
    }

    /** Stands in for the state service and the cloud: every read finds nothing new, every commit succeeds. */
    private static void standIn(Server.Request request, Server.Reply reply) {
        String path = request.path();
        if (path.startsWith("/watch?starts=open/")) {
            reply.send(
                    200,
                    Json.of(
                            "ledger",
                            2,
                            "events",
                            List.of(Json.of("write", "open/req-000001", "value", job(), "mark", 2))));
        } else if (path.startsWith("/watch")) {
            reply.refuse(503, "not now", 1);
        } else if (path.startsWith("/store?starts=open/")) {
            reply.send(
                    200,
                    Json.of(
                            "pairs",
                            List.of(Json.of("path", "open/req-000001", "value", job(), "mark", 1)),
                            "has_next",
                            false,
                            "ledger",
                            1));
        } else if (path.startsWith("/store?")) {
            reply.send(200, Json.of("pairs", List.of(), "has_next", false, "ledger", 1));
        } else if (path.startsWith("/store/final/req-000009")) {
            reply.send(
                    200, Json.of("path", "final/req-000009", "value", Json.of("heat", "done", "done", 1), "mark", 1));
        } else if (path.startsWith("/store/open/req-000001")) {
            reply.send(200, Json.of("path", "open/req-000001", "value", job(), "mark", 1));
        } else if (path.startsWith("/store/")) {
            reply.send(404, Json.of("ledger", 1));
        } else if (path.startsWith("/grants")) {
            reply.send(200, Json.of("permit", 1));
        } else if (path.equals("/machine_types")) {
            reply.send(
                    200,
                    Json.of(
                            "rigs",
                            List.of(Json.of(
                                    "name",
                                    "m",
                                    "cpus",
                                    4,
                                    "gpus",
                                    0,
                                    "mem_gb",
                                    8,
                                    "local_gb",
                                    10,
                                    "pull_gb_per_s",
                                    1.0,
                                    "price",
                                    1.0,
                                    "spot_price",
                                    0.5,
                                    "ready_s",
                                    1,
                                    "yards",
                                    List.of("a")))));
        } else if (path.startsWith("/machines?")) {
            reply.send(200, Json.of("forges", List.of(), "has_next", false));
        } else if (path.equals("/machines")) {
            reply.send(200, Json.of("forges", List.of("m-000001")));
        } else {
            reply.send(200, Json.of("ledger", 2));
        }
    }

    private static Map<String, Object> job() {
        return Json.of(
                "name_id",
                "req-000001",
                "course",
                "c",
                "crew",
                "t",
                "shape",
                "array",
                "rank",
                "normal",
                "beads",
                2,
                "cpus",
                1.0,
                "gpus",
                0.0,
                "mem_gb",
                1.0,
                "blank",
                "i",
                "size_gb",
                1.0,
                "rigs",
                null,
                "yard",
                null,
                "together",
                false,
                "apart",
                false,
                "loaners",
                true,
                "expected_s",
                1.0,
                "tack_s",
                0.0,
                "quench_s",
                0.0,
                "due_s",
                null);
    }

    private static Map<String, Object> report() {
        return Json.of(
                "forge",
                "m-000001",
                "addr",
                HOST + ":1",
                "rig",
                "m",
                "yard",
                "a",
                "loaners",
                true,
                "shift",
                1,
                "stitch",
                1,
                "torch",
                1,
                "recall_s",
                null,
                "beads",
                List.of());
    }
}
