package rev;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** The state service, as PROTOCOL describes it. Revisions are unsigned 64-bit integers. */
final class StateService implements Http.Handler {
    private static final int KEPT_CHANGES = 10_000;
    private static final int MAX_ITEMS = 1_000;
    private static final int MAX_LIST_BYTES = 512 * 1024;
    private static final int MAX_COMMIT_BYTES = 64 * 1024;

    private record Value(String json, long mark, long permit) {}

    private record Change(String key, String json, long mark) {}

    private static final class Lease {
        final long ttlMillis;
        long endNanos;

        Lease(long ttlMillis) {
            this.ttlMillis = ttlMillis;
            renew();
        }

        void renew() {
            endNanos = System.nanoTime() + ttlMillis * 1_000_000;
        }
    }

    private final Record record;
    private final int valueBytes;
    private final int operations;
    private final Bucket requests;
    private final Bucket writes;
    private final TreeMap<String, Value> values = new TreeMap<>();
    private final ArrayDeque<Change> changes = new ArrayDeque<>();
    private final Map<Long, Lease> leases = new HashMap<>();
    private long ledger;
    private long dropped;
    private long lastPermit;
    private long largestWatch;

    /** {@code firstLedger} is the revision that the service has reached before the run. */
    StateService(Record record, double rps, double writeRps, int valueKb, int operations, long firstLedger) {
        this.record = record;
        this.requests = new Bucket(rps, 1);
        this.writes = new Bucket(writeRps, 1);
        this.valueBytes = valueKb * 1024;
        this.operations = operations;
        this.ledger = firstLedger;
        this.dropped = firstLedger;
        Http.daemon("leases", () -> {
            while (true) {
                pause(20);
                synchronized (this) {
                    expire();
                }
            }
        });
    }

