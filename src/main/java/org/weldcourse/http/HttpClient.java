package org.weldcourse.http;

import java.util.Map;

/** An asynchronous HTTP client, which invokes its callbacks on the event loop. */
public interface HttpClient {
    /**
     * Sends a request and reports its outcome to the callback, always asynchronously, and at the latest when the
     * timeout of the call expires.
     */
    void call(Call call, Callback callback);

    /**
     * A request.
     *
     * @param address the server, as {@code host:port}
     * @param body the JSON object to send, or null to send no body
     * @param dedicatedConnection whether to use a connection apart from the shared ones, so that the request need not
     *     wait for a new connection to open while the shared ones are busy
     */
    record Call(
            String address,
            String method,
            String path,
            Map<String, Object> body,
            long timeoutMicros,
            boolean dedicatedConnection) {
        /** A request on a shared connection. */
        public Call(String address, String method, String path, Map<String, Object> body, long timeoutMicros) {
            this(address, method, path, body, timeoutMicros, false);
        }
    }

    /** Receives the outcome of a call. */
    interface Callback {
        /** Called exactly once for each call. */
        void accept(Response response);
    }

    /**
     * The outcome of a call.
     *
     * @param status the HTTP status; 0 for {@link #NO_RESPONSE}, -1 for {@link #NOT_SENT}
     * @param body the JSON object of the body, empty if the body is not a JSON object
     */
    record Response(int status, Map<String, Object> body) {
        /** The request was sent but timed out or lost its connection; it may have been or may still be executed. */
        public static final Response NO_RESPONSE = new Response(0, Map.of());
        /** The request was not sent, for example because the connection could not be opened. */
        public static final Response NOT_SENT = new Response(-1, Map.of());

        /** Whether the status is 200. */
        public boolean ok() {
            return status == 200;
        }
    }
}
