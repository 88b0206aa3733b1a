package org.weldcourse.simulation;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Consumer;
import org.weldcourse.http.Json;
import org.weldcourse.http.Server;

/** In-memory fake of the replicated store that implements the store's protocol. */
public final class FakeStore implements Server.Handler {
    private record Value(Object value, long version, long lease) {}

    private record Change(String key, Object value, long version) {}

    private final FakeClock clock;
    private int maxTransactionOps;
    private int maxValueBytes;
    private final TreeMap<String, Value> values = new TreeMap<>();
    private final List<Change> changes = new ArrayList<>();
    private final Map<Long, Long> leaseExpiryMicros = new HashMap<>();
    private final Map<Long, Long> leaseTtlMicros = new HashMap<>();
    private final Set<Runnable> watchers = new LinkedHashSet<>();
    private long revision;
    private long lastLeaseId;
    private boolean down;
    private int writes;
    private int requests;
    private long compactedRevision;
    private final List<Consumer<List<CommittedWrite>>> commitListeners = new ArrayList<>();
    private Consumer<String> injectionListener = key -> {};
    private String ignoredGuardPrefix;
    private String lostWritePrefix;

    /** One write or deletion of a transaction; {@code value} is null for a deletion. */
    public record CommittedWrite(String key, Map<String, Object> value, long version) {}

    public FakeStore(FakeClock clock, int maxTransactionOps, int maxValueBytes) {
        this.clock = clock;
        this.maxTransactionOps = maxTransactionOps;
        this.maxValueBytes = maxValueBytes;
    }

    /** Adds a listener that is called with the changes of each committed transaction. */
    public void onCommit(Consumer<List<CommittedWrite>> listener) {
        commitListeners.add(listener);
    }

    /** Sets the listener that is called with each key that a test changes directly, without a transaction. */
    void onInjection(Consumer<String> listener) {
        injectionListener = listener;
    }

    /** Ignores guards on keys with this prefix from now on, as a store that fails to check them would. */
    public void ignoreGuards(String prefix) {
        ignoredGuardPrefix = prefix;
    }

    /** Acknowledges writes to keys with this prefix from now on, but discards them. */
    public void loseWrites(String prefix) {
        lostWritePrefix = prefix;
    }

    /** Starts or ends an outage. All requests are refused during an outage, and each lease has its full TTL after it. */
    public void down(boolean isDown) {
        if (down && !isDown) {
            leaseExpiryMicros.replaceAll((lease, end) -> clock.nowMicros() + leaseTtlMicros.get(lease));
        }
        down = isDown;
        notifyWatchers();
    }

    public Map<String, Object> value(String key) {
        Value value = values.get(key);
        return value == null ? null : Json.object(value.value);
    }

    public List<String> keys(String prefix) {
        List<String> keys = new ArrayList<>();
        for (String key : values.keySet()) {
            if (key.startsWith(prefix)) {
                keys.add(key);
            }
        }
        return keys;
    }

    /** Changes the limits on transactions and values; stored records stay as they are. */
    public void limit(int newMaxTransactionOps, int newMaxValueBytes) {
        maxTransactionOps = newMaxTransactionOps;
        maxValueBytes = newMaxValueBytes;
    }

    /** Writes a record directly, for example one in the format of another version. */
    public void putRecord(String key, Object value) {
        revision++;
        put(key, new Value(Json.objectOrEmpty(Json.bytes(value)), revision, 0));
        injectionListener.accept(key);
    }

    /** Replaces the value of an existing key without a new version or a watch event. */
    public void corrupt(String key, Object value) {
        values.computeIfPresent(key, (same, old) -> new Value(value, old.version, old.lease));
        injectionListener.accept(key);
    }

    /** Removes a key without a watch event. */
    public void removeWithoutEvent(String key) {
        values.remove(key);
        injectionListener.accept(key);
    }

    public int requests() {
        return requests;
    }

    /** Number of writes to keys with this prefix, without deletions. */
    public int puts(String prefix) {
        return (int) changes.stream()
                .filter(change -> change.value != null && change.key.startsWith(prefix))
                .count();
    }

    public int writes() {
        return writes;
    }

