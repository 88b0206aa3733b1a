package org.weldcourse.simulation;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.weldcourse.http.HttpClient;
import org.weldcourse.http.Json;
import org.weldcourse.http.Server;

/** In-memory network between clients and handlers, with partitions, latency, refusals and lost responses. */
public final class FakeNetwork {
    private static final long ONE_WAY_MICROS = 1_000;

    private final FakeClock clock;
    private final Map<String, Server.Handler> handlers = new HashMap<>();
    private final Set<String> cuts = new HashSet<>();
    private final Set<String> lostResponseCallers = new HashSet<>();
    private final Set<String> refusals = new HashSet<>();
    private final Map<String, Long> latencyMicros = new HashMap<>();
    private HeartbeatResponseListener heartbeatResponseListener = response -> {};
    private FaultInjection faults = (from, call) -> NORMAL;

    /**
     * Decides the outcome of each call: {@link #NORMAL}, {@link #RESPONSE_LOST}, {@link #responseDelayedBy}, or a positive
     * delay in microseconds after which the call is executed and its response lost.
     */
    public interface FaultInjection {
        long outcomeOf(String from, HttpClient.Call call);
    }

    public static final long NORMAL = -1;
    public static final long RESPONSE_LOST = 0;

    /** Outcome of a call that is executed normally and whose response arrives {@code micros} later. */
    public static long responseDelayedBy(long micros) {
        return NORMAL - micros;
    }

    public void injectFaults(FaultInjection newFaults) {
        faults = newFaults;
    }

    /** Receives each response that a controller sends to a worker's heartbeat. */
    public interface HeartbeatResponseListener {
        /** Called when the controller sends the response. */
        void responseSent(Map<String, Object> response);
    }

    /** Sets the listener that receives the responses to heartbeats, also those that are lost on their way. */
    public void onHeartbeatResponse(HeartbeatResponseListener listener) {
        heartbeatResponseListener = listener;
    }

    /** Answers the requests of one caller to an address with 503; its open watches there get no response. */
    public void refuse(String from, String to, boolean refused) {
        if (refused) {
            refusals.add(from + ">" + to);
        } else {
            refusals.remove(from + ">" + to);
        }
    }

    /** Sets the additional latency of all requests to the address. */
    public void setLatency(String to, long micros) {
        latencyMicros.put(to, micros);
    }

    public FakeNetwork(FakeClock clock) {
        this.clock = clock;
    }

    public void host(String address, Server.Handler handler) {
        handlers.put(address, handler);
    }

    public void remove(String address) {
        handlers.remove(address);
    }

    /** Drops requests from one address to the other; the caller sees a timeout. */
    public void cut(String from, String to) {
        cuts.add(from + ">" + to);
    }

    public void heal(String from, String to) {
        cuts.remove(from + ">" + to);
    }

    /** Executes the requests of this caller but drops the responses. */
    public void loseResponses(String from, boolean lose) {
        if (lose) {
            lostResponseCallers.add(from);
        } else {
            lostResponseCallers.remove(from);
        }
    }

    public HttpClient client(String from) {
        return (call, callback) -> {
            boolean[] completed = new boolean[1];
            String link = from + ">" + call.address();
            long outcome = faults.outcomeOf(from, call);
            clock.after(call.timeoutMicros(), () -> completeOnce(completed, callback, HttpClient.Response.NO_RESPONSE));
            long delayMicros = ONE_WAY_MICROS + latencyMicros.getOrDefault(call.address(), 0L) + Math.max(0, outcome);
            clock.after(delayMicros, () -> {
                if (cuts.contains(link)) {
                    return;
                }
                if (refusals.contains(link)) {
                    completeOnce(completed, callback, new HttpClient.Response(503, Map.of()));
                    return;
                }
                Server.Handler handler = handlers.get(call.address());
                if (handler == null) {
                    completeOnce(completed, callback, HttpClient.Response.NOT_SENT);
                    return;
                }
                byte[] body = call.body() == null ? new byte[0] : Json.bytes(call.body());
                handler.handle(
                        new Server.Request(call.method(), call.path(), body), (status, response, retryAfterSeconds) -> {
                            Map<String, Object> copy = transmit(call, status, response);
                            clock.after(ONE_WAY_MICROS + Math.max(0, NORMAL - outcome), () -> {
                                boolean lost = lostResponseCallers.contains(from)
                                        || cuts.contains(link)
                                        || outcome >= 0
                                        || refusals.contains(link)
                                                && call.path().startsWith("/watch");
                                if (!lost) {
                                    completeOnce(completed, callback, new HttpClient.Response(status, copy));
                                }
                            });
                        });
            });
        };
    }

    /** Returns what the caller reads; the two sides share no mutable objects. */
    private Map<String, Object> transmit(HttpClient.Call call, int status, Map<String, Object> response) {
        byte[] bytes = Json.bytes(response);
        Map<String, Object> copy = Json.objectOrEmpty(bytes);
        if (call.path().equals("/checkin")) {
            if (bytes.length > 64 * 1024) {
                throw new AssertionError("heartbeat response of " + bytes.length + " bytes exceeds 64 KiB");
            }
            if (status == 200) {
                heartbeatResponseListener.responseSent(copy);
            }
        }
        return copy;
    }

    private static void completeOnce(boolean[] completed, HttpClient.Callback callback, HttpClient.Response response) {
        if (!completed[0]) {
            completed[0] = true;
            callback.accept(response);
        }
    }
}
