package org.weldcourse.jobs;

import java.util.Optional;
import org.weldcourse.http.Server.Reply;
import org.weldcourse.runtime.Clock;

/** Bounds the number of user requests that wait for the store, and measures the latency of all user requests. */
final class InFlightRequests {
    private static final int MAX_IN_FLIGHT = 64;
    private static final int RETRY_AFTER_SECONDS = 1;

    private final Clock clock;
    private final RequestMetrics metrics = new RequestMetrics();
    private int inFlight;

    InFlightRequests(Clock clock) {
        this.clock = clock;
    }

    RequestMetrics metrics() {
        return metrics;
    }

    /**
     * Returns the reply to answer the request with, or none if it was refused because too many requests are in flight.
     */
    Optional<Reply> begin(Reply reply) {
        if (inFlight >= MAX_IN_FLIGHT) {
            metrics.recordResponse(429, 0);
            reply.refuse(429, "too many requests at once", RETRY_AFTER_SECONDS);
            return Optional.empty();
        }
        inFlight++;
        Reply timed = timed(reply);
        return Optional.of((status, body, retryAfterSeconds) -> {
            inFlight--;
            timed.send(status, body, retryAfterSeconds);
        });
    }

    /** Returns a reply that measures the latency from now on, for requests that are bounded elsewhere. */
    Reply timed(Reply reply) {
        long startMicros = clock.nowMicros();
        return (status, body, retryAfterSeconds) -> {
            metrics.recordResponse(status, clock.nowMicros() - startMicros);
            reply.send(status, body, retryAfterSeconds);
        };
    }
}
