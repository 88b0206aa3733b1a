package org.weldcourse.simulation;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.weldcourse.app.Controller;
import org.weldcourse.http.Json;
import org.weldcourse.http.Server;
import org.weldcourse.settings.OperatorSettings;
import org.weldcourse.settings.Settings;
import org.weldcourse.store.Store;

/**
 * A small cluster on a fake clock: controllers of ours, everything else scripted. It watches the rules while
 * it runs and fails the test that breaks one.
 */
public final class SimulatedCluster {
    public static final long HEARTBEAT_MICROS = 1_000_000;
    public static final long LEASE_MICROS = 10_000_000;
    public static final long CANCEL_MICROS = 35_000_000;
    public static final long LEADER_LEASE_MICROS = 4_000_000;
    private static final long TICK_MICROS = 400_000;
    static final String STORE = "state:1";
    static final String CLOUD = "cloud:1";

    public final FakeClock clock = new FakeClock();
    private final ClusterInvariants invariants;
    public final Map<String, Integer> starts;
    public final Map<String, Map<String, Object>> jobs;
    public final Map<String, Long> runMicros;
    public final FakeNetwork network = new FakeNetwork(clock);
    public final FakeStore store;
    public final FakeCloud cloud;
    public final Map<String, FakeWorker> workers = new LinkedHashMap<>();

    private int pollResponses;
    private final SimulatedControllers controllers;

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

    public SimulatedCluster(int nodes, List<Settings.ServiceLevelObjective> objectives) {
        this(nodes, 16, 32 * 1024, List.of(new Settings.Team("core", 0, 0, 0, 0)), objectives, null);
    }

    /** A cluster whose controllers take team limits from there. */
    public SimulatedCluster(
            int nodes,
            int txnOps,
            int valueBytes,
            List<Settings.Team> teams,
            OperatorSettings.TeamLimitSource teamLimits) {
        this(nodes, txnOps, valueBytes, teams, List.of(), null, withTeamLimitSource(teamLimits));
    }

    /** Operators' settings that differ from the defaults in where team limits come from. */
    public static OperatorSettings withTeamLimitSource(OperatorSettings.TeamLimitSource teamLimits) {
        OperatorSettings defaults = OperatorSettings.DEFAULT;
        return new OperatorSettings(
                defaults.leaderLeaseMicros(),
                defaults.scaleInDelayMicros(),
                defaults.warmPoolSize(),
                defaults.warmPoolRetentionMicros(),
                teamLimits);
    }

    /** A cluster whose state service may lower its limits to {@code next}; see {@link FakeStore#limit}. */
    public SimulatedCluster(
            int nodes,
            int txnOps,
            int valueBytes,
            List<Settings.Team> teams,
            List<Settings.ServiceLevelObjective> objectives,
            Settings.UpcomingStoreLimits next) {
        this(nodes, txnOps, valueBytes, teams, objectives, next, OperatorSettings.DEFAULT);
    }

    private SimulatedCluster(
            int nodes,
            int txnOps,
            int valueBytes,
            List<Settings.Team> teams,
            List<Settings.ServiceLevelObjective> objectives,
            Settings.UpcomingStoreLimits next,
            OperatorSettings operatorSettings) {
        invariants = new ClusterInvariants(clock, teams, CANCEL_MICROS);
        starts = invariants.starts;
        jobs = invariants.jobs;
        runMicros = invariants.runMicros;
        store = new FakeStore(clock, txnOps, valueBytes);
        cloud = new FakeCloud(clock, 5_000_000, this::machineUp, this::machineGone);
        network.host(STORE, store);
        network.host(CLOUD, cloud);
        Settings.StoreLimits storeLimits = new Settings.StoreLimits(250, 50, valueBytes, txnOps, next);
        controllers = new SimulatedControllers(nodes, clock, network, teams, objectives, storeLimits, operatorSettings);
        controllers.startAll();
        tick();
    }

    /** A cluster that has run for long enough to have a leader. */
    public static SimulatedCluster settled(int nodes) {
        SimulatedCluster cluster = new SimulatedCluster(nodes);
        cluster.clock.passSeconds(2);
        return cluster;
    }

    private void tick() {
        controllers.exchangeStatus();
        checkCancelled();
        controllers.checkStarts();
        clock.after(TICK_MICROS, this::tick);
    }

