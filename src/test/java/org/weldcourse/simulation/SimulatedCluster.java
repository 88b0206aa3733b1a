package org.weldcourse.simulation;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import org.weldcourse.app.Controller;
import org.weldcourse.http.Json;
import org.weldcourse.http.Server;
import org.weldcourse.peers.PeerStatus;
import org.weldcourse.settings.Settings;
import org.weldcourse.settings.Tuning;
import org.weldcourse.store.Store;

/**
 * A small cluster on a fake clock: controllers of ours, everything else scripted. It watches the rules while
 * it runs and fails the test that breaks one.
 */
public final class SimulatedCluster implements FakeWorker.Tasks {
    public static final long REPORT_MICROS = 1_000_000;
    public static final long LEASE_MICROS = 10_000_000;
    public static final long CANCEL_MICROS = 35_000_000;
    public static final long STATE_LEASE_MICROS = 4_000_000;
    private static final long BEAT_MICROS = 400_000;
    private static final String STATE = "state:1";
    private static final String CLOUD = "cloud:1";

    public final FakeTime time = new FakeTime();
    public final FakeNet net = new FakeNet(time);
    public final FakeState state;
    public final FakeCloud cloud;
    public final Map<String, FakeWorker> workers = new LinkedHashMap<>();
    public final Map<String, Integer> starts = new HashMap<>();
    public final Map<String, Map<String, Object>> jobs = new HashMap<>();
    public final Map<String, Long> runMicros = new HashMap<>();
    private final Map<String, FakeWorker> running = new HashMap<>();
    private final Map<String, Long> cancelledMicros = new HashMap<>();
    private final Set<String> completed = new HashSet<>();
    /** The latest that any node told of a job. */
    private final Map<String, String> told = new HashMap<>();

    private int startsAfterCancellation;
    private Tuning tuning;
    private int processes;
    private BiConsumer<String, Integer> onStart = (task, attempt) -> {};
    private int answers;
    private final Map<String, Controller> controllers = new LinkedHashMap<>();
    private final Map<String, PausableProcess> stills = new HashMap<>();
    private final Set<String> fromPeers = new HashSet<>();
    private final Map<String, String> addressByName = new LinkedHashMap<>();
    private final List<Settings.Team> teams;
    private final List<Settings.Objective> objectives;
    private final int txnOps;
    private final int valueBytes;
    private final Settings.NextState next;

    public SimulatedCluster(int nodes) {
        this(
                nodes,
                16,
                32 * 1024,
                List.of(new Settings.Team("core", 0, 0, 0, 0), new Settings.Team("capped", 0, 8, 0, 0)));
    }

    public SimulatedCluster(int nodes, int txnOps, int valueBytes, List<Settings.Team> teams) {
        this(nodes, txnOps, valueBytes, teams, List.of(), null);
    }

    public SimulatedCluster(int nodes, List<Settings.Objective> objectives) {
        this(nodes, 16, 32 * 1024, List.of(new Settings.Team("core", 0, 0, 0, 0)), objectives, null);
    }

    /** A world whose controllers take team limits from there. */
    public SimulatedCluster(
            int nodes, int txnOps, int valueBytes, List<Settings.Team> teams, Tuning.TeamLimits teamLimits) {
        this(nodes, txnOps, valueBytes, teams, List.of(), null, withTeamLimits(teamLimits));
    }

    /** Operators' settings that differ from the defaults in where team limits come from. */
    public static Tuning withTeamLimits(Tuning.TeamLimits teamLimits) {
        Tuning defaults = Tuning.DEFAULT;
        return new Tuning(
                defaults.stateLeaseMicros(),
                defaults.idleHoldMicros(),
                defaults.warmMachines(),
                defaults.warmHoldMicros(),
                teamLimits);
    }

    /** A world whose state service may lower its limits to {@code next}; see {@link FakeState#limit}. */
    public SimulatedCluster(
            int nodes,
            int txnOps,
            int valueBytes,
            List<Settings.Team> teams,
            List<Settings.Objective> objectives,
            Settings.NextState next) {
        this(nodes, txnOps, valueBytes, teams, objectives, next, Tuning.DEFAULT);
    }

