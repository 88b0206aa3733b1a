package org.weldcourse.store;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.weldcourse.http.Caller;
import org.weldcourse.runtime.Clock;

/**
 * Client of the state service, a consensus-backed key-value store. Every result carries an {@link Outcome} that says
 * whether the request was carried out, refused, or may have been. Results are handed over on the event loop; times are
 * in microseconds of the {@link Clock}.
 */
public final class Store {
    private static final long TIMEOUT_MICROS = 1_500_000;

    private final Caller caller;
    private final Clock clock;
    private final String address;
    private long failingSinceMicros = -1;
    private long lastResponseMicros;

    /** The state service at {@code host:port}. */
    public Store(Caller caller, Clock clock, String address) {
        this.caller = caller;
        this.clock = clock;
        this.address = address;
    }

    /**
     * How a request ended. Only {@link #UNKNOWN} leaves open whether a write took effect: a compare-and-swap without an
     * answer may have been applied, or may be applied later, and must be read back or sent again.
     */
    public enum Outcome {
        /** 200: applied, or read. */
        OK,
        /**
         * 404, 409 or 410, not applied: a compare condition failed (a conflict), or the key, the lease or the revision
         * does not exist (not found, lease expiry, or a revision that was compacted away).
         */
        REFUSED,
        /** 429, not applied: over the service's request or write rate. */
        RATE_LIMITED,
        /** 503, or never sent: not applied, in an outage or while this node is cut off. */
        UNAVAILABLE,
        /** No answer in time: applied, or not, or applied later. */
        UNKNOWN,
        /**
         * 400 or a status the protocol does not name, not applied: the request is malformed, or it writes under a lease
         * that has expired (lease expiry: {@code "no such lease"}).
         */
        INVALID
    }

    /** A key with its value, its mod revision (the store revision of its last change) and its lease id (0: none). */
    public record Entry(String key, Map<String, Object> value, long modRevision, long leaseId) {}

    /** The answer to a read of one key. */
    public record Read(Outcome outcome, Entry entry) {}

    /** The entries below a prefix, and a revision that all of them are at least as new as. */
    public record Listing(Outcome outcome, List<Entry> entries, long revision) {}

    /**
     * The answer to a compare-and-swap: the store revision that it was applied at (when refused, the current one), and
     * in {@code failed} the keys whose compare condition did not hold.
     */
    public record Commit(Outcome outcome, long revision, List<Object> failed) {}

    /** The answer to a request for a lease: its id when the outcome is {@link Outcome#OK}, else 0. */
    public record LeaseGrant(Outcome outcome, long leaseId) {}

    /** A change of one key at a mod revision; {@code value} is null for a key that was deleted. */
    public record Event(String key, Map<String, Object> value, long modRevision) {}

    /** What changed, in order, up to a store revision that the next watch starts after. */
    public record Events(Outcome outcome, List<Event> events, long revision) {}

    /** Since when nothing but 503s or missing answers came, or -1 while the service serves us. */
    public long failingSinceMicros() {
        return failingSinceMicros;
    }

    /** When a request last came to an end, with an answer or without (0: none yet). */
    public long lastResponseMicros() {
        return lastResponseMicros;
    }

    /** Reads one key; the entry is null unless the outcome is {@link Outcome#OK} (404: {@link Outcome#REFUSED}). */
    public void get(String key, Consumer<Read> then) {
        send(
                "GET",
                StoreCodec.keyPath(key),
                null,
                TIMEOUT_MICROS,
                answer -> then.accept(new Read(
                        StoreCodec.outcome(answer.status()),
                        answer.ok() ? StoreCodec.entry(key, answer.body()) : null)));
    }

    /**
     * Reads every key with the prefix, page by page, in the order of keys. The revision is that of the first page, so
     * that a watch from it misses no change; the first page that fails ends the listing with its outcome.
     */
    public void list(String prefix, Consumer<Listing> then) {
        page(prefix, null, new ArrayList<>(), 0, then);
    }

