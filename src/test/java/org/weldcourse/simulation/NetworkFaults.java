package org.weldcourse.simulation;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import org.weldcourse.http.HttpClient;
import org.weldcourse.http.Json;
import org.weldcourse.http.Server;

/**
 * Injects faults into the links between endpoints: partitions in one direction, refusals, latency, lost responses, late
 * execution and duplicates. Counts each fault that takes effect. Not thread-safe.
 */
public final class NetworkFaults {
    public static final String STORE = "state";
    public static final String CLOUD = "cloud";
    /** Stands for any endpoint, where a message does not tell which one sends or receives it. */
    public static final String ANY_ENDPOINT = "anybody";

    private static final long MIN_LATE_MICROS = 2_000_000;
    private static final int LATE_SPREAD_MICROS = 10_000_000;

    private final FakeClock clock;
    private final Set<String> cuts = new HashSet<>();
    private final Set<String> refusals = new HashSet<>();
    private final Map<String, Long> latencyMicros = new HashMap<>();
    private final Map<String, Double> lostResponseShares = new HashMap<>();
    private final Map<String, Double> lateShares = new HashMap<>();
    private final Map<String, Double> duplicateShares = new HashMap<>();
    private final Map<Effect, Integer> effects = new TreeMap<>();
    private final List<Runnable> onHeal = new ArrayList<>();
    private Random random = new Random(0);

    /** The effect of a fault on a message. */
    public enum Effect {
        REQUEST_CUT,
        ANSWER_CUT,
        REFUSED,
        SLOWED,
        ANSWER_LOST,
        CARRIED_OUT_LATE,
        REPEATED,
        PEERS_CUT
    }

    NetworkFaults(FakeClock clock) {
        this.clock = clock;
    }

    /** Returns the name of the link from one endpoint to another. */
    public static String link(String from, String to) {
        return from + ">" + to;
    }

    /** Restarts the random decisions from this seed. */
    public void seed(long seed) {
        random = new Random(seed);
    }

    /** Cuts the link in this direction: HTTP messages are lost, and bytes between peers wait until the link is healed. */
    public void cut(String from, String to) {
        cuts.add(link(from, to));
    }

    /** Heals the link in this direction. */
    public void heal(String from, String to) {
        cuts.remove(link(from, to));
        List.copyOf(onHeal).forEach(Runnable::run);
    }

    boolean isCut(String link) {
        return cuts.contains(link);
    }

    void onHeal(Runnable work) {
        onHeal.add(work);
    }

    /** Starts or stops refusing the requests on this link with status 503. */
    public void refuse(String from, String to, boolean refused) {
        if (refused) {
            refusals.add(link(from, to));
        } else {
            refusals.remove(link(from, to));
        }
    }

    /** Sets the additional latency of requests on this link. */
    public void setLatency(String from, String to, long micros) {
        latencyMicros.put(link(from, to), micros);
    }

    /** Drops the response to this share of the requests. */
    public void loseResponses(String from, String to, double share) {
        lostResponseShares.put(link(from, to), share);
    }

    /** Executes this share of the requests seconds later, without a response. */
    public void executeLate(String from, String to, double share) {
        lateShares.put(link(from, to), share);
    }

    /** Sends a copy of this share of the requests some seconds later. */
    public void duplicate(String from, String to, double share) {
        duplicateShares.put(link(from, to), share);
    }

    /** Removes all faults from all links. */
    public void healAll() {
        cuts.clear();
        refusals.clear();
        latencyMicros.clear();
        lostResponseShares.clear();
        lateShares.clear();
        duplicateShares.clear();
        List.copyOf(onHeal).forEach(Runnable::run);
    }

    /** Number of messages affected, by effect. */
    public Map<Effect, Integer> effects() {
        return effects;
    }

    void count(Effect effect) {
        effects.merge(effect, 1, Integer::sum);
    }

    private boolean occurs(Map<String, Double> shares, String link) {
        Double share = shares.get(link);
        return share != null && random.nextDouble() < share;
    }

    private long randomDelayMicros() {
        return MIN_LATE_MICROS + random.nextInt(LATE_SPREAD_MICROS);
    }

    /** Wraps a handler with the faults on the link from this caller. */
    public Server.Handler wrapHandler(String from, String to, Server.Handler handler) {
        String link = link(from, to);
        return (request, reply) -> {
            if (cuts.contains(link)) {
                count(Effect.REQUEST_CUT);
                return;
            }
            if (refusals.contains(link)) {
                count(Effect.REFUSED);
                reply.refuse(503, "refused", 1);
                return;
            }
            if (occurs(lateShares, link)) {
                count(Effect.CARRIED_OUT_LATE);
                clock.after(
                        randomDelayMicros(), () -> handler.handle(request, (status, body, retryAfterSeconds) -> {}));
                return;
            }
            long delayMicros = latencyMicros.getOrDefault(link, 0L);
            if (delayMicros > 0) {
                count(Effect.SLOWED);
                clock.after(delayMicros, () -> execute(from, to, handler, request, reply));
            } else {
                execute(from, to, handler, request, reply);
            }
        };
    }

    private void execute(String from, String to, Server.Handler handler, Server.Request request, Server.Reply reply) {
        boolean lost = occurs(lostResponseShares, link(from, to));
        handler.handle(request, (status, body, retryAfterSeconds) -> {
            if (cuts.contains(link(to, from))) {
                count(Effect.ANSWER_CUT);
            } else if (lost) {
                count(Effect.ANSWER_LOST);
            } else {
                reply.send(status, body, retryAfterSeconds);
            }
        });
    }

    /** Wraps a client with the faults on its links; {@code nameByAddress} maps addresses to endpoint names. */
    public HttpClient wrapClient(String from, HttpClient client, Map<String, String> nameByAddress) {
        return (call, callback) -> {
            String to = nameByAddress.getOrDefault(call.address(), call.address());
            boolean[] completed = new boolean[1];
            clock.after(call.timeoutMicros(), () -> completeOnce(completed, callback, HttpClient.Response.NO_RESPONSE));
            if (cuts.contains(link(from, to)) || cuts.contains(link(from, ANY_ENDPOINT))) {
                count(Effect.REQUEST_CUT);
                return;
            }
            if (occurs(duplicateShares, link(from, ANY_ENDPOINT))) {
                count(Effect.REPEATED);
                clock.after(randomDelayMicros(), () -> client.call(copy(call), response -> {}));
            }
            client.call(call, response -> {
                if (cuts.contains(link(to, from)) || cuts.contains(link(ANY_ENDPOINT, from))) {
                    count(Effect.ANSWER_CUT);
                } else {
                    completeOnce(completed, callback, response);
                }
            });
        };
    }

    private static HttpClient.Call copy(HttpClient.Call call) {
        return new HttpClient.Call(
                call.address(),
                call.method(),
                call.path(),
                Json.objectOrEmpty(Json.bytes(call.body())),
                call.timeoutMicros());
    }

    private static void completeOnce(boolean[] completed, HttpClient.Callback callback, HttpClient.Response response) {
        if (!completed[0]) {
            completed[0] = true;
            callback.accept(response);
        }
    }
}
