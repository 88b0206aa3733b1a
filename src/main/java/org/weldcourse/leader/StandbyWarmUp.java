package org.weldcourse.leader;

import java.util.Map;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.weldcourse.http.HttpClient;
import org.weldcourse.http.Json;
import org.weldcourse.http.Server.Handler;
import org.weldcourse.http.Server.Reply;
import org.weldcourse.http.Server.Request;
import org.weldcourse.runtime.Clock;
import org.weldcourse.runtime.ScheduledTask;
import org.weldcourse.runtime.Timers;
import org.weldcourse.settings.Settings;
import org.weldcourse.store.Store;

/**
 * JVM warm-up of a standby controller: runs the leader's code on a {@link SyntheticCluster}. Code that has not run yet
 * is many times slower, and after a failover all workers send heartbeats at once: on a small share of a core, a leader
 * without warm-up lost its lease before it had handled them. The warm-up runs in small steps that leave most of the
 * processor to user requests, sends nothing out of the process, and ends after a fixed number of rounds.
 */
public final class StandbyWarmUp extends ScheduledTask implements Handler {
    private static final int ROUNDS = 24;
    /** Passes per round. In each pass, every machine sends one heartbeat, and then an admission cycle runs. */
    private static final int PASSES = 3;

    private static final int STEPS_PER_PASS = SyntheticCluster.MACHINES + 1;
    private static final long MIN_PAUSE_MICROS = 20_000;
    private static final long RECHECK_MICROS = 1_000_000;

    private final Settings settings;
    private final Timers timers;
    private final BooleanSupplier hasSpareTime;
    private final Store discardingStore;
    private Consumer<byte[]> connection;
    private SyntheticCluster cluster;
    private int round;
    private int stepOfRound;

    /**
     * Creates a warm-up that runs once it is started.
     *
     * @param hasSpareTime whether the node has spare processor time for the next step; checked again later if not
     */
    public StandbyWarmUp(Settings settings, Clock clock, Timers timers, BooleanSupplier hasSpareTime) {
        super("standby warm-up", clock, timers);
        this.settings = settings;
        this.timers = timers;
        this.hasSpareTime = hasSpareTime;
        this.discardingStore = new Store(StandbyWarmUp::acknowledge, clock, "discarding store");
    }

    /** Acknowledges a store request as the real store would, but synchronously, and stores nothing. */
    private static void acknowledge(HttpClient.Call call, HttpClient.Callback callback) {
        byte[] body = call.body() == null ? new byte[0] : Json.bytes(call.body());
        callback.accept(new HttpClient.Response(200, body.length == 0 ? Map.of() : Json.of("ledger", 1L)));
    }

    /**
     * Sends the synthetic heartbeats through an HTTP server from now on, so that its code is warmed up too.
     *
     * @param requests receives the bytes of each HTTP request, as if from a connection, and passes them to a server
     *     whose handler is this warm-up
     */
    public void useConnection(Consumer<byte[]> requests) {
        connection = requests;
    }

    /** The cluster of the current round, or null before the first round. */
    SyntheticCluster cluster() {
        return cluster;
    }

    @Override
    protected int pauseFactor() {
        return 2;
    }

    @Override
    protected long step() {
        if (round == ROUNDS) {
            return -1;
        }
        if (!hasSpareTime.getAsBoolean()) {
            return RECHECK_MICROS;
        }
        runNextStep();
        return MIN_PAUSE_MICROS;
    }

    /**
     * Runs one step of a round: create a cluster, then all passes of heartbeats and a cycle, then restore the records.
     */
    private void runNextStep() {
        int step = stepOfRound++;
        if (step == 0) {
            cluster = new SyntheticCluster(settings, discardingStore, clock, timers);
        } else if (step <= PASSES * STEPS_PER_PASS) {
            int pass = (step - 1) / STEPS_PER_PASS;
            int machine = (step - 1) % STEPS_PER_PASS;
            if (machine < SyntheticCluster.MACHINES) {
                sendHeartbeat(machine, pass);
            } else {
                cluster.runCycle();
            }
        } else {
            stepOfRound = 0;
            round++;
            cluster.restoreRecords();
        }
    }

    private void sendHeartbeat(int machine, int pass) {
        byte[] body = cluster.heartbeatBody(machine, pass);
        if (connection == null) {
            handle(
                    SyntheticHeartbeats.request(body),
                    (status, responseBody, retryAfterSeconds) -> Json.bytes(responseBody));
        } else {
            connection.accept(SyntheticHeartbeats.requestBytes(body));
        }
    }

    @Override
    public void handle(Request request, Reply reply) {
        cluster.handleHeartbeat(request, reply);
    }
}