    @Override
    public void handle(Server.Request request, Server.Reply reply) {
        requests++;
        if (down) {
            reply.send(503, Json.of("error", "outage"));
            return;
        }
        expireLeases();
        String path = request.path();
        Map<String, Object> body = Json.objectOrEmpty(request.body());
        if (path.startsWith("/store/")) {
            get(path.substring("/store/".length()), reply);
        } else if (path.startsWith("/store?")) {
            list(parameter(path, "starts"), parameter(path, "after"), Integer.parseInt(parameter(path, "most")), reply);
        } else if (path.equals("/commit")) {
            commit(body, reply);
        } else if (path.equals("/grants")) {
            long ttlMicros = Json.integer(body, "ttl_ms", 0) * 1000;
            leaseTtlMicros.put(++lastLeaseId, ttlMicros);
            leaseExpiryMicros.put(lastLeaseId, clock.nowMicros() + ttlMicros);
            clock.after(ttlMicros + 1, this::expireLeases);
            reply.send(200, Json.of("permit", lastLeaseId));
        } else if (path.endsWith("/extend")) {
            extend(Long.parseLong(path.split("/")[2]), reply);
        } else if (path.startsWith("/grants/")) {
            endLease(Long.parseLong(path.split("/")[2]));
            reply.send(200, Map.of());
        } else if (path.startsWith("/watch")) {
            watch(
                    parameter(path, "starts"),
                    Long.parseLong(parameter(path, "after")),
                    Long.parseLong(parameter(path, "block_ms")) * 1000,
                    reply);
        } else {
            reply.send(400, Json.of("error", "malformed"));
        }
    }

    private static String parameter(String path, String name) {
        for (String part : path.substring(path.indexOf('?') + 1).split("&")) {
            if (part.startsWith(name + "=")) {
                return part.substring(name.length() + 1);
            }
        }
        return null;
    }

    private void get(String key, Server.Reply reply) {
        Value value = values.get(key);
        if (value == null) {
            reply.send(404, Json.of("ledger", revision));
        } else {
            reply.send(
                    200,
                    Json.of(
                            "path",
                            key,
                            "value",
                            value.value,
                            "mark",
                            value.version,
                            "permit",
                            value.lease == 0 ? null : (Object) value.lease));
        }
    }

    private void list(String prefix, String after, int limit, Server.Reply reply) {
        List<Object> pairs = new ArrayList<>();
        boolean more = false;
        for (Map.Entry<String, Value> entry :
                values.tailMap(after == null ? prefix : after, after == null).entrySet()) {
            if (!entry.getKey().startsWith(prefix)) {
                break;
            }
            if (pairs.size() == limit) {
                more = true;
                break;
            }
            pairs.add(Json.of(
                    "path",
                    entry.getKey(),
                    "value",
                    entry.getValue().value,
                    "mark",
                    entry.getValue().version,
                    "permit",
                    entry.getValue().lease == 0 ? null : (Object) entry.getValue().lease));
        }
        reply.send(200, Json.of("pairs", pairs, "has_next", more, "ledger", revision));
    }

    private void commit(Map<String, Object> body, Server.Reply reply) {
        List<Object> operations = Json.list(body.get("then"));
        if (operations.size() > maxTransactionOps || Json.bytes(body).length > 64 * 1024) {
            throw new AssertionError("transaction exceeds the limits of the store: " + operations.size() + " changes");
        }
        for (Object item : operations) {
            Map<String, Object> op = Json.object(item);
            if (op.containsKey("write") && Json.bytes(op.get("value")).length > maxValueBytes) {
                throw new AssertionError("value exceeds the size limit of the store: " + op.get("write"));
            }
            long lease = Json.integer(op, "permit", 0);
            if (lease != 0 && !leaseExpiryMicros.containsKey(lease)) {
                reply.send(400, Json.of("error", "no such lease"));
                return;
            }
        }
        List<Object> failed = new ArrayList<>();
        for (Object item : Json.list(body.get("guards"))) {
            Map<String, Object> guard = Json.object(item);
            Value value = values.get(Json.text(guard, "path"));
            String key = Json.text(guard, "path");
            boolean ignored = ignoredGuardPrefix != null && key.startsWith(ignoredGuardPrefix);
            if (!ignored && (value == null ? 0 : value.version) != Json.integer(guard, "mark", -1)) {
                failed.add(key);
            }
        }
        writes += operations.size();
        if (!failed.isEmpty()) {
            reply.send(409, Json.of("failed", failed, "ledger", revision));
            return;
        }
        revision++;
        for (Object item : operations) {
            Map<String, Object> op = Json.object(item);
            if (op.containsKey("write")) {
                put(Json.text(op, "write"), new Value(op.get("value"), revision, Json.integer(op, "permit", 0)));
            } else {
                put(Json.text(op, "delete"), null);
            }
        }
        notifyCommitListener(operations);
        notifyWatchers();
        reply.send(200, Json.of("ledger", revision));
    }

