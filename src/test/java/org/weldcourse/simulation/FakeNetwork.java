package org.weldcourse.simulation;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.weldcourse.http.HttpClient;
import org.weldcourse.http.Json;
import org.weldcourse.http.Server;

/** Carries requests between scripted peers. Addresses can be cut off, and answers can be lost. */
public final class FakeNetwork {
    private static final long TRIP_MICROS = 1_000;

    private final FakeClock time;
    private final Map<String, Server.Handler> hosts = new HashMap<>();
    private final Set<String> cuts = new HashSet<>();
    private final Set<String> deaf = new HashSet<>();
    private final Set<String> refusals = new HashSet<>();
    private final Map<String, Long> slowMicros = new HashMap<>();
    private FaultInjection faults = (from, call) -> NORMAL;

    /** What becomes of a call: normal, carried out at once with its answer lost, or after so long with no answer. */
    public interface FaultInjection {
        long of(String from, HttpClient.Call call);
    }

    public static final long NORMAL = -1;
    public static final long RESPONSE_LOST = 0;

    /** The call is carried out as usual, and its answer comes so much later. */
    public static long responseDelayedBy(long micros) {
        return NORMAL - micros;
    }

    public void injectFaults(FaultInjection injected) {
        faults = injected;
    }

    /** One caller alone gets 503 from an address; the watches that it has open there wait. */
    public void refuse(String from, String to, boolean refused) {
        if (refused) {
            refusals.add(from + ">" + to);
        } else {
            refusals.remove(from + ">" + to);
        }
    }

    /** Every call to the address takes so much longer to arrive. */
    public void setLatency(String to, long micros) {
        slowMicros.put(to, micros);
    }

    public FakeNetwork(FakeClock time) {
        this.time = time;
    }

    public void host(String address, Server.Handler handler) {
        hosts.put(address, handler);
    }

    public void remove(String address) {
        hosts.remove(address);
    }

    /** Requests from one to the other get lost without a word. */
    public void cut(String from, String to) {
        cuts.add(from + ">" + to);
    }

    public void heal(String from, String to) {
        cuts.remove(from + ">" + to);
    }

    /** Requests from this caller are carried out, but no answer comes back. */
    public void loseResponses(String from, boolean lose) {
        if (lose) {
            deaf.add(from);
        } else {
            deaf.remove(from);
        }
    }

    public HttpClient client(String from) {
        return (call, done) -> {
            boolean[] finished = new boolean[1];
            String way = from + ">" + call.address();
            long fate = faults.of(from, call);
            time.after(call.timeoutMicros(), () -> finish(finished, done, HttpClient.Response.NO_RESPONSE));
            long tripMicros = TRIP_MICROS + slowMicros.getOrDefault(call.address(), 0L) + Math.max(0, fate);
            time.after(tripMicros, () -> {
                if (cuts.contains(way)) {
                    return;
                }
                if (refusals.contains(way)) {
                    finish(finished, done, new HttpClient.Response(503, Map.of()));
                    return;
                }
                Server.Handler handler = hosts.get(call.address());
                if (handler == null) {
                    finish(finished, done, HttpClient.Response.NOT_SENT);
                    return;
                }
                byte[] body = call.body() == null ? new byte[0] : Json.bytes(call.body());
                handler.handle(
                        new Server.Request(call.method(), call.path(), body), (status, answer, retryAfterSeconds) -> {
                            // Through bytes, so that no object is shared between the two sides.
                            byte[] bytes = Json.bytes(answer);
                            if (call.path().equals("/checkin") && bytes.length > 64 * 1024) {
                                throw new AssertionError("an answer of " + bytes.length + " bytes to a worker");
                            }
                            Map<String, Object> copy = Json.objectOrEmpty(bytes);
                            time.after(TRIP_MICROS + Math.max(0, NORMAL - fate), () -> {
                                boolean lost = deaf.contains(from)
                                        || cuts.contains(way)
                                        || fate >= 0
                                        || refusals.contains(way) && call.path().startsWith("/watch");
                                if (!lost) {
                                    finish(finished, done, new HttpClient.Response(status, copy));
                                }
                            });
                        });
            });
        };
    }

    private static void finish(boolean[] finished, HttpClient.Callback done, HttpClient.Response answer) {
        if (!finished[0]) {
            finished[0] = true;
            done.accept(answer);
        }
    }
}