    private SimulatedCluster(
            int nodes,
            int txnOps,
            int valueBytes,
            List<Settings.Team> teams,
            List<Settings.Objective> objectives,
            Settings.NextState next,
            Tuning tuning) {
        this.tuning = tuning;
        this.next = next;
        this.objectives = objectives;
        this.txnOps = txnOps;
        this.valueBytes = valueBytes;
        this.teams = teams;
        state = new FakeState(time, txnOps, valueBytes);
        cloud = new FakeCloud(time, 5_000_000, this::machineUp, this::machineGone);
        net.host(STATE, state);
        net.host(CLOUD, cloud);
        for (int i = 0; i < nodes; i++) {
            addressByName.put("n" + i, "n" + i + ":80");
        }
        addressByName.keySet().forEach(this::startNode);
        beat();
    }

    /** Controllers tell one another how they are, as far as they reach one another. */
    private void beat() {
        for (Map.Entry<String, Controller> from : new ArrayList<>(controllers.entrySet())) {
            for (Map.Entry<String, Controller> to : new ArrayList<>(controllers.entrySet())) {
                if (from != to
                        && !fromPeers.contains(from.getKey())
                        && !fromPeers.contains(to.getKey())
                        && !stills.get(from.getKey()).isStill()) {
                    PeerStatus status = from.getValue().peers().own();
                    stills.get(to.getKey()).run(() -> to.getValue().peers().heard(status));
                }
            }
        }
        checkCancelled();
        time.after(BEAT_MICROS, this::beat);
    }

    /** The node hears no other controller, and none hears it. */
    public void cutFromPeers(String name) {
        fromPeers.add(name);
    }

    /** The operators' settings of processes that start from here on. */
    public void tuning(Tuning next) {
        tuning = next;
    }

    public void startNode(String name) {
        PausableProcess still = new PausableProcess(time);
        Controller controller = new Controller(
                settings(name), tuning, still.caller(net.caller(name)), time, still, String.valueOf(++processes));
        stills.put(name, still);
        controllers.put(name, controller);
        net.host(addressByName.get(name), (request, reply) -> still.run(() -> controller.handle(request, reply)));
        controller.start();
    }

    /** The process stands still while its clock runs on; whatever comes for it meanwhile waits. */
    public void freezeNode(String name) {
        stills.get(name).begin();
    }

    public void thawNode(String name) {
        stills.get(name).end();
    }

    /** The process is gone from one moment to the next: nobody hears of it again. */
    public void killNode(String name) {
        controllers.remove(name).stop();
        net.remove(addressByName.get(name));
    }

    public void cutFromState(String name) {
        net.cut(name, STATE);
    }

    public void healToState(String name) {
        net.heal(name, STATE);
    }

    /** The state service refuses this node alone. */
    public void refuseState(String name, boolean refused) {
        net.refuse(name, STATE, refused);
    }

    public void slowState(long micros) {
        net.slow(STATE, micros);
    }

    /** The machine reaches no controller, while direct commands reach it. */
    public void mute(String machine) {
        addressByName.values().forEach(address -> net.cut(machine, address));
    }

    /** Lifts what {@link #mute} and {@link #deafen} did. */
    public void heal(String machine) {
        net.loseAnswers(machine, false);
        addressByName.forEach((node, address) -> {
            net.heal(machine, address);
            net.heal(node, FakeWorker.address(machine));
        });
    }

    public void healPeers(String name) {
        fromPeers.remove(name);
    }

    public List<String> nodes() {
        return new ArrayList<>(addressByName.keySet());
    }

    public List<String> alive() {
        return new ArrayList<>(controllers.keySet());
    }

    public void cutFromWorkers(String name) {
        workers.keySet().forEach(machine -> net.cut(machine, addressByName.get(name)));
    }

    /** The machine's reports arrive, but neither answers nor commands reach it. */
    public void deafen(String machine) {
        net.loseAnswers(machine, true);
        addressByName.keySet().forEach(node -> net.cut(node, FakeWorker.address(machine)));
    }

