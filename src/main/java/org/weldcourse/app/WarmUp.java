package org.weldcourse.app;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.io.StringReader;
import java.net.BindException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.weldcourse.http.HttpClient.Call;
import org.weldcourse.http.NettyHttpClient;
import org.weldcourse.leader.StandbyWarmUp;
import org.weldcourse.runtime.EventLoopTimers;
import org.weldcourse.settings.InvalidSettingsException;
import org.weldcourse.settings.OperatorSettings;
import org.weldcourse.settings.Settings;
import org.weldcourse.settings.SettingsFile;

/**
 * The training run for the class data sharing (CDS) archive. The build runs a controller for a few seconds on the
 * loopback interface, with stubs of the services that it needs, and archives the loaded classes.
 */
final class WarmUp {
    private static final String HOST = "127.0.0.1";
    private static final long MAX_WAIT_SECONDS = 2;
    private static final int MAX_ATTEMPTS = 5;
    private static final String HEARTBEAT =
            """
            {"forge": "m-000001", "addr": "127.0.0.1:1", "rig": "m", "yard": "a", "loaners": true, "shift": 1,
             "stitch": 1, "torch": 1, "recall_s": null, "beads": []}""";
    /** Format arguments: host, API port, peer port, port of the stub services. */
    private static final String SETTINGS =
            """
            host_name = "warm"
            site = "a"
            api_addr = "%1$s:%2$d"
            back = "%1$s:%3$d"
            [[known]]
            host_name = "warm-2"
            site = "a"
            address = "%1$s:%3$d"
            [endpoints]
            cloud = "%1$s:%4$d"
            state = "%1$s:%4$d"
            [deployment]
            zones = ["a"]
            [[deployment.teams]]
            name = "t"
            cpus = 1.0
            cpus_max = 0.0
            gpus = 0.0
            gpus_max = 0.0
            [[deployment.objectives]]
            kind = "wait"
            class = "c"
            within_s = 5.0
            share = 0.5
            [deployment.workers]
            report_s = 1.0
            lease_s = 10.0
            gang_wait_s = 40.0
            gang_peer_s = 4.0
            cancel_s = 35.0
            [deployment.state]
            rps = 100.0
            write_rps = 50.0
            value_kb = 32.0
            txn_ops = 16
            [deployment.cloud]
            rps = 3.0
            list_lag_s = 8.0
            [deployment.quota]
            max_sockets = 500
            """;

    private WarmUp() {}

    /** Finds the ports for an attempt. Another process may take a port before the attempt binds it. */
    interface PortFinder {
        int findFreePort() throws IOException;
    }

    static void run() throws Exception {
        run(WarmUp::freePort);
    }

    static void run(PortFinder ports) throws Exception {
        for (int attempt = 1; !tryRun(ports); attempt++) {
            if (attempt == MAX_ATTEMPTS) {
                throw new BindException("no free port after " + MAX_ATTEMPTS + " attempts");
            }
        }
    }

    /** Returns false if another process took one of the ports. */
    private static boolean tryRun(PortFinder ports) throws Exception {
        int apiPort = ports.findFreePort();
        int servicesPort = ports.findFreePort();
        EventLoop loop = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory()).next();
        Node node = new Node(settings(apiPort, ports.findFreePort(), servicesPort), OperatorSettings.DEFAULT);
        try {
            StubServices.listen(loop, HOST + ":" + servicesPort);
            node.start();
            sendRequests(loop, apiPort, settings(apiPort, ports.findFreePort(), servicesPort));
            return true;
        } catch (Exception failure) {
            // Netty throws checked exceptions such as BindException without declaring them.
            if (failure instanceof BindException) {
                return false;
            }
            throw failure;
        } finally {
            node.stop();
            loop.parent().shutdownGracefully(0, 100, TimeUnit.MILLISECONDS);
        }
    }

    private static void sendRequests(EventLoop loop, int apiPort, Settings settings) throws InterruptedException {
        String address = HOST + ":" + apiPort;
        List<Call> calls = List.of(
                new Call(address, "GET", "/ready", null, 1_000_000),
                new Call(address, "POST", "/v1/jobs", StubServices.json(StubServices.JOB), 1_000_000),
                new Call(address, "GET", "/v1/jobs/req-000001", null, 1_000_000),
                new Call(address, "POST", "/v1/jobs/req-000001/withdraw", Map.of(), 1_000_000),
                new Call(address, "GET", "/v1/jobs/req-000009", null, 1_000_000),
                new Call(address, "POST", "/checkin", StubServices.json(HEARTBEAT), 1_000_000));
        NettyHttpClient httpClient = new NettyHttpClient(loop, () -> 8);
        CountDownLatch pendingResponses = new CountDownLatch(calls.size());
        Runnable sendAll = () -> calls.forEach(call -> httpClient.call(call, response -> pendingResponses.countDown()));
        loop.schedule(sendAll, 800, TimeUnit.MILLISECONDS);
        EventLoopTimers timers = new EventLoopTimers(loop);
        StandbyWarmUp standbyWarmUp = new StandbyWarmUp(settings, timers, timers, () -> true);
        loop.execute(standbyWarmUp::start);
        pendingResponses.await(MAX_WAIT_SECONDS, TimeUnit.SECONDS);
        Thread.sleep(1_500);
        loop.execute(standbyWarmUp::cancel);
    }

    private static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(HOST))) {
            return socket.getLocalPort();
        }
    }

    private static Settings settings(int apiPort, int peerPort, int servicesPort) throws InvalidSettingsException {
        return SettingsFile.parse(new StringReader(settingsText(apiPort, peerPort, servicesPort)));
    }

    static String settingsText(int apiPort, int peerPort, int servicesPort) {
        return SETTINGS.formatted(HOST, apiPort, peerPort, servicesPort);
    }
}
