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
 * A small cluster on a fake clock: real controllers with a fake network, store, cloud and workers. It checks the
 * {@link ClusterInvariants} while it runs and fails a test that violates one.
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

    public SimulatedCluster(int nodes, int maxTransactionOps, int maxValueBytes, List<Settings.Team> teams) {
        this(nodes, maxTransactionOps, maxValueBytes, teams, List.of(), null);
    }

    public SimulatedCluster(int nodes, List<Settings.ServiceLevelObjective> objectives) {
        this(nodes, 16, 32 * 1024, List.of(new Settings.Team("core", 0, 0, 0, 0)), objectives, null);
    }

    /** Creates a cluster whose controllers take the team limits from {@code teamLimits}. */
    public SimulatedCluster(
            int nodes,
            int maxTransactionOps,
            int maxValueBytes,
            List<Settings.Team> teams,
            OperatorSettings.TeamLimitSource teamLimits) {
        this(nodes, maxTransactionOps, maxValueBytes, teams, List.of(), null, withTeamLimitSource(teamLimits));
    }

    /** Returns the default operator settings with another source of team limits. */
    public static OperatorSettings withTeamLimitSource(OperatorSettings.TeamLimitSource teamLimits) {
        OperatorSettings defaults = OperatorSettings.DEFAULT;
        return new OperatorSettings(
                defaults.leaderLeaseMicros(),
                defaults.scaleInDelayMicros(),
                defaults.warmPoolSize(),
                defaults.warmPoolRetentionMicros(),
                teamLimits);
    }

    /** Creates a cluster whose store has announced the limits {@code next}; {@link FakeStore#limit} applies them. */
    public SimulatedCluster(
            int nodes,
            int maxTransactionOps,
            int maxValueBytes,
            List<Settings.Team> teams,
            List<Settings.ServiceLevelObjective> objectives,
            Settings.UpcomingStoreLimits next) {
        this(nodes, maxTransactionOps, maxValueBytes, teams, objectives, next, OperatorSettings.DEFAULT);
    }

    private SimulatedCluster(
            int nodes,
            int maxTransactionOps,
            int maxValueBytes,
            List<Settings.Team> teams,
            List<Settings.ServiceLevelObjective> objectives,
            Settings.UpcomingStoreLimits next,
            OperatorSettings operatorSettings) {
        invariants = new ClusterInvariants(clock, teams, CANCEL_MICROS);
        starts = invariants.starts;
        jobs = invariants.jobs;
        runMicros = invariants.runMicros;
        store = new FakeStore(clock, maxTransactionOps, maxValueBytes);
        cloud = new FakeCloud(clock, 5_000_000, this::startWorker, this::stopWorker);
        network.host(STORE, store);
        network.host(CLOUD, cloud);
        network.onHeartbeatResponse(invariants::checkStartCommands);
        Settings.StoreLimits storeLimits = new Settings.StoreLimits(250, 50, maxValueBytes, maxTransactionOps, next);
        new RecordedQuotaInvariant(store, teams, storeLimits).enforce();
        controllers = new SimulatedControllers(nodes, clock, network, teams, objectives, storeLimits, operatorSettings);
        controllers.startAll();
        tick();
    }

    /** Creates a cluster and runs it long enough to elect a leader. */
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

    /** Drops the heartbeats between this controller and all others. */
    public void cutFromPeers(String name) {
        controllers.cutFromPeers(name);
    }

    /** Sets the operator settings of controllers that start from now on. */
    public void operatorSettings(OperatorSettings next) {
        controllers.operatorSettings(next);
    }

    public void startNode(String name) {
        controllers.start(name);
    }

    /** Pauses the process of a controller. The clock continues, and timers and messages wait until it resumes. */
    public void pauseNode(String name) {
        controllers.process(name).pause();
    }

    public void resumeNode(String name) {
        controllers.process(name).resume();
    }

    /** Stops the controller abruptly; its address becomes unreachable. */
    public void killNode(String name) {
        controllers.kill(name);
    }

    public void cutFromStore(String name) {
        network.cut(name, STORE);
    }

    public void healStoreLink(String name) {
        network.heal(name, STORE);
    }

    /** Starts or stops refusing the requests of this controller, and of no other, at the store. */
    public void refuseStore(String name, boolean refused) {
        network.refuse(name, STORE, refused);
    }

    public void slowStore(long micros) {
        network.setLatency(STORE, micros);
    }

    /** Drops the machine's heartbeats to all controllers, but not the commands that they send to it. */
    public void cutHeartbeats(String machine) {
        controllers.addressByName().values().forEach(address -> network.cut(machine, address));
    }

    /** Reverts {@link #cutHeartbeats} and {@link #cutResponsesAndCommands}. */
    public void healMachineLinks(String machine) {
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

    /** Drops heartbeat responses and commands to the machine; its heartbeats still arrive. */
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

    private void startWorker(FakeCloud.RentedMachine rented) {
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

    /** Replaces the machine's worker with a new one that has no tasks and numbers its heartbeats from 1 again. */
    public void restartMachine(String name) {
        FakeWorker worker = workers.remove(name);
        worker.kill();
        startWorker(worker.machine());
        workers.get(name).inheritCopies(worker);
    }

    private void stopWorker(String name) {
        FakeWorker worker = workers.remove(name);
        if (worker != null) {
            worker.kill();
            network.remove(FakeWorker.address(name));
        }
    }

    /** A response of the user API; status 0 stands for no response. */
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

    /** Submits a job and passes the response to {@code callback}, without waiting for it. */
    public void submitAsync(String node, Map<String, Object> job, Consumer<ApiResponse> callback) {
        String id = Json.text(job, "name_id");
        String before = invariants.lastReportedState(id);
        jobs.put(id, Json.objectOrEmpty(Json.bytes(job)));
        sendAsync(
                node, "POST", "/v1/jobs", Json.bytes(job), reply -> callback.accept(checkResponse(id, before, reply)));
    }

    /** Cancels a job without waiting for the response, which is checked when it arrives. */
    public void cancelAsync(String node, String id) {
        String before = invariants.lastReportedState(id);
        String path = "/v1/jobs/" + id + "/withdraw";
        sendAsync(node, "POST", path, new byte[0], response -> checkResponse(id, before, response));
    }

    /** Posts a body to a controller and ignores the response. */
    public void postAsync(String node, String path, Map<String, Object> body) {
        sendAsync(node, "POST", path, Json.bytes(body), response -> {});
    }

    /** Sends a request to a controller; a paused one handles it when it resumes. */
    private void sendAsync(String node, String method, String path, byte[] body, Consumer<ApiResponse> callback) {
        Controller controller = controllers.get(node);
        controllers.process(node).run(() -> handle(controller, method, path, body, callback));
    }

    private static void handle(
            Controller controller, String method, String path, byte[] body, Consumer<ApiResponse> callback) {
        controller
                .requestHandler()
                .handle(
                        new Server.Request(method, path, body),
                        (status, response, retryAfterSeconds) -> callback.accept(
                                new ApiResponse(status, Json.objectOrEmpty(Json.bytes(response)), retryAfterSeconds)));
    }

    /** Returns a store client that belongs to no controller. */
    public Store storeClient(String client) {
        return new Store(network.client(client), clock, STORE);
    }

    /** Polls a job without waiting; the response is checked against the last state reported before the request. */
    public void pollAsync(String node, String id) {
        String before = invariants.lastReportedState(id);
        handle(controllers.get(node), "GET", "/v1/jobs/" + id, new byte[0], response -> {
            checkResponse(id, before, response);
            pollResponses++;
        });
    }

    /** Number of responses to {@link #pollAsync}. */
    public int pollResponses() {
        return pollResponses;
    }

    /** Whether the task is done; see {@link ClusterInvariants#isTaskDone}. */
    public boolean isTaskDone(String id, int task) {
        return invariants.isTaskDone(id, task);
    }

    /** Adds a job that was accepted before the simulation started; see {@link ClusterInvariants#addExistingJob}. */
    public void addExistingJob(Map<String, Object> record, BitSet done) {
        invariants.addExistingJob(record, done);
    }

    private ApiResponse checkResponse(String id, String before, ApiResponse response) {
        return invariants.checkResponse(id, before, response);
    }

    /** Fails when a task of a cancelled job still runs after the time allowed for cancellation. */
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

    /** The invariants that this cluster checks. */
    public ClusterInvariants invariants() {
        return invariants;
    }

    /** Sends a request and advances the clock until the response, for five seconds at most. */
    public ApiResponse request(String node, String method, String path, byte[] body) {
        ApiResponse[] response = new ApiResponse[1];
        handle(controllers.get(node), method, path, body, received -> response[0] = received);
        for (int i = 0; i < 500 && response[0] == null; i++) {
            clock.pass(10_000);
        }
        return response[0] == null ? new ApiResponse(0, Map.of(), 0) : response[0];
    }

    /** Advances the clock until the job has this state or {@code seconds} are over, and returns whether it has it. */
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
