package review;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/** A small deployment on loopback: controllers as processes of the deploy file, and the stand-ins around them. */
class World {
    final Record record;
    final Path folder;
    final Map<String, String> apiByNode = new LinkedHashMap<>();
    private final Map<String, String> backByNode = new LinkedHashMap<>();
    private final Map<String, String> zoneByNode = new LinkedHashMap<>();
    private final Map<String, Process> processes = new ConcurrentHashMap<>();
    final Map<String, Job> jobs = new ConcurrentHashMap<>();
    final Map<String, Worker> workers = new ConcurrentHashMap<>();
    /** Tasks that have completed on some machine. */
    final java.util.Set<String> completed = ConcurrentHashMap.newKeySet();
    final Store store;
    final Cloud cloud;
    final List<String> teams;
    final double reportS;
    final double leaseS;
    final double cancelS;
    private boolean closed;

    /** The limits of the state service, as in the settings. */
    record StateLimits(double rps, double writeRps, int valueKb, int txnOps) {}

    private final StateLimits limits;

    World(Path caseFolder, List<Cloud.Type> types, List<String> controllerZones, List<String> teams, double reportS, double leaseS, double cancelS)
            throws Exception {
        this(caseFolder, types, controllerZones, teams, reportS, leaseS, cancelS, new StateLimits(250, 50, 32, 16));
    }

    World(
            Path caseFolder,
            List<Cloud.Type> types,
            List<String> controllerZones,
            List<String> teams,
            double reportS,
            double leaseS,
            double cancelS,
            StateLimits limits)
            throws Exception {
        this.limits = limits;
        this.record = new Record(caseFolder.resolve("record.txt"));
        this.folder = Files.createTempDirectory("weldcourse-review-");
        this.teams = teams;
        this.reportS = reportS;
        this.leaseS = leaseS;
        this.cancelS = cancelS;
        for (int i = 0; i < controllerZones.size(); i++) {
            String node = "forge-" + i;
            apiByNode.put(node, Http.HOST + ":" + freePort());
            backByNode.put(node, Http.HOST + ":" + freePort());
            zoneByNode.put(node, controllerZones.get(i));
        }
        store = new Store(
                new ArrayList<>(apiByNode.keySet()), limits.rps, limits.writeRps, limits.valueKb, limits.txnOps);
        cloud = new Cloud(types, 3, record, this::boot);
        Runtime.getRuntime().addShutdownHook(new Thread(this::close));
    }

    private static final java.util.Set<Integer> USED = new java.util.HashSet<>();
    private static final java.util.Random PORTS = new java.util.Random();

