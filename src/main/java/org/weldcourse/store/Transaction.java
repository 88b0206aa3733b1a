package org.weldcourse.store;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.weldcourse.http.Json;

/**
 * A compare-and-swap on the state service, in the making: its puts and deletes are applied together, at one revision,
 * only if every compared key still has the expected mod revision. Without puts or deletes it only compares.
 */
public final class Transaction {
    private final List<Object> compares = new ArrayList<>();
    private final List<Object> operations = new ArrayList<>();

    /** Requires that the key's mod revision is this one; 0: that the key does not exist. */
    public Transaction ifModRevision(String key, long modRevision) {
        compares.add(Json.of("path", key, "mark", modRevision));
        return this;
    }

    /** Writes a value and detaches the key from any lease. */
    public Transaction put(String key, Object value) {
        operations.add(Json.of("write", key, "value", value));
        return this;
    }

    /**
     * Writes a value and attaches the key to a lease; if the lease has expired, the whole request is refused as
     * {@link Store.Outcome#INVALID}.
     */
    public Transaction put(String key, Object value, long leaseId) {
        operations.add(Json.of("write", key, "value", value, "permit", leaseId));
        return this;
    }

    /** Deletes a key. */
    public Transaction delete(String key) {
        operations.add(Json.of("delete", key));
        return this;
    }

    /** How many puts and deletes there are, which the service's write rate counts. */
    public int operationCount() {
        return operations.size();
    }

    /** The request body in the wire's words. */
    Map<String, Object> body() {
        return Json.of("guards", compares, "then", operations);
    }
}