    private void page(String prefix, String after, List<Entry> found, long revision, Consumer<Listing> then) {
        send("GET", StoreCodec.listPath(prefix, after), null, 2 * TIMEOUT_MICROS, answer -> {
            if (!answer.ok()) {
                then.accept(new Listing(StoreCodec.outcome(answer.status()), List.of(), 0));
                return;
            }
            found.addAll(StoreCodec.pageEntries(answer.body()));
            long first = revision > 0 ? revision : StoreCodec.revision(answer.body(), 0);
            if (StoreCodec.hasNextPage(answer.body()) && !found.isEmpty()) {
                page(prefix, found.get(found.size() - 1).key(), found, first, then);
            } else {
                then.accept(new Listing(Outcome.OK, found, first));
            }
        });
    }

    /** Sends a compare-and-swap once; see {@link RetryingCommit} for one that settles an {@link Outcome#UNKNOWN}. */
    public void commit(Transaction txn, Consumer<Commit> then) {
        send(
                "POST",
                StoreCodec.COMMIT_PATH,
                txn.body(),
                TIMEOUT_MICROS,
                answer -> then.accept(new Commit(
                        StoreCodec.outcome(answer.status()),
                        StoreCodec.revision(answer.body(), 0),
                        StoreCodec.failedKeys(answer.body()))));
    }

    /** Asks for a lease that expires unless renewed within {@code ttlMicros} (sent in whole milliseconds). */
    public void grantLease(long ttlMicros, Consumer<LeaseGrant> then) {
        send(
                "POST",
                StoreCodec.LEASES_PATH,
                StoreCodec.leaseRequest(ttlMicros),
                TIMEOUT_MICROS,
                answer -> then.accept(
                        new LeaseGrant(StoreCodec.outcome(answer.status()), StoreCodec.leaseId(answer.body()))));
    }

    /**
     * Renews a lease for its full time to live; {@link Outcome#REFUSED} means lease expiry. It goes on a dedicated
     * connection: with all others busy, a renewal that had to wait for a new one to open came too late.
     */
    public void renewLease(long leaseId, long timeoutMicros, Consumer<Outcome> then) {
        send(
                new Caller.Call(address, "POST", StoreCodec.renewalPath(leaseId), Map.of(), timeoutMicros, true),
                answer -> then.accept(StoreCodec.outcome(answer.status())));
    }

    /** Revokes a lease at once, and with it deletes the keys attached to it. */
    public void revokeLease(long leaseId, Consumer<Outcome> then) {
        send(
                "DELETE",
                StoreCodec.leasePath(leaseId),
                null,
                TIMEOUT_MICROS,
                answer -> then.accept(StoreCodec.outcome(answer.status())));
    }

    /**
     * Waits up to {@code waitMicros} (sent in whole milliseconds) for changes of keys with the prefix after a revision.
     * {@link Outcome#REFUSED} (410) means the revision was compacted away: read the keys again.
     */
    public void watch(String prefix, long afterRevision, long waitMicros, Consumer<Events> then) {
        send(
                "GET",
                StoreCodec.watchPath(prefix, afterRevision, waitMicros),
                null,
                waitMicros + TIMEOUT_MICROS,
                answer -> {
                    if (!answer.ok()) {
                        then.accept(new Events(StoreCodec.outcome(answer.status()), List.of(), afterRevision));
                        return;
                    }
                    then.accept(new Events(
                            Outcome.OK,
                            StoreCodec.events(answer.body()),
                            StoreCodec.revision(answer.body(), afterRevision)));
                });
    }

    /** What changed after a revision until now, without waiting. */
    public void changes(String prefix, long afterRevision, Consumer<Events> then) {
        watch(prefix, afterRevision, 0, then);
    }

    private void send(String method, String path, Map<String, Object> body, long timeoutMicros, Caller.Done done) {
        send(new Caller.Call(address, method, path, body, timeoutMicros), done);
    }

    /** Tracks whether the service serves us: a 503 or a call without an answer counts as failing. */
    private void send(Caller.Call call, Caller.Done done) {
        caller.call(call, answer -> {
            int status = answer.status();
            lastResponseMicros = clock.nowMicros();
            if (status > 0 && status != 503) {
                failingSinceMicros = -1;
            } else if (failingSinceMicros < 0) {
                failingSinceMicros = clock.nowMicros();
            }
            done.accept(answer);
        });
    }
}