    /** The node hears no other controller, and none hears it. */
    public void cutFromPeers(String name) {
        controllers.cutFromPeers(name);
    }

    /** The operators' settings of processes that start from here on. */
    public void operatorSettings(OperatorSettings next) {
        controllers.operatorSettings(next);
    }

    public void startNode(String name) {
        controllers.start(name);
    }

    /** The process stands still while its clock runs on; whatever comes for it meanwhile waits. */
    public void pauseNode(String name) {
        controllers.process(name).pause();
    }

    public void resumeNode(String name) {
        controllers.process(name).resume();
    }

    /** The process is gone from one moment to the next: nobody hears of it again. */
    public void killNode(String name) {
        controllers.kill(name);
    }

    public void cutFromStore(String name) {
        network.cut(name, STORE);
    }

    public void healStoreLink(String name) {
        network.heal(name, STORE);
    }

    /** The state service refuses this node alone. */
    public void refuseStore(String name, boolean refused) {
        network.refuse(name, STORE, refused);
    }

    public void slowStore(long micros) {
        network.setLatency(STORE, micros);
    }

    /** The machine reaches no controller, while direct commands reach it. */
    public void cutHeartbeats(String machine) {
        controllers.addressByName().values().forEach(address -> network.cut(machine, address));
    }

    /** Lifts what {@link #cutHeartbeats} and {@link #cutResponsesAndCommands} did. */
    public void heal(String machine) {
        network.loseResponses(machine, false);
        controllers.addressByName().forEach((node, address) -> {
            network.heal(machine, address);
            network.heal(node, FakeWorker.address(machine));
        });
    }

    public void healPeerLinks(String name) {
        controllers.healPeerLinks(name);
    }

    public List<String> nodes() {
        return new ArrayList<>(controllers.addressByName().keySet());
    }

    public List<String> alive() {
        return controllers.alive();
    }

    public void cutFromWorkers(String name) {
        workers.keySet()
                .forEach(machine ->
                        network.cut(machine, controllers.addressByName().get(name)));
    }

    /** The machine's heartbeats arrive, but neither answers nor commands reach it. */
    public void cutResponsesAndCommands(String machine) {
        network.loseResponses(machine, true);
        controllers.addressByName().keySet().forEach(node -> network.cut(node, FakeWorker.address(machine)));
    }

    public void loseResponses(String name, boolean lose) {
        network.loseResponses(name, lose);
    }

    public String leader() {
        return controllers.leader();
    }

    public Controller controller(String name) {
        return controllers.get(name);
    }

    public Settings settings(String name) {
        return controllers.settings(name);
    }

    private void machineUp(FakeCloud.RentedMachine rented) {
        FakeWorker worker = new FakeWorker(
                clock,
                network.client(rented.name()),
                new ArrayList<>(controllers.addressByName().values()),
                controllers.addressByName(),
                rented,
                FakeWorker.address(rented.name()),
                invariants,
                HEARTBEAT_MICROS,
                LEASE_MICROS);
        workers.put(rented.name(), worker);
        network.host(FakeWorker.address(rented.name()), worker);
    }

    /** The machine is back from one moment to the next, empty, and counts its heartbeats from one again. */
    public void restartMachine(String name) {
        FakeWorker worker = workers.remove(name);
        worker.kill();
        machineUp(worker.machine());
    }

    private void machineGone(String name) {
        FakeWorker worker = workers.remove(name);
        if (worker != null) {
            worker.kill();
            network.remove(FakeWorker.address(name));
        }
    }

    // Users

    /** What a user was answered. */
    public record ApiResponse(int status, Map<String, Object> body, int retryAfterSeconds) {
        public String state() {
            return Json.text(body, "heat");
        }
    }

    public ApiResponse submit(String node, Map<String, Object> job) {
        String id = Json.text(job, "name_id");
        jobs.put(id, Json.objectOrEmpty(Json.bytes(job)));
        return checkResponse(id, invariants.lastReportedState(id), request(node, "POST", "/v1/jobs", Json.bytes(job)));
    }

    public ApiResponse poll(String node, String id) {
        return checkResponse(id, invariants.lastReportedState(id), request(node, "GET", "/v1/jobs/" + id, new byte[0]));
    }

    public ApiResponse cancel(String node, String id) {
        return checkResponse(
                id,
                invariants.lastReportedState(id),
                request(node, "POST", "/v1/jobs/" + id + "/withdraw", new byte[0]));
    }