    public void loseAnswers(String name, boolean lose) {
        net.loseAnswers(name, lose);
    }

    public String leader() {
        String leader = null;
        for (Map.Entry<String, Controller> entry : controllers.entrySet()) {
            if (entry.getValue().leads()) {
                leader = entry.getKey();
            }
        }
        return leader;
    }

    public Controller controller(String name) {
        return controllers.get(name);
    }

    public Settings settings(String name) {
        List<Settings.Peer> peers = new ArrayList<>();
        addressByName.forEach((other, address) -> {
            if (!other.equals(name)) {
                peers.add(new Settings.Peer(other, "a", other + ":81"));
            }
        });
        return new Settings(
                name,
                "a",
                addressByName.get(name),
                name + ":81",
                peers,
                CLOUD,
                STATE,
                List.of("a", "b"),
                teams,
                objectives,
                new Settings.Workers(REPORT_MICROS, LEASE_MICROS, 40_000_000, 4_000_000, CANCEL_MICROS),
                new Settings.State(250, 50, valueBytes, txnOps, next),
                new Settings.Cloud(3, 8_000_000),
                500);
    }

    private void machineUp(FakeCloud.Rented rented) {
        FakeWorker worker = new FakeWorker(
                time,
                net.caller(rented.name()),
                new ArrayList<>(addressByName.values()),
                addressByName,
                rented,
                this,
                REPORT_MICROS,
                LEASE_MICROS);
        workers.put(rented.name(), worker);
        net.host(FakeWorker.address(rented.name()), worker);
    }

    /** The machine is back from one moment to the next, empty, and counts its reports from one again. */
    public void restartMachine(String name) {
        FakeWorker worker = workers.remove(name);
        worker.die();
        machineUp(worker.machine());
    }

    private void machineGone(String name) {
        FakeWorker worker = workers.remove(name);
        if (worker != null) {
            worker.die();
            net.remove(FakeWorker.address(name));
        }
    }

    // Users

    /** What a user was answered. */
    public record Answer(int status, Map<String, Object> body, int retryAfterSeconds) {
        public String state() {
            return Json.text(body, "heat");
        }
    }

    public static Map<String, Object> jobBody(String id, Object... changes) {
        Map<String, Object> job = Json.of(
                "name_id",
                id,
                "course",
                "any",
                "crew",
                "core",
                "shape",
                "array",
                "rank",
                "normal",
                "beads",
                4,
                "cpus",
                2.0,
                "gpus",
                0.0,
                "mem_gb",
                4.0,
                "blank",
                "img",
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
                10.0,
                "tack_s",
                0.0,
                "quench_s",
                0.0,
                "due_s",
                null);
        job.putAll(Json.of(changes));
        return job;
    }

    public Answer submit(String node, Map<String, Object> job) {
        String id = Json.text(job, "name_id");
        jobs.put(id, Json.objectOrEmpty(Json.bytes(job)));
        return heed(id, told.get(id), ask(node, "POST", "/v1/jobs", Json.bytes(job)));
    }

    public Answer poll(String node, String id) {
        return heed(id, told.get(id), ask(node, "GET", "/v1/jobs/" + id, new byte[0]));
    }

    public Answer withdraw(String node, String id) {
        return heed(id, told.get(id), ask(node, "POST", "/v1/jobs/" + id + "/withdraw", new byte[0]));
    }

    /** Submits without waiting for the answer. */
    public void submitSoon(String node, Map<String, Object> job, Consumer<Answer> then) {
        String id = Json.text(job, "name_id");
        String before = told.get(id);
        jobs.put(id, Json.objectOrEmpty(Json.bytes(job)));
        Server.Request request = new Server.Request("POST", "/v1/jobs", Json.bytes(job));
        Controller controller = controllers.get(node);
        Server.Reply reply = (status, body, retryAfterSeconds) -> then.accept(
                heed(id, before, new Answer(status, Json.objectOrEmpty(Json.bytes(body)), retryAfterSeconds)));
        stills.get(node).run(() -> controller.handle(request, reply));
    }

    /** A client of the state service that is no controller. */
    public Store storeOf(String client) {
        return new Store(net.caller(client), time, STATE);
    }

