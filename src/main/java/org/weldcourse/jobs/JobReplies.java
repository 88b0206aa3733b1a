package org.weldcourse.jobs;

import org.weldcourse.http.Json;
import org.weldcourse.http.Server.Reply;
import org.weldcourse.store.Store.Outcome;

/**
 * The responses to users, with their status codes. Users retry requests that are answered with 429 or 503, and no
 * others.
 */
final class JobReplies {
    private static final int RETRY_SOON_SECONDS = 1;
    private static final int STORE_UNAVAILABLE_RETRY_SECONDS = 2;

    private JobReplies() {}

    static void accepted(Reply reply, String id) {
        reply.send(201, JobStatus.queued(id).body());
    }

    static void status(Reply reply, JobStatus status) {
        reply.send(200, status.body());
    }

    static void malformed(Reply reply, String reason) {
        reply.send(400, Json.of("error", reason));
    }

    static void noSuchJob(Reply reply) {
        reply.send(404, Json.of("error", "no such job"));
    }

    static void canNeverRun(Reply reply, String reason) {
        reply.send(422, Json.of("error", reason));
    }

    static void tooManyQueries(Reply reply) {
        reply.refuse(429, "too many questions at once", RETRY_SOON_SECONDS);
    }

    static void machineTypesUnknown(Reply reply) {
        reply.refuse(503, "machine types are not known yet", RETRY_SOON_SECONDS);
    }

    static void tryAgain(Reply reply) {
        reply.refuse(503, "try again", RETRY_SOON_SECONDS);
    }

    /** The store refused the operation, or its result is unknown. */
    static void storeFailed(Reply reply, Outcome outcome) {
        if (outcome == Outcome.RATE_LIMITED) {
            reply.refuse(429, "the state service's budget is spent", RETRY_SOON_SECONDS);
        } else {
            reply.refuse(503, "the state service does not answer", STORE_UNAVAILABLE_RETRY_SECONDS);
        }
    }
}
