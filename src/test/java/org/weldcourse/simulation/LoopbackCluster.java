package org.weldcourse.simulation;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.weldcourse.http.NettyHttpClient;
import org.weldcourse.http.Server;
import org.weldcourse.runtime.EventLoopTimers;
import org.weldcourse.settings.Settings;

/**
 * A cluster on the loopback interface in real time: controllers as separate processes with a fake store, cloud and workers.
 * All fakes run on one event loop, and the first violated invariant there is recorded for {@link #throwFailure}.
 */
public final class LoopbackCluster {
    private static final String HOST = "127.0.0.1";
    private static final long TICK_MILLIS = 2;
    private static final long BOOT_MICROS = 1_000_000;
    private static final long HEARTBEAT_MICROS = 1_000_000;
    private static final long LEASE_MICROS = 10_000_000;
    private static final long CANCEL_MICROS = 35_000_000;
    private static final int MAX_TRANSACTION_OPS = 16;
    private static final int MAX_VALUE_BYTES = 32 * 1024;
    private static final int MAX_CONNECTIONS = 500;

    private final EventLoop loop = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory()).next();
    private final FakeClock clock = new FakeClock();
    private final List<Settings.Team> teams;
    private final ClusterInvariants invariants;
    private final FakeStore store;
    private final FakeCloud cloud;
    private final Map<String, FakeWorker> workers = new HashMap<>();
    private final Map<String, WorkerAddress> addresses = new HashMap<>();
    private final Deque<WorkerAddress> freeAddresses = new ArrayDeque<>();
    private final Map<String, Integer> apiPorts = new LinkedHashMap<>();
    private final Map<String, Integer> peerPorts = new LinkedHashMap<>();
    private final Map<String, Process> processes = new ConcurrentHashMap<>();
    private final Path directory;
    /** Ports of the store, one for each controller, so that a fault can hit the link of a single controller. */
    private final Map<String, Integer> storePorts = new LinkedHashMap<>();

    /** Ports of the cloud, one for each controller as well. */
    private final Map<String, Integer> cloudPorts = new LinkedHashMap<>();

    private final Map<String, PeerProxy> peerProxies = new LinkedHashMap<>();
    private final NetworkFaults faults;
    private final List<String> options;
    private long lastTickNanos = System.nanoTime();
    private volatile AssertionError failure;

    /** An address that workers listen on; its handler changes when another machine takes it over. */
    private static final class WorkerAddress {
        final String address;
        Server.Handler handler = (request, reply) -> reply.send(404, Map.of());

        WorkerAddress(String address) {
            this.address = address;
        }
    }

    /** Starts the fakes, but no controller yet; {@code options} are appended to the start command of each controller. */
    public LoopbackCluster(
            int controllers, int machines, List<Settings.Team> teams, Path directory, List<String> options)
            throws IOException, InterruptedException {
        this.teams = teams;
        this.directory = directory;
        this.options = options;
        faults = new NetworkFaults(clock);
        invariants = new ClusterInvariants(clock, teams, CANCEL_MICROS);
        store = new FakeStore(clock, MAX_TRANSACTION_OPS, MAX_VALUE_BYTES);
        cloud = new FakeCloud(clock, BOOT_MICROS, this::startWorker, this::stopWorker);
        cloud.capacity = machines;
        for (int i = 0; i < machines + machines / 2; i++) {
            WorkerAddress[] worker = new WorkerAddress[1];
            int port = serve((request, reply) -> worker[0].handler.handle(request, reply));
            worker[0] = new WorkerAddress(HOST + ":" + port);
            freeAddresses.add(worker[0]);
        }
        for (int i = 0; i < controllers; i++) {
            String name = "n" + i;
            apiPorts.put(name, DeployedProgram.freePort());
            peerPorts.put(name, DeployedProgram.freePort());
            storePorts.put(name, serve(faults.wrapHandler(name, NetworkFaults.STORE, store)));
            cloudPorts.put(name, serve(faults.wrapHandler(name, NetworkFaults.CLOUD, cloud)));
        }
        for (String from : apiPorts.keySet()) {
            for (String to : apiPorts.keySet()) {
                if (!from.equals(to)) {
                    peerProxies.put(
                            NetworkFaults.link(from, to),
                            new PeerProxy(loop, peerPorts.get(to), faults, NetworkFaults.link(from, to)));
                }
            }
        }
        // An interrupted test run must not leave controller processes behind.
        Runtime.getRuntime().addShutdownHook(new Thread(this::endProcesses));
        loop.scheduleAtFixedRate(this::tick, TICK_MILLIS, TICK_MILLIS, TimeUnit.MILLISECONDS);
    }

    private int serve(Server.Handler handler) throws IOException, InterruptedException {
        int port = DeployedProgram.freePort();
        Server.Limits limits = new Server.Limits(MAX_CONNECTIONS, MAX_CONNECTIONS, Long.MAX_VALUE, Long.MAX_VALUE / 2);
        Server.Handler recording = (request, reply) -> runAndRecordFailure(() -> handler.handle(request, reply));
        new Server(loop, recording, new EventLoopTimers(loop), limits, () -> {}).listen(HOST + ":" + port);
        return port;
    }

    private void tick() {
        long nowNanos = System.nanoTime();
        long elapsedMicros = (nowNanos - lastTickNanos) / 1_000;
        lastTickNanos += elapsedMicros * 1_000;
        runAndRecordFailure(() -> clock.pass(elapsedMicros));
        runAndRecordFailure(invariants::checkCancelled);
    }

    private void runAndRecordFailure(Runnable work) {
        try {
            work.run();
        } catch (AssertionError violation) {
            failure = failure == null ? violation : failure;
        } catch (RuntimeException unexpected) {
            failure = failure == null
                    ? new AssertionError("unexpected exception in a fake service", unexpected)
                    : failure;
        }
    }

    /** Throws the first recorded failure, if any. */
    public void throwFailure() {
        if (failure != null) {
            throw failure;
        }
    }

    /** Runs work on the event loop of the fakes and returns its result. */
    public <T> T callOnEventLoop(Supplier<T> work) throws Exception {
        return CompletableFuture.supplyAsync(work, loop).get(30, TimeUnit.SECONDS);
    }

    /** Runs work that is on the event loop already, and records its failure for {@link #throwFailure}. */
    public void runRecordingFailure(Runnable work) {
        runAndRecordFailure(work);
    }

    /** Runs work on the event loop without waiting for it, and records its failure for {@link #throwFailure}. */
    public void runOnEventLoop(Runnable work) {
        loop.execute(() -> runAndRecordFailure(work));
    }

    private void startWorker(FakeCloud.RentedMachine rented) {
        WorkerAddress address = freeAddresses.poll();
        if (address == null) {
            return;
        }
        Map<String, String> addressByName = new LinkedHashMap<>();
        apiPorts.forEach((name, port) -> addressByName.put(name, HOST + ":" + port));
        FakeWorker worker = new FakeWorker(
                clock,
                faults.wrapClient(rented.name(), new NettyHttpClient(loop, () -> 1), nameByAddress()),
                new ArrayList<>(addressByName.values()),
                addressByName,
                rented,
                address.address,
                invariants,
                HEARTBEAT_MICROS,
                LEASE_MICROS);
        address.handler = faults.wrapHandler(NetworkFaults.ANY_ENDPOINT, rented.name(), worker);
        addresses.put(rented.name(), address);
        workers.put(rented.name(), worker);
    }

    private Map<String, String> nameByAddress() {
        Map<String, String> names = new HashMap<>();
        apiPorts.forEach((name, port) -> names.put(HOST + ":" + port, name));
        return names;
    }

    /** The workers by machine name. */
    public Map<String, FakeWorker> workers() {
        return workers;
    }

    /** Stops the machine abruptly; the cloud still lists it as running. */
    public void powerOffMachine(String name) {
        workers.remove(name).kill();
        addresses.get(name).handler = (request, reply) -> {};
    }

    /** Replaces the machine's worker with a new one that has no tasks. */
    public void restartMachine(String name) {
        FakeWorker worker = workers.remove(name);
        worker.kill();
        freeAddresses.addFirst(addresses.remove(name));
        startWorker(worker.machine());
    }

    /** The faults injected into the links of this cluster. */
    public NetworkFaults faults() {
        return faults;
    }

    public FakeCloud cloud() {
        return cloud;
    }

    public FakeClock clock() {
        return clock;
    }

    /** An HTTP client on the event loop of the fakes. */
    public NettyHttpClient client() {
        return new NettyHttpClient(loop, () -> 4);
    }

    private void stopWorker(String name) {
        FakeWorker worker = workers.remove(name);
        if (worker != null) {
            worker.kill();
        }
        WorkerAddress address = addresses.remove(name);
        if (address != null) {
            address.handler = (request, reply) -> {};
            freeAddresses.add(address);
        }
    }

    // Controller processes

    /** The names of all controllers. */
    public List<String> names() {
        return List.copyOf(apiPorts.keySet());
    }

    /** The address of a controller's user API. */
    public String api(String name) {
        return HOST + ":" + apiPorts.get(name);
    }

    /** Starts the process of a controller. */
    public void start(String name) throws IOException, InterruptedException {
        for (String other : names()) {
            if (!other.equals(name)) {
                peerProxies.get(NetworkFaults.link(other, name)).open();
            }
        }
        List<String> command = DeployedProgram.command(argument -> argument);
        command.add(settingsFile(name).toString());
        command.addAll(options);
        processes.put(
                name,
                new ProcessBuilder(command)
                        .redirectErrorStream(true)
                        .redirectOutput(ProcessBuilder.Redirect.appendTo(
                                directory.resolve(name + ".log").toFile()))
                        .start());
    }

    /** Kills the process of a controller. */
    public void kill(String name) throws InterruptedException {
        processes.get(name).destroyForcibly().waitFor();
        for (String other : names()) {
            if (!other.equals(name)) {
                peerProxies.get(NetworkFaults.link(other, name)).close();
            }
        }
    }

    /** Whether the controller's process exists; a frozen process does. */
    public boolean isAlive(String name) {
        Process process = processes.get(name);
        return process != null && process.isAlive();
    }

    /** Suspends or resumes the process of a controller. */
    public void freeze(String name, boolean frozen) throws Exception {
        String signal = frozen ? "-STOP" : "-CONT";
        new ProcessBuilder("kill", signal, String.valueOf(processes.get(name).pid()))
                .start()
                .waitFor();
    }

    /** The leader according to the record in the store, or null. */
    public String leader() throws Exception {
        return callOnEventLoop(() -> {
            Map<String, Object> leader = store.value("leader");
            return leader == null ? null : (String) leader.get("name");
        });
    }

    /** Writes the settings file of a controller in the format of the deployment platform. */
    public Path settingsFile(String name) throws IOException {
        StringBuilder text = new StringBuilder();
        text.append("host_name = \"").append(name).append("\"\nsite = \"a\"\n");
        text.append("api_addr = \"").append(api(name)).append("\"\n");
        text.append("back = \"").append(HOST + ":" + peerPorts.get(name)).append("\"\n");
        peerPorts.forEach((other, port) -> {
            if (!other.equals(name)) {
                text.append("[[known]]\nhost_name = \"").append(other).append("\"\nsite = \"a\"\n");
                int proxyPort = peerProxies.get(NetworkFaults.link(name, other)).port();
                text.append("address = \"").append(HOST + ":" + proxyPort).append("\"\n");
            }
        });
        text.append("[endpoints]\ncloud = \"").append(HOST + ":" + cloudPorts.get(name));
        text.append("\"\nstate = \"").append(HOST + ":" + storePorts.get(name)).append("\"\n");
        text.append("[deployment]\nzones = [\"a\", \"b\"]\n");
        for (Settings.Team team : teams) {
            text.append("[[deployment.teams]]\nname = \"").append(team.name()).append("\"\n");
            text.append("cpus = ").append(team.cpus()).append("\ncpus_max = ").append(team.cpusMax());
            text.append("\ngpus = 0.0\ngpus_max = 0.0\n");
        }
        text.append(
                """
                [deployment.workers]
                report_s = 1.0
                lease_s = 10.0
                gang_wait_s = 40.0
                gang_peer_s = 4.0
                cancel_s = 35.0
                [deployment.state]
                rps = 2000.0
                write_rps = 500.0
                value_kb = 32.0
                txn_ops = 16
                [deployment.cloud]
                rps = 10.0
                list_lag_s = 2.0
                [deployment.quota]
                max_sockets = 500
                """);
        return Files.writeString(directory.resolve(name + ".toml"), text);
    }

    public FakeStore store() {
        return store;
    }

    public ClusterInvariants invariants() {
        return invariants;
    }

    private void endProcesses() {
        processes.values().forEach(Process::destroyForcibly);
    }

    /** Stops all processes and fakes. */
    public void close() throws InterruptedException {
        for (Process process : processes.values()) {
            process.destroyForcibly().waitFor();
        }
        for (PeerProxy proxy : peerProxies.values()) {
            proxy.close();
        }
        loop.parent().shutdownGracefully(0, 100, TimeUnit.MILLISECONDS).sync();
    }
}
