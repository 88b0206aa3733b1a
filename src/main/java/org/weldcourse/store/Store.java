package org.weldcourse.store;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.weldcourse.http.HttpClient;
import org.weldcourse.runtime.Clock;

/**
 * Client of the store, a consensus-backed key-value service. Every result carries an {@link Outcome} that says whether
 * the request was applied, was not applied, or may have been applied. Callbacks run on the event loop; times are in
 * microseconds of the {@link Clock}.
 */
public final class Store {
    private static final long TIMEOUT_MICROS = 1_500_000;

    private final HttpClient httpClient;
    private final Clock clock;
    private final String address;
    private long failingSinceMicros = -1;
    private long lastCompletedMicros;

    /** Creates a client of the store at {@code host:port}. */
    public Store(HttpClient httpClient, Clock clock, String address) {
        this.httpClient = httpClient;
        this.clock = clock;
        this.address = address;
    }

    /**
     * Result of a request. Only {@link #UNKNOWN} leaves open whether a write took effect: the caller must read the keys
     * back or retry the transaction.
     */
    public enum Outcome {
        /** 200: the write was applied or the read succeeded. */
        OK,
        /**
         * 404, 409 or 410: not applied. A compare condition failed, the key was not found, the lease has expired, or
         * the revision was compacted away.
         */
        REFUSED,
        /** 429: not applied. The store's request or write rate limit was exceeded. */
        RATE_LIMITED,
        /** 503, or not sent: not applied, because of an outage or a network partition. */
        UNAVAILABLE,
        /** Timeout or lost connection: the request may have been applied, or may still be applied later. */
        UNKNOWN,
        /**
         * 400 or an unexpected status: not applied. The request is malformed, or it attaches a key to an expired lease
         * ({@code "no such lease"}).
         */
        INVALID
    }

    /** A key with its value, its mod revision (the store revision of its last change) and its lease id (0 for none). */
    public record Entry(String key, Map<String, Object> value, long modRevision, long leaseId) {}

    /** The result of reading one key; {@code entry} is null unless the outcome is {@link Outcome#OK}. */
    public record Read(Outcome outcome, Entry entry) {}

    /** The entries with a prefix. Each of them is at least as recent as {@code revision}. */
    public record Listing(Outcome outcome, List<Entry> entries, long revision) {}

    /**
     * The result of a transaction.
     *
     * @param revision the store revision at which it was applied; if refused, the current revision
     * @param failed the keys whose compare conditions failed
     */
    public record Commit(Outcome outcome, long revision, List<Object> failed) {}

    /** The result of a lease request; {@code leaseId} is 0 unless the outcome is {@link Outcome#OK}. */
    public record LeaseGrant(Outcome outcome, long leaseId) {}

    /** A change of one key at a mod revision; {@code value} is null for a deletion. */
    public record Event(String key, Map<String, Object> value, long modRevision) {}

    /** The changes in order, up to {@code revision}; the next watch continues after that revision. */
    public record Events(Outcome outcome, List<Event> events, long revision) {}

    /**
     * Returns the time since which every request has failed with a 503, a timeout or a connection error; -1 if the last
     * request did not.
     */
    public long failingSinceMicros() {
        return failingSinceMicros;
    }

    /** Returns the time at which the last request completed, successfully or not; 0 if none has. */
    public long lastCompletedMicros() {
        return lastCompletedMicros;
    }

    /** Reads one key; a key that does not exist (404) yields {@link Outcome#REFUSED}. */
    public void get(String key, Consumer<Read> callback) {
        send(
                "GET",
                StoreCodec.keyPath(key),
                null,
                TIMEOUT_MICROS,
                response -> callback.accept(new Read(
                        StoreCodec.outcome(response.status()),
                        response.ok() ? StoreCodec.entry(key, response.body()) : null)));
    }

    /**
     * Reads all keys with the prefix, page by page, in key order. The listing has the revision of the first page, so
     * that a watch from there misses no change. If a page fails, the listing fails with that page's outcome.
     */
    public void list(String prefix, Consumer<Listing> callback) {
        listPage(prefix, null, new ArrayList<>(), 0, callback);
    }