    /** A port that is free now, below those that the system gives to outgoing connections. */
    private static int freePort() {
        while (true) {
            int port = 18_000 + PORTS.nextInt(14_000);
            try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getByName(Http.HOST))) {
                if (USED.add(port)) {
                    return port;
                }
            } catch (IOException taken) {
                // The next one may be free.
            }
        }
    }

    private void boot(Cloud.Machine machine) {
        try {
            machine.worker = new Worker(this, machine);
            workers.put(machine.name, machine.worker);
        } catch (Exception failed) {
            throw new IllegalStateException(failed);
        }
    }

    /** The tasks of a job on machines now, by zone. */
    Map<String, Integer> presentByZone(String job) {
        Map<String, Integer> zones = new LinkedHashMap<>();
        for (Worker worker : workers.values()) {
            for (Worker.Task task : worker.present()) {
                if (task.job.id.equals(job)) {
                    zones.merge(worker.machine.zone, 1, Integer::sum);
                }
            }
        }
        return zones;
    }

    // Events, for the checks of a case

    void onRun(Worker worker, Worker.Task task, double sent) {
        record.line("%s: run %s strike %d (answer to the report sent at %.3f)", worker.machine.name, task.bead, task.strike, sent);
    }

    void onStart(Worker worker, Worker.Task task) {
        record.line("%s in %s: %s strike %d starts", worker.machine.name, worker.machine.zone, task.bead, task.strike);
    }

    void onEnd(Worker worker, Worker.Task task, String why) {
        record.line("%s: %s strike %d ends: %s", worker.machine.name, task.bead, task.strike, why);
    }

    void onReportFailed(Worker worker, String node, Http.Answer answer, int bytes) {
        record.line("%s: report of %d bytes to %s answered with %d %s", worker.machine.name, bytes, node, answer.status(), Json.text(answer.body()));
    }

    // Controllers

    /** Starts a controller with the command of the deploy file. */
    void start(String node) throws IOException {
        if (closed) {
            return;
        }
        List<String> command = new ArrayList<>();
        for (String line : Files.readAllLines(Path.of("deploy/service.toml"))) {
            if (line.startsWith("run")) {
                String run = line.substring(line.indexOf('"') + 1, line.lastIndexOf('"'));
                command.addAll(List.of(run.trim().split("\\s+")));
            }
        }
        command.add(settings(node).toString());
        ProcessBuilder builder = new ProcessBuilder(command);
        builder.environment().put("LOG_LEVEL", System.getenv().getOrDefault("CASE_LOG", "info"));
        Process process = builder.redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.appendTo(folder.resolve(node + ".log").toFile()))
                .start();
        processes.put(node, process);
        record.line("%s started", node);
    }

    void startAll() throws IOException {
        for (String node : apiByNode.keySet()) {
            start(node);
        }
    }

    void kill(String node) throws InterruptedException {
        processes.get(node).destroyForcibly().waitFor();
        record.line("%s killed", node);
    }

    String leader() {
        return Json.string(Json.map(store.value("leader")), "name");
    }

    private Path settings(String node) throws IOException {
        StringBuilder text = new StringBuilder();
        text.append("host_name = \"" + node + "\"\nsite = \"" + zoneByNode.get(node) + "\"\n");
        text.append("api_addr = \"" + apiByNode.get(node) + "\"\nback = \"" + backByNode.get(node) + "\"\n");
        for (String other : apiByNode.keySet()) {
            if (!other.equals(node)) {
                text.append("[[known]]\nhost_name = \"" + other + "\"\nsite = \"" + zoneByNode.get(other)
                        + "\"\naddress = \"" + backByNode.get(other) + "\"\n");
            }
        }
        text.append("[endpoints]\ncloud = \"" + Http.HOST + ":" + cloud.port + "\"\nstate = \"" + Http.HOST + ":"
                + store.ports.get(node) + "\"\n");
        text.append("[deployment]\ninitial_size = " + apiByNode.size() + "\nzones = [");
        text.append(String.join(
                ", ",
                zoneByNode.values().stream().distinct().sorted().map(zone -> '"' + zone + '"').toList()));
        text.append("]\nclock_off_ms = 1000.0\n");
        for (String team : teams) {
            text.append("[[deployment.teams]]\nname = \"" + team + "\"\ncpus = 0.0\ncpus_max = 0.0"
                    + "\ngpus = 0.0\ngpus_max = 0.0\n");
        }
        text.append("[deployment.workers]\nreport_s = " + reportS + "\nlease_s = " + leaseS
                + "\ngang_wait_s = 40.0\ngang_peer_s = 4.0\ncancel_s = " + cancelS + "\n");
        text.append("[deployment.state]\nrps = " + limits.rps + "\nwrite_rps = " + limits.writeRps + "\nvalue_kb = "
                + limits.valueKb + ".0\ntxn_ops = " + limits.txnOps + "\n");
        text.append("[deployment.cloud]\nrps = 3.0\nlist_lag_s = 8.0\n");
        text.append("[deployment.quota]\ncores = 0.136\nmemory_mb = 148.0\nmax_sockets = 500\n");
        return Files.writeString(folder.resolve(node + ".toml"), text);
    }

    /** Waits until there is a leader and some node takes requests. */
    boolean awaitReady(double seconds) throws InterruptedException {
        double until = Record.now() + seconds;
        while (Record.now() < until) {
            if (leader() != null && !ready().isEmpty()) {
                return true;
            }
            Thread.sleep(100);
        }
        return false;
    }

    /** The nodes that answer 200 to the load balancer. */
    List<String> ready() {
        List<String> ready = new ArrayList<>();
        for (String node : apiByNode.keySet()) {
            if (Http.send(apiByNode.get(node), "GET", "/ready", null, 1).status() == 200) {
                ready.add(node);
            }
        }
        return ready;
    }

    // Users

    /** Submits a job as a user does, with retries for 60 s; returns whether it was accepted. */
    boolean submit(Job job) throws InterruptedException {
        jobs.put(job.id, job);
        double until = Record.now() + 60;
        while (Record.now() < until) {
            for (String node : ready()) {
                Http.Answer answer =
                        Http.send(apiByNode.get(node), "POST", "/v1/jobs", Json.text(job.body()), 5);
                record.line("user: submit %s to %s: %d %s", job.id, node, answer.status(), Json.text(answer.body()));
                if (answer.status() == 200 || answer.status() == 201) {
                    return true;
                }
                if (answer.status() == 400 || answer.status() == 422) {
                    return false;
                }
            }
            Thread.sleep(1000);
        }
        return false;
    }

    Http.Answer poll(String job) {
        Http.Answer last = new Http.Answer(0, Map.of(), null);
        for (String node : ready()) {
            last = Http.send(apiByNode.get(node), "GET", "/v1/jobs/" + job, null, 2);
            if (last.status() == 200 || last.status() == 404) {
                break;
            }
        }
        record.line("user: poll %s: %d %s", job, last.status(), Json.text(last.body()));
        return last;
    }

    synchronized void close() {
        closed = true;
        processes.values().forEach(process -> {
            process.destroyForcibly();
            try {
                process.waitFor();
            } catch (InterruptedException interrupted) {
                Thread.currentThread().interrupt();
            }
        });
        if (System.getenv("CASE_KEEP") != null) {
            System.err.println("logs in " + folder);
            return;
        }
        try (var files = Files.list(folder)) {
            for (Path file : files.toList()) {
                Files.deleteIfExists(file);
            }
            Files.deleteIfExists(folder);
        } catch (IOException ignored) {
            // The folder is gone already.
        }
    }
}
