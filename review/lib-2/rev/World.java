package rev;

import java.io.File;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;

/** A deployment on loopback: controllers as processes of the deploy file, and stand-ins for everything else. */
final class World {
    private final Site site;
    private final Record record;
    private final Path directory;
    private final List<String> names = new ArrayList<>();
    private final Map<String, Integer> apiPorts = new HashMap<>();
    private final Map<String, Integer> backPorts = new HashMap<>();
    private final Map<String, Process> processes = new ConcurrentHashMap<>();
    private final Set<String> ended = ConcurrentHashMap.newKeySet();
    private final Map<String, Map<String, Object>> jobs = new ConcurrentHashMap<>();
    private final Map<String, Double> runSeconds = new ConcurrentHashMap<>();
    private final Map<String, Worker> workers = new ConcurrentHashMap<>();
    private final Map<String, String> present = new HashMap<>();
    private final Map<String, Set<String>> done = new ConcurrentHashMap<>();
    private final Map<String, Integer> starts = new ConcurrentHashMap<>();
    private final List<String> broken = new ArrayList<>();
    private final LoadBalancer balancer;
    private final boolean logsEachTask;
    private volatile boolean closing;
    final StateService state;
    final Cloud cloud;
    private final Map<String, Integer> statePorts = new HashMap<>();
    private final Map<String, Integer> cloudPorts = new HashMap<>();
    /** The faults of the links between a controller and the state service, the cloud or the workers. */
    volatile LinkFaults linkFaults = (node, what, request, real) -> real.handle(request);

    /** Handles a request on a link, for example by passing it on late. */
    interface LinkFaults {
        Http.Response handle(String node, String what, Http.Request request, Http.Handler real) throws Exception;
    }

    World(Site site, Record record, boolean logsEachTask, long firstLedger) throws Exception {
        this.site = site;
        this.record = record;
        this.logsEachTask = logsEachTask;
        this.directory = Files.createTempDirectory("review-2-");
        this.state = new StateService(
                record, site.rps(), site.writeRps(), site.valueKb(), site.operations(), firstLedger);
        this.cloud = new Cloud(record, site, 1_500, this::machineUp, this::machineGone);
        for (int i = 0; i < site.controllers(); i++) {
            String name = "forge-" + i;
            names.add(name);
            statePorts.put(name, serve(name, "state", state));
            cloudPorts.put(name, serve(name, "cloud", cloud));
            apiPorts.put(name, Http.freePort());
            backPorts.put(name, Http.freePort());
        }
        Runtime.getRuntime().addShutdownHook(new Thread(this::close));
        this.balancer = new LoadBalancer(this);
    }

    /** Serves a stand-in to one controller at a port of its own. */
    private int serve(String node, String what, Http.Handler handler) throws Exception {
        int port = Http.freePort();
        new Http.Server(port, request -> linkFaults.handle(node, what, request, handler));
        return port;
    }

    Site site() {
        return site;
    }

    Record record() {
        return record;
    }

    List<String> names() {
        return names;
    }

    String api(String name) {
        return Http.HOST + ":" + apiPorts.get(name);
    }

    LoadBalancer balancer() {
        return balancer;
    }

    // Controllers