    private void listPage(String prefix, String after, List<Entry> entries, long revision, Consumer<Listing> callback) {
        send("GET", StoreCodec.listPath(prefix, after), null, 2 * TIMEOUT_MICROS, response -> {
            if (!response.ok()) {
                callback.accept(new Listing(StoreCodec.outcome(response.status()), List.of(), 0));
                return;
            }
            entries.addAll(StoreCodec.pageEntries(response.body()));
            long firstPageRevision = revision > 0 ? revision : StoreCodec.revision(response.body(), 0);
            if (StoreCodec.hasNextPage(response.body()) && !entries.isEmpty()) {
                listPage(prefix, entries.get(entries.size() - 1).key(), entries, firstPageRevision, callback);
            } else {
                callback.accept(new Listing(Outcome.OK, entries, firstPageRevision));
            }
        });
    }

    /** Sends a transaction once; {@link RetryingCommit} retries until the outcome is definite. */
    public void commit(Transaction transaction, Consumer<Commit> callback) {
        send(
                "POST",
                StoreCodec.COMMIT_PATH,
                transaction.body(),
                TIMEOUT_MICROS,
                response -> callback.accept(new Commit(
                        StoreCodec.outcome(response.status()),
                        StoreCodec.revision(response.body(), 0),
                        StoreCodec.failedKeys(response.body()))));
    }

    /** Requests a lease that expires unless renewed within {@code ttlMicros} (sent in whole milliseconds). */
    public void grantLease(long ttlMicros, Consumer<LeaseGrant> callback) {
        send(
                "POST",
                StoreCodec.LEASES_PATH,
                StoreCodec.leaseRequest(ttlMicros),
                TIMEOUT_MICROS,
                response -> callback.accept(
                        new LeaseGrant(StoreCodec.outcome(response.status()), StoreCodec.leaseId(response.body()))));
    }

    /**
     * Renews a lease for its full time to live; {@link Outcome#REFUSED} means that it has expired. Renewals use a
     * dedicated connection: when all pooled connections were busy, opening another one delayed the renewal past the
     * lease's expiry.
     */
    public void renewLease(long leaseId, long timeoutMicros, Consumer<Outcome> callback) {
        send(
                new HttpClient.Call(address, "POST", StoreCodec.renewalPath(leaseId), Map.of(), timeoutMicros, true),
                response -> callback.accept(StoreCodec.outcome(response.status())));
    }

    /** Revokes a lease, which deletes the keys attached to it. */
    public void revokeLease(long leaseId, Consumer<Outcome> callback) {
        send(
                "DELETE",
                StoreCodec.leasePath(leaseId),
                null,
                TIMEOUT_MICROS,
                response -> callback.accept(StoreCodec.outcome(response.status())));
    }

    /**
     * Waits up to {@code waitMicros} (sent in whole milliseconds) for changes after a revision to keys with the prefix.
     * {@link Outcome#REFUSED} (410) means that the revision was compacted away and the keys must be listed again.
     */
    public void watch(String prefix, long afterRevision, long waitMicros, Consumer<Events> callback) {
        send(
                "GET",
                StoreCodec.watchPath(prefix, afterRevision, waitMicros),
                null,
                waitMicros + TIMEOUT_MICROS,
                response -> {
                    if (!response.ok()) {
                        callback.accept(new Events(StoreCodec.outcome(response.status()), List.of(), afterRevision));
                        return;
                    }
                    callback.accept(new Events(
                            Outcome.OK,
                            StoreCodec.events(response.body()),
                            StoreCodec.revision(response.body(), afterRevision)));
                });
    }

    /** Fetches the changes after a revision without waiting for new ones. */
    public void changes(String prefix, long afterRevision, Consumer<Events> callback) {
        watch(prefix, afterRevision, 0, callback);
    }

    private void send(
            String method, String path, Map<String, Object> body, long timeoutMicros, HttpClient.Callback callback) {
        send(new HttpClient.Call(address, method, path, body, timeoutMicros), callback);
    }

    /** Sends a request and tracks the store's availability: a 503, a timeout or a connection error is a failure. */
    private void send(HttpClient.Call call, HttpClient.Callback callback) {
        httpClient.call(call, response -> {
            int status = response.status();
            lastCompletedMicros = clock.nowMicros();
            if (status > 0 && status != 503) {
                failingSinceMicros = -1;
            } else if (failingSinceMicros < 0) {
                failingSinceMicros = clock.nowMicros();
            }
            callback.accept(response);
        });
    }
}