    /** Told of each task that starts, after the rules were checked. */
    public void onStart(BiConsumer<String, Integer> listener) {
        onStart = listener;
    }

    /** Asks without waiting; what it hears is held against what was told before it asked. */
    public void pollSoon(String node, String id) {
        String before = told.get(id);
        controllers
                .get(node)
                .handle(new Server.Request("GET", "/v1/jobs/" + id, new byte[0]), (status, body, retryAfterSeconds) -> {
                    heed(id, before, new Answer(status, Json.objectOrEmpty(Json.bytes(body)), retryAfterSeconds));
                    answers++;
                });
    }

    /** How many questions that were asked without waiting have been answered. */
    public int answers() {
        return answers;
    }

    /** Fails when an answer is older than what was told before its question, or is not true. */
    private Answer heed(String id, String before, Answer answer) {
        if (answer.status() != 200 && answer.status() != 201) {
            if (before != null && (answer.status() == 404 || answer.status() == 400 || answer.status() == 422)) {
                throw new AssertionError("forgotten: " + id + " after " + before + ": " + answer);
            }
            return answer;
        }
        if (!jobs.containsKey(id)) {
            throw new AssertionError("invented: " + id);
        }
        boolean over = "done".equals(answer.state()) || "cancelled".equals(answer.state());
        if (before != null && !before.equals("open") && !before.equals(answer.state())) {
            throw new AssertionError("went_back: " + id + " from " + before + ": " + answer);
        }
        if ("done".equals(answer.state())) {
            checkDone(id);
        }
        if ("cancelled".equals(answer.state())) {
            cancelledMicros.putIfAbsent(id, time.nowMicros());
        }
        if (over || !told.containsKey(id)) {
            told.put(id, over ? answer.state() : "open");
        }
        return answer;
    }

    private void checkDone(String id) {
        for (int task = 0; task < Json.integer(jobs.get(id), "beads", 0); task++) {
            if (!isOver(id, task)) {
                throw new AssertionError("not_done: " + id + "/" + task);
            }
        }
    }

    /** Whether the task is done; all tasks of a gang are with whichever of them is the first. */
    public boolean isOver(String id, int task) {
        return isGang(id)
                ? completed.stream().anyMatch(done -> done.startsWith(id + "/"))
                : completed.contains(id + "/" + task);
    }

    /** A job that was accepted, and partly done, before this world began: its record holds the user's words. */
    public void adopt(Map<String, Object> record, BitSet done) {
        String id = Json.text(record, "name_id");
        jobs.put(id, record);
        told.put(id, "open");
        done.stream().forEach(task -> completed.add(id + "/" + task));
    }

    /** Asks a node and lets time pass until it answers, for five seconds at most; status 0: no answer. */
    public Answer ask(String node, String method, String path, byte[] body) {
        Answer[] answer = new Answer[1];
        controllers
                .get(node)
                .handle(
                        new Server.Request(method, path, body),
                        (status, object, retryAfterSeconds) -> answer[0] =
                                new Answer(status, Json.objectOrEmpty(Json.bytes(object)), retryAfterSeconds));
        for (int i = 0; i < 500 && answer[0] == null; i++) {
            time.pass(10_000);
        }
        return answer[0] == null ? new Answer(0, Map.of(), 0) : answer[0];
    }

    /** Lets time pass until the job has this state, and returns whether it came to that. */
    public boolean reaches(String node, String id, String heat, double seconds) {
        for (int i = 0; i < seconds * 2; i++) {
            if (heat.equals(poll(node, id).state())) {
                return true;
            }
            time.pass(500_000);
        }
        return false;
    }

    /** Fails when a task of a cancelled job is still somewhere after the time that the rules allow. */
    public void checkCancelled() {
        cancelledMicros.forEach((id, at) -> {
            for (String task : running.keySet()) {
                if (task.startsWith(id + "/") && time.nowMicros() > at + CANCEL_MICROS) {
                    throw new AssertionError("ran_cancelled: " + task);
                }
            }
        });
    }

    public FakeWorker whereIs(String task) {
        return running.get(task);
    }

