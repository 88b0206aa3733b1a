package org.weldcourse.store;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.weldcourse.http.Json;

/**
 * Builder of a conditional store transaction. Its puts and deletes are applied atomically, at one revision, only if
 * every compared key still has the expected mod revision. Without puts or deletes it only checks the conditions.
 */
public final class Transaction {
    private final List<Object> compares = new ArrayList<>();
    private final List<Object> operations = new ArrayList<>();

    /** Adds the condition that the key has this mod revision; 0 means that the key does not exist. */
    public Transaction ifModRevision(String key, long modRevision) {
        compares.add(Json.of("path", key, "mark", modRevision));
        return this;
    }

    /** Adds a put that writes a value and detaches the key from any lease. */
    public Transaction put(String key, Object value) {
        operations.add(Json.of("write", key, "value", value));
        return this;
    }

    /**
     * Adds a put that writes a value and attaches the key to a lease. If the lease has expired, the store rejects the
     * whole transaction with {@link Store.Outcome#INVALID}.
     */
    public Transaction put(String key, Object value, long leaseId) {
        operations.add(Json.of("write", key, "value", value, "permit", leaseId));
        return this;
    }

    /** Adds the deletion of a key. */
    public Transaction delete(String key) {
        operations.add(Json.of("delete", key));
        return this;
    }

    /** Returns the number of puts and deletes, which count towards the store's write rate limit. */
    public int operationCount() {
        return operations.size();
    }

    /** Returns the JSON request body. */
    Map<String, Object> body() {
        return Json.of("guards", compares, "then", operations);
    }
}
