package org.weldcourse.simulation;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.weldcourse.http.HttpClient;
import org.weldcourse.http.Json;
import org.weldcourse.http.Server;

/** Fake worker on one machine: sends heartbeats, tracks its lease and executes commands with a {@link FakeTaskRunner}. */
public final class FakeWorker implements Server.Handler {
    private static final long HEARTBEAT_TIMEOUT_MICROS = 4_000_000;

    private final FakeClock clock;
    private final HttpClient client;
    private final List<String> controllers;
    private final Map<String, String> addressByName;
    private final FakeCloud.RentedMachine machine;
    private final String address;
    private final TaskBehavior behavior;
    private final FakeTaskRunner tasks;
    private final long heartbeatMicros;
    private final long leaseMicros;
    private final List<Map<String, Object>> heartbeats = new ArrayList<>();
    private final List<HandledResponse> handledResponses = new ArrayList<>();
    private final List<Server.Request> handledCommands = new ArrayList<>();
    private long incarnation = 1;
    private long sequence;
    private long fencingToken;
    private int directCommands;
    private long lastAnsweredHeartbeatMicros;
    private int target;
    private boolean alive = true;
    private boolean frozen;
    private long frozenSinceMicros;
    private final List<Runnable> deferredWork = new ArrayList<>();
    private boolean failsTasks;
    private int failedTasks;
    private long preemptionMicros = -1;
    private boolean inFlight;
    private long lastSentMicros = -1_000_000;

    public FakeWorker(
            FakeClock clock,
            HttpClient client,
            List<String> controllers,
            Map<String, String> addressByName,
            FakeCloud.RentedMachine machine,
            String address,
            TaskBehavior behavior,
            long heartbeatMicros,
            long leaseMicros) {
        this.clock = clock;
        this.client = client;
        this.controllers = controllers;
        this.addressByName = addressByName;
        this.machine = machine;
        this.address = address;
        this.behavior = behavior;
        this.tasks = new FakeTaskRunner(this, clock, behavior);
        this.heartbeatMicros = heartbeatMicros;
        this.leaseMicros = leaseMicros;
        this.lastAnsweredHeartbeatMicros = clock.nowMicros();
        tick();
    }

    public static String address(String machine) {
        return "worker-" + machine + ":9000";
    }

    public FakeCloud.RentedMachine machine() {
        return machine;
    }

    public long fencingToken() {
        return fencingToken;
    }

    /** Tasks on the machine that have not exited, including those that still pull their image. */
    public List<String> presentTasks() {
        return tasks.active();
    }

    /** The runner of the tasks on this machine. */
    FakeTaskRunner tasks() {
        return tasks;
    }

    public long lastHeartbeatMicros() {
        return lastSentMicros;
    }

    /** Makes all tasks that start from now on fail at once, or lets them run. */
    public void failTasks(boolean isFaulty) {
        failsTasks = isFaulty;
    }

    /** Returns whether a task that starts now fails, and counts it if so. */
    boolean failsNextTask() {
        failedTasks += failsTasks ? 1 : 0;
        return failsTasks;
    }

    /** Number of tasks that failed because of {@link #failTasks}. */
    public int failedTasks() {
        return failedTasks;
    }

    /** All heartbeats sent so far, so that tests can deliver them again later. */
    public List<Map<String, Object>> heartbeats() {
        return heartbeats;
    }

    public int listedTasks() {
        return tasks.count();
    }

    public void announcePreemption(long micros) {
        preemptionMicros = clock.nowMicros() + micros;
        sendHeartbeat();
    }

    public boolean isFrozen() {
        return frozen;
    }

    /** Whether the machine has been frozen for at least {@code micros} without interruption. */
    public boolean isFrozenFor(long micros) {
        return frozen && clock.nowMicros() - frozenSinceMicros >= micros;
    }

    /** Freezes or resumes the machine. Its tasks, timers and incoming messages wait while it is frozen. */
    public void freeze(boolean isFrozen) {
        if (isFrozen && !frozen) {
            frozenSinceMicros = clock.nowMicros();
        }
        frozen = isFrozen;
        if (frozen) {
            behavior.machineFrozen(this);
        } else {
            killTasksIfLeaseExpired();
            List<Runnable> deferred = new ArrayList<>(deferredWork);
            deferredWork.clear();
            deferred.forEach(Runnable::run);
        }
    }

    /** Runs the work now or, on a frozen machine, when it resumes. */
    void runWhenNotFrozen(Runnable work) {
        if (frozen) {
            deferredWork.add(work);
        } else {
            work.run();
        }
    }

    /** Kills all tasks and starts a new incarnation when no heartbeat sent within the lease was answered. */
    private void killTasksIfLeaseExpired() {
        if (clock.nowMicros() - lastAnsweredHeartbeatMicros > leaseMicros) {
            tasks.dropAll();
            incarnation++;
            lastAnsweredHeartbeatMicros = clock.nowMicros();
        }
    }

    public void kill() {
        alive = false;
        tasks.dropAll();
    }

    private void tick() {
        if (!alive) {
            return;
        }
        if (!frozen) {
            killTasksIfLeaseExpired();
            if (clock.nowMicros() - lastSentMicros >= heartbeatMicros) {
                sendHeartbeat();
            }
        }
        clock.after(100_000, this::tick);
    }

