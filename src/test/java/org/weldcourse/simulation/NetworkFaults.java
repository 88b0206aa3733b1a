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
 * What goes wrong on the way between two ends: cuts in one direction, refusals, delays, lost answers, late and repeated
 * messages. Everything that took effect is counted. Used on one thread alone.
 */
public final class NetworkFaults {
    public static final String STATE = "state";
    public static final String CLOUD = "cloud";
    /** Stands for a caller that can't be told from others. */
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

    /** What became of a message. */
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

    /** The name of the way from one end to the other. */
    public static String link(String from, String to) {
        return from + ">" + to;
    }

    /** Decides from here on by this seed. */
    public void seed(long seed) {
        random = new Random(seed);
    }

    /** Whatever goes from the one to the other gets lost, or on peers' connections waits. */
    public void cut(String from, String to) {
        cuts.add(link(from, to));
    }

    /** The way is whole again, in this direction. */
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

    /** The callee refuses this caller with 503, or serves it again. */
    public void refuse(String from, String to, boolean refused) {
        if (refused) {
            refusals.add(link(from, to));
        } else {
            refusals.remove(link(from, to));
        }
    }

    /** Each message takes so much longer. */
    public void setLatency(String from, String to, long micros) {
        latencyMicros.put(link(from, to), micros);
    }

    /** Of this share of the messages the answer gets lost. */
    public void loseResponses(String from, String to, double share) {
        lostResponseShares.put(link(from, to), share);
    }

    /** This share of the messages is carried out late, and never answered. */
    public void executeLate(String from, String to, double share) {
        lateShares.put(link(from, to), share);
    }

    /** This share of the messages comes again some seconds later. */
    public void duplicate(String from, String to, double share) {
        duplicateShares.put(link(from, to), share);
    }

    /** Every link is as it should be. */
    public void healAll() {
        cuts.clear();
        refusals.clear();
        latencyMicros.clear();
        lostResponseShares.clear();
        lateShares.clear();
        duplicateShares.clear();
        List.copyOf(onHeal).forEach(Runnable::run);
    }

    /** How often each kind took effect. */
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

    private long randomLateMicros() {
        return MIN_LATE_MICROS + random.nextInt(LATE_SPREAD_MICROS);
    }

    /** A handler as this caller finds it. */
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
                clock.after(randomLateMicros(), () -> handler.handle(request, (status, body, retryAfterSeconds) -> {}));
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

    /** A caller as it reaches the ends with these addresses. */
    public HttpClient wrapClient(String from, HttpClient caller, Map<String, String> nameByAddress) {
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
                clock.after(randomLateMicros(), () -> caller.call(copy(call), response -> {}));
            }
            caller.call(call, response -> {
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