    /** Starts a controller with the command of the deploy file; one that ends by itself is started again. */
    void start(String name) throws Exception {
        String run = Files.readAllLines(Path.of("deploy/service.toml")).stream()
                .filter(line -> line.startsWith("run = "))
                .findFirst()
                .orElseThrow();
        List<String> command = new ArrayList<>(
                List.of(run.substring(run.indexOf('"') + 1, run.lastIndexOf('"')).split(" ")));
        command.add(settings(name).toString());
        ProcessBuilder builder = new ProcessBuilder(command);
        builder.environment().put("LOG_LEVEL", System.getenv().getOrDefault("LOG_LEVEL", "info"));
        File log = directory.resolve(name + ".log").toFile();
        builder.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(log));
        Process process = builder.start();
        processes.put(name, process);
        record.line("%s: started, process %d", name, process.pid());
        Http.daemon("wait " + name, () -> {
            try {
                int code = process.waitFor();
                if (!closing && ended.add(name + process.pid()) && processes.get(name) == process) {
                    record.line("%s: ended by itself with exit code %d", name, code);
                    record.line("%s: last words: %s", name, lastLines(log));
                    byItself.merge(name, 1, Integer::sum);
                    StateService.pause(3_000);
                    if (!closing) {
                        start(name);
                    }
                }
            } catch (Exception interrupted) {
                throw new IllegalStateException(interrupted);
            }
        });
    }

    private final Map<String, Integer> byItself = new ConcurrentHashMap<>();

    /** How many controller processes have ended by themselves. */
    int endedByThemselves() {
        return byItself.values().stream().mapToInt(Integer::intValue).sum();
    }

    private static String lastLines(File log) throws Exception {
        List<String> lines = Files.readAllLines(log.toPath());
        return String.join(" | ", lines.subList(Math.max(0, lines.size() - 4), lines.size()));
    }

    void startAll() throws Exception {
        for (String name : names) {
            start(name);
        }
    }

    void kill(String name) throws Exception {
        Process process = processes.get(name);
        ended.add(name + process.pid());
        process.destroyForcibly().waitFor();
        record.line("%s: killed", name);
    }

    /** Suspends a controller's process, or lets it go on. */
    void suspend(String name, boolean suspended) throws Exception {
        new ProcessBuilder("kill", suspended ? "-STOP" : "-CONT", String.valueOf(processes.get(name).pid()))
                .start()
                .waitFor();
        record.line("%s: %s", name, suspended ? "suspended" : "goes on");
    }

    String leader() {
        String leader = state.value("leader");
        return leader == null ? null : (String) Json.object(leader).get("name");
    }

    /** Private memory of a controller's process in MB, or 0. */
    double privateMb(String name) {
        try {
            for (String line : Files.readAllLines(Path.of("/proc/" + processes.get(name).pid() + "/status"))) {
                if (line.startsWith("RssAnon:")) {
                    return Double.parseDouble(line.replaceAll("[^0-9]", "")) / 1024;
                }
            }
        } catch (Exception notThere) {
            return 0;
        }
        return 0;
    }

    private Path settings(String name) throws Exception {
        StringBuilder text = new StringBuilder();
        int index = names.indexOf(name);
        text.append("host_name = \"").append(name).append("\"\nsite = \"").append(zone(index)).append("\"\n");
        text.append("api_addr = \"").append(api(name)).append("\"\nback = \"").append(Http.HOST).append(':');
        text.append(backPorts.get(name)).append("\"\n");
        for (String other : names) {
            if (!other.equals(name)) {
                text.append("\n[[known]]\nhost_name = \"").append(other).append("\"\nsite = \"");
                text.append(zone(names.indexOf(other))).append("\"\naddress = \"").append(Http.HOST).append(':');
                text.append(backPorts.get(other)).append("\"\n");
            }
        }
        text.append("\n[endpoints]\ncloud = \"").append(Http.HOST).append(':').append(cloudPorts.get(name));
        text.append("\"\nstate = \"").append(Http.HOST).append(':').append(statePorts.get(name)).append("\"\n");
        text.append("\n[deployment]\ninitial_size = ").append(names.size()).append("\nzones = ");
        text.append(Json.write(site.zones())).append("\nclock_off_ms = ").append(site.clockOffMs()).append("\n");
        for (String team : site.teams()) {
            text.append("\n[[deployment.teams]]\nname = \"").append(team);
            text.append("\"\ncpus = 0.0\ncpus_max = 0.0\ngpus = 0.0\ngpus_max = 0.0\n");
        }
        text.append("\n[deployment.workers]\nreport_s = ").append(site.reportS()).append("\nlease_s = ");
        text.append(site.leaseS()).append("\ngang_wait_s = ").append(site.gangWaitS()).append("\ngang_peer_s = ");
        text.append(site.gangPeerS()).append("\ncancel_s = ").append(site.cancelS());
        text.append("\n\n[deployment.state]\nrps = ").append(site.rps()).append("\nwrite_rps = ");
        text.append(site.writeRps()).append("\nvalue_kb = ").append((double) site.valueKb()).append("\ntxn_ops = ");
        text.append(site.operations()).append("\n\n[deployment.cloud]\nrps = ").append(site.cloudRps());
        text.append("\nlist_lag_s = ").append(site.listLagS()).append("\n\n[deployment.quota]\ncores = ");
        text.append(site.cores()).append("\nmemory_mb = ").append(site.memoryMb()).append("\nmax_sockets = ");
        text.append(site.sockets()).append("\n");
        return Files.writeString(directory.resolve(name + ".toml"), text.toString());
    }

    private String zone(int index) {
        return site.zones().get((site.zones().size() - 1 - index % site.zones().size()));
    }

    // Machines and tasks

    private final Map<String, Cloud.Machine> machines = new ConcurrentHashMap<>();

    /** The machine that a task is on, or null. */
    Cloud.Machine machineOf(String bead) {
        synchronized (present) {
            String name = present.get(bead);
            return name == null ? null : machines.get(name);
        }
    }

    /** A machine that a task of the job is on, or null. */
    Cloud.Machine machineOfJob(String id) {
        synchronized (present) {
            for (Map.Entry<String, String> entry : present.entrySet()) {
                if (entry.getKey().startsWith(id + "/")) {
                    return machines.get(entry.getValue());
                }
            }
            return null;
        }
    }

    private void machineUp(Cloud.Machine machine) {
        machines.put(machine.name, machine);
        try {
            workers.put(machine.name, new Worker(this, machine));
        } catch (Exception failed) {
            throw new IllegalStateException(failed);
        }
    }

    private void machineGone(Cloud.Machine machine) {
        Worker worker = workers.remove(machine.name);
        if (worker != null) {
            worker.end();
        }
    }

    Map<String, Object> job(String id) {
        return jobs.get(id);
    }

    /** Makes a job known to the workers, which fetch its description from its user. */
    void upload(Map<String, Object> job, double seconds) {
        jobs.put((String) job.get("name_id"), job);
        runSeconds.put((String) job.get("name_id"), seconds);
    }

    double runSeconds(String bead) {
        return runSeconds.get(bead.substring(0, bead.lastIndexOf('/')));
    }

    private final Set<String> failing = ConcurrentHashMap.newKeySet();

    /** Makes a job one that was submitted with a mistake: its tasks fail on every machine. */
    void fails(String id) {
        failing.add(id);
    }

    private final Set<String> failingOnce = ConcurrentHashMap.newKeySet();

    /** Makes the first run of a task fail. */
    void failsOnce(String bead) {
        failingOnce.add(bead);
    }

    /** How a run of a task ends. */
    String end(String bead, Cloud.Machine machine) {
        if (failingOnce.remove(bead)) {
            return "error";
        }
        return failing.contains(bead.substring(0, bead.lastIndexOf('/'))) ? "error" : "done";
    }

    private final Map<String, Set<String>> gathering = new ConcurrentHashMap<>();

    /** A task of a gang has its image and waits for the others of its attempt. */
    void gathers(Map<String, Object> job, long strike, String bead) {
        gathering
                .computeIfAbsent(job.get("name_id") + "#" + strike, key -> ConcurrentHashMap.newKeySet())
                .add(bead);
    }

    /** Whether all tasks of the attempt have gathered. */
    boolean gangRuns(Map<String, Object> job, long strike) {
        return gathering.get(job.get("name_id") + "#" + strike).size() == Json.integer(job.get("beads"), 1);
    }

    void taskStarted(String bead, long strike, Cloud.Machine machine) {
        starts.merge(bead.substring(0, bead.lastIndexOf('/')), 1, Integer::sum);
        synchronized (present) {
            String elsewhere = present.put(bead, machine.name);
            if (elsewhere != null && !elsewhere.equals(machine.name)) {
                broken("ran_twice: " + bead + " starts on " + machine.name + " while it is on " + elsewhere);
            }
        }
        if (logsEachTask) {
            record.line("%s: %s strike %d is there", machine.name, bead, strike);
        }
    }

    void taskGone(String bead, long strike, String machine, String why) {
        Set<String> gang = gathering.get(bead.substring(0, bead.lastIndexOf('/')) + "#" + strike);
        if (gang != null && !why.equals("done")) {
            gang.remove(bead);
        }
        synchronized (present) {
            present.remove(bead, machine);
        }
        if (logsEachTask) {
            record.line("%s: %s strike %d is gone: %s", machine, bead, strike, why);
        }
    }

    void taskDone(String bead) {
        done.computeIfAbsent(bead.substring(0, bead.lastIndexOf('/')), id -> ConcurrentHashMap.newKeySet())
                .add(bead);
    }

    int doneTasks(String id) {
        return done.getOrDefault(id, Set.of()).size();
    }

    int startedTasks(String id) {
        return starts.getOrDefault(id, 0);
    }

    private int refusedReports;
    private int largestReport;
    private int endedLeases;
    private final Set<String> accepted = ConcurrentHashMap.newKeySet();

    synchronized void reported(int bytes, int status) {
        largestReport = Math.max(largestReport, bytes);
        refusedReports += status == 400 ? 1 : 0;
    }

    synchronized void leaseEnded() {
        endedLeases++;
    }

    synchronized int refusedReports() {
        return refusedReports;
    }

    synchronized int largestReport() {
        return largestReport;
    }

    synchronized int endedLeases() {
        return endedLeases;
    }

    void markAccepted(String id) {
        accepted.add(id);
    }

    boolean accepted(String id) {
        return accepted.contains(id);
    }

    int presentTasks() {
        synchronized (present) {
            return present.size();
        }
    }

    void broken(String what) {
        record.line("BROKEN %s", what);
        synchronized (broken) {
            broken.add(what);
        }
    }

    List<String> brokenRules() {
        synchronized (broken) {
            return new ArrayList<>(new HashSet<>(broken));
        }
    }

    /** Ends all processes and removes the temporary folder. */
    synchronized void close() {
        if (closing) {
            return;
        }
        closing = true;
        for (Process process : processes.values()) {
            process.destroyForcibly();
        }
        for (Process process : processes.values()) {
            try {
                process.waitFor(5, TimeUnit.SECONDS);
            } catch (InterruptedException interrupted) {
                return;
            }
        }
        File[] files = directory.toFile().listFiles();
        boolean keep = System.getenv("KEEP_LOGS") != null;
        if (keep) {
            System.err.println("logs: " + directory);
        }
        for (File file : files == null || keep ? new File[0] : files) {
            file.delete();
        }
        directory.toFile().delete();
    }

    /** A job of the common form. */
    static Map<String, Object> array(
            String id, String course, String crew, int beads, double cpus, double memGb, double expectedS) {
        Map<String, Object> job = new LinkedHashMap<>();
        job.put("name_id", id);
        job.put("course", course);
        job.put("crew", crew);
        job.put("shape", "array");
        job.put("rank", "idle");
        job.put("beads", beads);
        job.put("cpus", cpus);
        job.put("gpus", 0.0);
        job.put("mem_gb", memGb);
        job.put("blank", "img-01");
        job.put("size_gb", 0.5);
        job.put("rigs", null);
        job.put("yard", null);
        job.put("together", false);
        job.put("apart", false);
        job.put("loaners", true);
        job.put("expected_s", expectedS);
        job.put("tack_s", 0.0);
        job.put("quench_s", 0.0);
        job.put("due_s", null);
        return job;
    }

    static int pick(int bound) {
        return ThreadLocalRandom.current().nextInt(bound);
    }
}