    static void pause(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException interrupted) {
            throw new IllegalStateException(interrupted);
        }
    }

    synchronized long ledger() {
        return ledger;
    }

    synchronized long largestWatch() {
        return largestWatch;
    }

    synchronized String value(String key) {
        Value value = values.get(key);
        return value == null ? null : value.json;
    }

    synchronized int count(String prefix) {
        int count = 0;
        for (String key : values.tailMap(prefix).keySet()) {
            if (!key.startsWith(prefix)) {
                break;
            }
            count++;
        }
        return count;
    }

    @Override
    public Http.Response handle(Http.Request request) {
        try {
            return answer(request);
        } catch (NumberFormatException malformed) {
            return error(400, "malformed");
        }
    }

    private Http.Response answer(Http.Request request) {
        pause(2);
        if (!requests.take(1)) {
            return error(429, "rate");
        }
        String path = request.path();
        if (path.startsWith("/watch?")) {
            return watch(path);
        }
        synchronized (this) {
            expire();
            if (path.startsWith("/store/")) {
                return get(path.substring("/store/".length()));
            } else if (path.startsWith("/store?")) {
                return list(path);
            } else if (path.equals("/commit")) {
                return commit(request);
            } else if (path.equals("/grants")) {
                long permit = ++lastPermit;
                leases.put(permit, new Lease(Json.integer(Json.object(request.text()).get("ttl_ms"), 0)));
                return Http.Response.of(200, Json.of("permit", permit));
            } else if (path.startsWith("/grants/")) {
                return lease(request.method(), path.split("/"));
            }
        }
        return error(400, "malformed");
    }

    private static Http.Response error(int status, String text) {
        return Http.Response.of(status, Json.of("error", text));
    }

    private static String parameter(String path, String name, String otherwise) {
        for (String part : path.substring(path.indexOf('?') + 1).split("&")) {
            if (part.startsWith(name + "=")) {
                return part.substring(name.length() + 1);
            }
        }
        return otherwise;
    }

    private Http.Response lease(String method, String[] parts) {
        long permit = Long.parseUnsignedLong(parts[2]);
        Lease lease = leases.get(permit);
        if (method.equals("DELETE")) {
            if (lease != null) {
                end(permit);
            }
            return Http.Response.of(lease == null ? 404 : 200, Map.of());
        }
        if (lease == null) {
            return error(404, "no such lease");
        }
        lease.renew();
        return Http.Response.of(200, Map.of());
    }

    private void expire() {
        long now = System.nanoTime();
        for (Map.Entry<Long, Lease> entry : new ArrayList<>(leases.entrySet())) {
            if (entry.getValue().endNanos < now) {
                end(entry.getKey());
            }
        }
    }

    private void end(long permit) {
        leases.remove(permit);
        List<String> attached = new ArrayList<>();
        values.forEach((key, value) -> {
            if (value.permit == permit) {
                attached.add(key);
            }
        });
        if (!attached.isEmpty()) {
            ledger++;
            attached.forEach(key -> put(key, null, 0));
        }
    }

    private void put(String key, String json, long permit) {
        if (json == null) {
            if (values.remove(key) == null) {
                return;
            }
        } else {
            values.put(key, new Value(json, ledger, permit));
        }
        changes.add(new Change(key, json, ledger));
        while (changes.size() > KEPT_CHANGES) {
            dropped = changes.poll().mark;
        }
        if (key.equals("leader")) {
            record.line("state: leader is now %s", json);
        }
        notifyAll();
    }

    private Http.Response get(String key) {
        Value value = values.get(key);
        if (value == null) {
            return new Http.Response(404, "{\"ledger\":" + Long.toUnsignedString(ledger) + "}", Map.of());
        }
        String permit = value.permit == 0 ? "" : ",\"permit\":" + value.permit;
        return new Http.Response(
                200,
                "{\"path\":" + Json.write(key) + ",\"value\":" + value.json + ",\"mark\":"
                        + Long.toUnsignedString(value.mark) + permit + "}",
                Map.of());
    }

    private Http.Response list(String path) {
        String prefix = parameter(path, "starts", "");
        String after = parameter(path, "after", null);
        int most = Math.min(MAX_ITEMS, Integer.parseInt(parameter(path, "most", "1000")));
        StringBuilder pairs = new StringBuilder();
        int count = 0;
        boolean more = false;
        for (Map.Entry<String, Value> entry :
                values.tailMap(after == null ? prefix : after, after == null).entrySet()) {
            if (!entry.getKey().startsWith(prefix)) {
                break;
            }
            String item = "{\"path\":" + Json.write(entry.getKey()) + ",\"value\":" + entry.getValue().json
                    + ",\"mark\":" + Long.toUnsignedString(entry.getValue().mark) + "}";
            if (count == most || count > 0 && pairs.length() + item.length() > MAX_LIST_BYTES - 200) {
                more = true;
                break;
            }
            pairs.append(count == 0 ? "" : ",").append(item);
            count++;
        }
        return new Http.Response(
                200,
                "{\"pairs\":[" + pairs + "],\"has_next\":" + more + ",\"ledger\":" + Long.toUnsignedString(ledger)
                        + "}",
                Map.of());
    }

    private Http.Response commit(Http.Request request) {
        Map<String, Object> body = Json.object(request.text());
        List<Object> then = Json.list(body.get("then"));
        List<Object> guards = Json.list(body.get("guards"));
        if (request.body().length > MAX_COMMIT_BYTES || then.size() > operations || guards.size() > 4 * operations) {
            record.line("state: 400, a transaction is too large: %d changes, %d bytes", then.size(),
                    request.body().length);
            return error(400, "too large");
        }
        for (Object item : then) {
            Map<String, Object> operation = Json.map(item);
            Object value = operation.get("write") == null ? null : operation.get("value");
            if (value != null && Json.write(value).length() > valueBytes) {
                record.line("state: 400, a value is too large: %s", operation.get("write"));
                return error(400, "value too large");
            }
            long permit = Json.integer(operation.get("permit"), 0);
            if (permit != 0 && !leases.containsKey(permit)) {
                return error(400, "no such lease");
            }
        }
        if (!writes.take(then.size())) {
            return error(429, "rate");
        }
        List<Object> failed = new ArrayList<>();
        for (Object item : guards) {
            Map<String, Object> guard = Json.map(item);
            Value value = values.get((String) guard.get("path"));
            if ((value == null ? 0 : value.mark) != Json.integer(guard.get("mark"), 0)) {
                failed.add(guard.get("path"));
            }
        }
        if (!failed.isEmpty()) {
            return new Http.Response(
                    409,
                    "{\"failed\":" + Json.write(failed) + ",\"ledger\":" + Long.toUnsignedString(ledger) + "}",
                    Map.of());
        }
        if (!then.isEmpty()) {
            ledger++;
        }
        for (Object item : then) {
            Map<String, Object> operation = Json.map(item);
            if (operation.get("write") != null) {
                put((String) operation.get("write"), Json.write(operation.get("value")),
                        Json.integer(operation.get("permit"), 0));
            } else {
                put((String) operation.get("delete"), null, 0);
            }
        }
        return new Http.Response(200, "{\"ledger\":" + Long.toUnsignedString(ledger) + "}", Map.of());
    }

    private Http.Response watch(String path) {
        String prefix = parameter(path, "starts", "");
        long after = Long.parseUnsignedLong(parameter(path, "after", "0"));
        long end = System.nanoTime() + Long.parseLong(parameter(path, "block_ms", "0")) * 1_000_000;
        synchronized (this) {
            while (true) {
                if (Long.compareUnsigned(after, dropped) < 0) {
                    return new Http.Response(
                            410, "{\"error\":\"too old\",\"ledger\":" + Long.toUnsignedString(ledger) + "}", Map.of());
                }
                StringBuilder events = new StringBuilder();
                for (Change change : changes) {
                    if (Long.compareUnsigned(change.mark, after) > 0 && change.key.startsWith(prefix)) {
                        events.append(events.length() == 0 ? "" : ",");
                        events.append(change.json == null ? "{\"delete\":" : "{\"write\":");
                        events.append(Json.write(change.key));
                        if (change.json != null) {
                            events.append(",\"value\":").append(change.json);
                        }
                        events.append(",\"mark\":").append(Long.toUnsignedString(change.mark)).append('}');
                    }
                }
                long left = (end - System.nanoTime()) / 1_000_000;
                if (events.length() > 0 || left <= 0) {
                    largestWatch = Math.max(largestWatch, events.length());
                    if (events.length() > 1_000_000) {
                        record.line("state: a watch of %s after %s is answered with %d bytes", prefix,
                                Long.toUnsignedString(after), events.length());
                    }
                    return new Http.Response(
                            200,
                            "{\"ledger\":" + Long.toUnsignedString(ledger) + ",\"events\":[" + events + "]}",
                            Map.of());
                }
                try {
                    wait(left);
                } catch (InterruptedException interrupted) {
                    throw new IllegalStateException(interrupted);
                }
            }
        }
    }
}