    public int startsAfterCancellation() {
        return startsAfterCancellation;
    }

    public boolean hasCompleted(String task) {
        return completed.contains(task);
    }

    public int runningTasks() {
        return running.size();
    }

    // The rules, as tasks come and go

    @Override
    public long runMicros(String task) {
        String id = task.substring(0, task.indexOf('/'));
        return runMicros.getOrDefault(task, runMicros.getOrDefault(id, 10_000_000L));
    }

    @Override
    public void started(FakeWorker worker, String task, int attempt) {
        String id = task.substring(0, task.indexOf('/'));
        if (running.containsKey(task)) {
            throw new AssertionError("ran_twice: " + task);
        }
        Long cancelled = cancelledMicros.get(id);
        if (cancelled != null && time.nowMicros() > cancelled + CANCEL_MICROS) {
            throw new AssertionError("ran_cancelled: " + task);
        }
        startsAfterCancellation += cancelled == null ? 0 : 1;
        Map<String, Object> job = jobs.get(id);
        if (job == null) {
            throw new AssertionError("a task of no job: " + task);
        }
        checkPlace(job, id, worker);
        running.put(task, worker);
        starts.merge(task, 1, Integer::sum);
        checkQuota(Json.text(job, "crew"));
        onStart.accept(task, attempt);
    }

    private void checkPlace(Map<String, Object> job, String id, FakeWorker worker) {
        FakeCloud.Rented at = worker.machine();
        boolean wrong = job.get("rigs") != null && !Json.list(job.get("rigs")).contains(at.type())
                || job.get("yard") != null && !job.get("yard").equals(at.zone())
                || !Json.flag(job, "loaners") && at.spot();
        Set<String> zones = new HashSet<>();
        int sameZone = 1;
        for (Map.Entry<String, FakeWorker> entry : running.entrySet()) {
            if (entry.getKey().startsWith(id + "/")) {
                String zone = entry.getValue().machine().zone();
                zones.add(zone);
                sameZone += zone.equals(at.zone()) ? 1 : 0;
            }
        }
        zones.add(at.zone());
        long tasks = Json.integer(job, "beads", 0);
        wrong |= Json.flag(job, "together") && zones.size() > 1;
        wrong |= Json.flag(job, "apart") && sameZone > (tasks + 1) / 2;
        if (wrong) {
            throw new AssertionError("wrong_place: " + id + " on " + at);
        }
    }

    private void checkQuota(String crew) {
        double used = 0;
        for (String task : running.keySet()) {
            Map<String, Object> job = jobs.get(task.substring(0, task.indexOf('/')));
            if (crew.equals(Json.text(job, "crew"))) {
                used += Json.decimal(job, "cpus", 0);
            }
        }
        for (Settings.Team team : teams) {
            if (team.name().equals(crew) && used > team.cpusMax() + 1e-9) {
                throw new AssertionError(
                        "quota: " + crew + " uses " + used + " with " + new TreeSet<>(running.keySet()));
            }
        }
    }

    @Override
    public void ended(FakeWorker worker, String task) {
        running.remove(task, worker);
    }

    @Override
    public void completed(String task) {
        completed.add(task);
        String id = task.substring(0, task.indexOf('/'));
        if (isGang(id)) {
            for (Map.Entry<String, FakeWorker> mate : new ArrayList<>(running.entrySet())) {
                if (mate.getKey().startsWith(id + "/")) {
                    mate.getValue().doneWithGang(mate.getKey());
                }
            }
        }
    }

    private boolean isGang(String id) {
        return "ensemble".equals(jobs.get(id).get("shape"));
    }

    /** The tasks of a gang complete together: none does while one of them is not there, or its machine hangs. */
    @Override
    public boolean mayComplete(String task) {
        String id = task.substring(0, task.indexOf('/'));
        if (!isGang(id)) {
            return true;
        }
        for (int mate = 0; mate < Json.integer(jobs.get(id), "beads", 0); mate++) {
            FakeWorker worker = running.get(id + "/" + mate);
            if (worker == null || worker.isFrozen()) {
                return false;
            }
        }
        return true;
    }
}