    /** Sends a heartbeat after a change at once, but not within half a second of the previous heartbeat. */
    void scheduleHeartbeat() {
        clock.after(Math.max(0, lastSentMicros + 500_000 - clock.nowMicros()), this::sendHeartbeat);
    }

    private void sendHeartbeat() {
        if (!alive || frozen || inFlight) {
            return;
        }
        inFlight = true;
        lastSentMicros = clock.nowMicros();
        long sentMicros = clock.nowMicros();
        long sentIncarnation = incarnation;
        Map<String, Object> body = heartbeat();
        heartbeats.add(body);
        client.call(
                new HttpClient.Call(controllers.get(target), "POST", "/checkin", body, HEARTBEAT_TIMEOUT_MICROS),
                response -> runWhenNotFrozen(() -> {
                    inFlight = false;
                    if (!alive || sentIncarnation != incarnation) {
                        return;
                    }
                    // Drops a response that arrived while the machine was frozen and is handled after the timeout.
                    boolean inTime = clock.nowMicros() - sentMicros <= HEARTBEAT_TIMEOUT_MICROS;
                    if (inTime && response.status() == 421) {
                        String leader = addressByName.get(Json.text(response.body(), "foreman"));
                        target = leader == null || leader.equals(controllers.get(target))
                                ? (target + 1) % controllers.size()
                                : controllers.indexOf(leader);
                        clock.after(200_000, this::sendHeartbeat);
                    } else if (inTime && response.status() == 200) {
                        handleHeartbeatResponse(response.body(), sentMicros);
                    } else {
                        target = (target + 1) % controllers.size();
                        clock.after(1_000_000, this::sendHeartbeat);
                    }
                }));
    }

    /** A heartbeat response that the worker has handled. */
    private record HandledResponse(Map<String, Object> body, long sentMicros, long incarnation) {}

    /**
     * Handles copies of all heartbeat responses and direct commands again that this worker has ever handled. It drops what
     * the protocol lets it drop: responses that are older than their timeout, belong to an earlier incarnation or carry an
     * older token.
     */
    void receiveCopies() {
        for (HandledResponse copy : List.copyOf(handledResponses)) {
            runWhenNotFrozen(() -> handleCopy(copy));
        }
        for (Server.Request copy : List.copyOf(handledCommands)) {
            runWhenNotFrozen(() -> executeCommands(copy, (status, body, retryAfterSeconds) -> {}));
        }
    }

    private void handleCopy(HandledResponse copy) {
        boolean inTime = clock.nowMicros() - copy.sentMicros <= HEARTBEAT_TIMEOUT_MICROS;
        boolean isCurrent = copy.incarnation == incarnation && Json.integer(copy.body, "torch", 0) >= fencingToken;
        if (alive && inTime && isCurrent) {
            tasks.execute(Json.list(copy.body.get("orders")));
        }
    }

    /** Also repeats what was sent to the machine's previous worker. */
    void inheritCopies(FakeWorker previous) {
        handledResponses.addAll(previous.handledResponses);
        handledCommands.addAll(previous.handledCommands);
    }

    private void handleHeartbeatResponse(Map<String, Object> body, long sentMicros) {
        handledResponses.add(new HandledResponse(body, sentMicros, incarnation));
        long receivedToken = Json.integer(body, "torch", 0);
        if (receivedToken < fencingToken) {
            return;
        }
        if (receivedToken > fencingToken) {
            fencingToken = receivedToken;
            scheduleHeartbeat();
        }
        lastAnsweredHeartbeatMicros = sentMicros;
        tasks.execute(Json.list(body.get("orders")));
    }

    /** Number of command messages that controllers sent directly and that were executed. */
    public int directCommands() {
        return directCommands;
    }

    private Map<String, Object> heartbeat() {
        return Json.of(
                "forge",
                machine.name(),
                "addr",
                address,
                "rig",
                machine.type(),
                "yard",
                machine.zone(),
                "loaners",
                machine.spot(),
                "shift",
                incarnation,
                "stitch",
                ++sequence,
                "torch",
                fencingToken,
                "recall_s",
                preemptionMicros < 0 ? null : (Object) ((preemptionMicros - clock.nowMicros()) / 1e6),
                "beads",
                tasks.statuses());
    }

    @Override
    public void handle(Server.Request request, Server.Reply reply) {
        runWhenNotFrozen(() -> handleCommands(request, reply));
    }

    private void handleCommands(Server.Request request, Server.Reply reply) {
        handledCommands.add(request);
        executeCommands(request, reply);
    }

    private void executeCommands(Server.Request request, Server.Reply reply) {
        Map<String, Object> body = Json.objectOrEmpty(request.body());
        if (!alive) {
            return;
        }
        if (Json.integer(body, "torch", 0) < fencingToken || Json.integer(body, "shift", 0) != incarnation) {
            reply.send(409, heartbeat());
            return;
        }
        fencingToken = Json.integer(body, "torch", 0);
        directCommands++;
        tasks.execute(Json.list(body.get("orders")));
        reply.send(200, heartbeat());
    }
}