    /** Submits without waiting for the answer. */
    public void submitAsync(String node, Map<String, Object> job, Consumer<ApiResponse> then) {
        String id = Json.text(job, "name_id");
        String before = invariants.lastReportedState(id);
        jobs.put(id, Json.objectOrEmpty(Json.bytes(job)));
        sendAsync(node, "POST", "/v1/jobs", Json.bytes(job), answer -> then.accept(checkResponse(id, before, answer)));
    }

    /** Asks for the cancellation of a job without waiting for the answer. */
    public void cancelAsync(String node, String id) {
        String before = invariants.lastReportedState(id);
        String path = "/v1/jobs/" + id + "/withdraw";
        sendAsync(node, "POST", path, new byte[0], answer -> checkResponse(id, before, answer));
    }

    /** Sends something to a node without heeding the answer. */
    public void postAsync(String node, String path, Map<String, Object> body) {
        sendAsync(node, "POST", path, Json.bytes(body), answer -> {});
    }

    /** A paused process gets it when it goes on. */
    private void sendAsync(String node, String method, String path, byte[] body, Consumer<ApiResponse> then) {
        Controller controller = controllers.get(node);
        controllers.process(node).run(() -> handle(controller, method, path, body, then));
    }

    private static void handle(
            Controller controller, String method, String path, byte[] body, Consumer<ApiResponse> then) {
        controller
                .requestHandler()
                .handle(
                        new Server.Request(method, path, body),
                        (status, answer, retryAfterSeconds) -> then.accept(
                                new ApiResponse(status, Json.objectOrEmpty(Json.bytes(answer)), retryAfterSeconds)));
    }

    /** How often a record of what may still be on machines was written. */
    public int outstandingWrites() {
        return store.puts("outstanding/");
    }

    /** A client of the state service that is no controller. */
    public Store storeClient(String client) {
        return new Store(network.client(client), clock, STORE);
    }

    /** Asks without waiting; what it hears is held against what was told before it asked. */
    public void pollAsync(String node, String id) {
        String before = invariants.lastReportedState(id);
        handle(controllers.get(node), "GET", "/v1/jobs/" + id, new byte[0], answer -> {
            checkResponse(id, before, answer);
            pollResponses++;
        });
    }

    /** How many questions that were asked without waiting have been answered. */
    public int pollResponses() {
        return pollResponses;
    }

    /** Whether the task is done; all tasks of a gang are with whichever of them is the first. */
    public boolean isTaskDone(String id, int task) {
        return invariants.isTaskDone(id, task);
    }

    /** A job that was accepted, and partly done, before this world began: its record holds the user's words. */
    public void addExistingJob(Map<String, Object> record, BitSet done) {
        invariants.addExistingJob(record, done);
    }

    private ApiResponse checkResponse(String id, String before, ApiResponse answer) {
        return invariants.checkResponse(id, before, answer);
    }

    /** Fails when a task of a cancelled job is still somewhere after the time that the rules allow. */
    public void checkCancelled() {
        invariants.checkCancelled();
    }

    public FakeWorker workerOf(String task) {
        return invariants.workerOf(task);
    }

    public int startsAfterCancellation() {
        return invariants.startsAfterCancellation();
    }

    public boolean hasCompleted(String task) {
        return invariants.hasCompleted(task);
    }

    public int runningTasks() {
        return invariants.runningTasks();
    }

    /** The rules that this world watches. */
    public ClusterInvariants invariants() {
        return invariants;
    }

    /** Asks a node and lets time pass until it answers, for five seconds at most; status 0: no answer. */
    public ApiResponse request(String node, String method, String path, byte[] body) {
        ApiResponse[] answer = new ApiResponse[1];
        handle(controllers.get(node), method, path, body, got -> answer[0] = got);
        for (int i = 0; i < 500 && answer[0] == null; i++) {
            clock.pass(10_000);
        }
        return answer[0] == null ? new ApiResponse(0, Map.of(), 0) : answer[0];
    }

    /** Lets time pass until the job has this state, and returns whether it came to that. */
    public boolean reaches(String node, String id, String state, double seconds) {
        for (int i = 0; i < seconds * 2; i++) {
            if (state.equals(poll(node, id).state())) {
                return true;
            }
            clock.pass(500_000);
        }
        return false;
    }
}
