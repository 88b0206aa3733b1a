package org.weldcourse.leader;

import java.util.Map;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.weldcourse.http.Caller;
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
 * Warm-up of a standby controller: runs the leader's code on a made-up cluster. A new leader's first heartbeats and
 * cycles would else be the first that its process ever did: code that was never run is many times as slow, just when
 * all workers come at once after a failover, and on a small share of a core such a leader lost its lease before it was
 * done. So a {@link SyntheticCluster} is planned, sent heartbeats and recorded here, in small steps that leave most of
 * the processor to the node's users. Nothing of it leaves the process, and it ends after some rounds.
 */
public final class StandbyWarmUp extends ScheduledTask implements Handler {
    private static final int ROUNDS = 24;
    /** In each round all machines send this many heartbeats; a cycle follows each time. */
    private static final int PASSES = 3;

    private static final int STEPS_PER_PASS = SyntheticCluster.MACHINES + 1;
    private static final long LEAST_PAUSE_MICROS = 20_000;
    private static final long ASK_AGAIN_MICROS = 1_000_000;

    private final Settings settings;
    private final Timers timers;
    private final BooleanSupplier hasSpareTime;
    private final Store discardingStore;
    private Consumer<byte[]> connection;
    private SyntheticCluster cluster;
    private int round;
    private int stepOfRound;

    /**
     * A warm-up that begins when it is started.
     *
     * @param hasSpareTime whether the node has time for the next step; asked again later while it has not
     */
    public StandbyWarmUp(Settings settings, Clock clock, Timers timers, BooleanSupplier hasSpareTime) {
        super("standby warm-up", clock, timers);
        this.settings = settings;
        this.timers = timers;
        this.hasSpareTime = hasSpareTime;
        this.discardingStore = new Store(StandbyWarmUp::acknowledge, clock, "nowhere");
    }

    /** Answers as the real store would, in the same call, and keeps nothing. */
    private static void acknowledge(Caller.Call call, Caller.Done done) {
        byte[] body = call.body() == null ? new byte[0] : Json.bytes(call.body());
        done.accept(new Caller.Answer(200, body.length == 0 ? Map.of() : Json.of("ledger", 1L)));
    }

    /**
     * From now on the made-up heartbeats take the way of real ones.
     *
     * @param requests takes the bytes of each HTTP request as if a connection had carried them; it leads to a server
     *     whose handler is this warm-up
     */
    public void useConnection(Consumer<byte[]> requests) {
        connection = requests;
    }

    /** The cluster of the current round, or null before the first. */
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
            return ASK_AGAIN_MICROS;
        }
        runNextStep();
        return LEAST_PAUSE_MICROS;
    }

    /** A round is a new cluster, passes of heartbeats with a cycle after each, and the reading back of the records. */
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
            cluster.readBackRecords();
        }
    }

    private void sendHeartbeat(int machine, int pass) {
        byte[] body = cluster.heartbeatBody(machine, pass);
        if (connection == null) {
            handle(SyntheticHeartbeats.request(body), (status, answer, retryAfterSeconds) -> Json.bytes(answer));
        } else {
            connection.accept(SyntheticHeartbeats.requestBytes(body));
        }
    }

    @Override
    public void handle(Request request, Reply reply) {
        cluster.handleHeartbeat(request, reply);
    }
}
