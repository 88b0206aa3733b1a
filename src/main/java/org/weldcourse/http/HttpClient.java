package org.weldcourse.http;

import java.util.Map;

/** Sends a request to another host and hands back what came of it, always later and on the event loop. */
public interface HttpClient {
    /** Sends a call and tells how it ended, at the latest when its timeout has passed. */
    void call(Call call, Callback done);

    /**
     * A request to {@code address} ({@code host:port}); {@code body} is null where there is none. One with a
     * {@code dedicatedConnection} is kept off the shared connections, so that it never waits for another connection to
     * be opened while the shared ones are busy.
     */
    record Call(
            String address,
            String method,
            String path,
            Map<String, Object> body,
            long timeoutMicros,
            boolean dedicatedConnection) {
        /** A call on any connection to the address. */
        public Call(String address, String method, String path, Map<String, Object> body, long timeoutMicros) {
            this(address, method, path, body, timeoutMicros, false);
        }
    }

    /** Told how a call ended. */
    interface Callback {
        /** Called exactly once for each call. */
        void accept(Response answer);
    }

    /**
     * The HTTP status and the JSON object of the body (empty when the body is none). {@code status} is 0 when no answer
     * came in time, so that the request may have been carried out, and -1 when it was never sent.
     */
    record Response(int status, Map<String, Object> body) {
        /** No answer came in time: the request may have been carried out, or may be later. */
        public static final Response NO_RESPONSE = new Response(0, Map.of());
        /** The request was never sent, for instance because the connection could not be opened. */
        public static final Response NOT_SENT = new Response(-1, Map.of());

        /** Whether the status is 200. */
        public boolean ok() {
            return status == 200;
        }
    }
}