    private void notifyCommitListener(List<Object> operations) {
        List<CommittedWrite> written = new ArrayList<>();
        for (Object item : operations) {
            Map<String, Object> op = Json.object(item);
            written.add(
                    op.containsKey("write")
                            ? new CommittedWrite(Json.text(op, "write"), Json.object(op.get("value")), revision)
                            : new CommittedWrite(Json.text(op, "delete"), null, revision));
        }
        commitListeners.forEach(listener -> listener.accept(written));
    }

    private void put(String key, Value value) {
        if (lostWritePrefix != null && key.startsWith(lostWritePrefix)) {
            return;
        }
        if (value == null) {
            if (values.remove(key) != null) {
                changes.add(new Change(key, null, revision));
            }
        } else {
            values.put(key, value);
            changes.add(new Change(key, value.value, revision));
        }
    }

    private void extend(long lease, Server.Reply reply) {
        if (!leaseExpiryMicros.containsKey(lease)) {
            reply.send(404, Map.of());
            return;
        }
        leaseExpiryMicros.put(lease, clock.nowMicros() + leaseTtlMicros.get(lease));
        clock.after(leaseTtlMicros.get(lease) + 1, this::expireLeases);
        reply.send(200, Map.of());
    }

    private void expireLeases() {
        if (down) {
            return;
        }
        for (Map.Entry<Long, Long> entry : new HashMap<>(leaseExpiryMicros).entrySet()) {
            if (entry.getValue() <= clock.nowMicros()) {
                endLease(entry.getKey());
            }
        }
    }

    private void endLease(long lease) {
        if (leaseExpiryMicros.remove(lease) == null) {
            return;
        }
        List<String> attached = new ArrayList<>();
        values.forEach((key, value) -> {
            if (value.lease == lease) {
                attached.add(key);
            }
        });
        if (!attached.isEmpty()) {
            revision++;
            attached.forEach(key -> put(key, null));
            notifyWatchers();
        }
    }

    /** Discards the history of changes: watches from an earlier revision are answered with status 410. */
    public void compactHistory() {
        changes.clear();
        compactedRevision = revision;
    }

    private void watch(String prefix, long after, long waitMicros, Server.Reply reply) {
        if (after < compactedRevision) {
            reply.send(410, Json.of("ledger", revision));
            return;
        }
        boolean[] answered = new boolean[1];
        Runnable check = new Runnable() {
            @Override
            public void run() {
                List<Object> events = new ArrayList<>();
                for (Change change : changes) {
                    if (change.version > after && change.key.startsWith(prefix)) {
                        events.add(
                                change.value == null
                                        ? Json.of("delete", change.key, "mark", change.version)
                                        : Json.of("write", change.key, "value", change.value, "mark", change.version));
                    }
                }
                if (!events.isEmpty() && !answered[0]) {
                    answered[0] = true;
                    watchers.remove(this);
                    reply.send(200, Json.of("ledger", revision, "events", events));
                }
            }
        };
        check.run();
        if (!answered[0]) {
            watchers.add(check);
            clock.after(waitMicros, () -> answerAfterTimeout(answered, check, reply));
        }
    }

    /** Answers a watch whose waiting time is over. It stays open during an outage. */
    private void answerAfterTimeout(boolean[] answered, Runnable check, Server.Reply reply) {
        if (answered[0]) {
            return;
        }
        if (down) {
            clock.after(100_000, () -> answerAfterTimeout(answered, check, reply));
            return;
        }
        // The response names the newest revision, so it must contain all changes committed up to that revision.
        check.run();
        if (!answered[0]) {
            answered[0] = true;
            watchers.remove(check);
            reply.send(200, Json.of("ledger", revision, "events", List.of()));
        }
    }

    private void notifyWatchers() {
        clock.after(0, () -> {
            if (!down) {
                new ArrayList<>(watchers).forEach(Runnable::run);
            }
        });
    }
}
