package review;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/** The state service. Each controller has a port of its own, so that a fault can hit one of them alone. */
final class Store {
    private static final int KEPT_CHANGES = 10_000;

    private record Entry(Object value, long mark, long permit) {}

    private record Change(long ledger, String key, Object value) {}

    private static final class Grant {
        long ttlNanos;
        long endsNanos;
        final Set<String> keys = new HashSet<>();
    }

    private final TreeMap<String, Entry> entries = new TreeMap<>();
    private final ArrayList<Change> changes = new ArrayList<>();
    private final Map<Long, Grant> grants = new HashMap<>();
    private final Map<String, Boolean> cut = new HashMap<>();
    private long ledger = 1;
    private long lastPermit;
    private final double rps;
    private final double writeRps;
    private final int valueBytes;
    private final int txnOps;
    private double requestTokens;
    private double writeTokens;
    private long refilled = System.nanoTime();
    final Map<String, Integer> ports = new LinkedHashMap<>();

    Store(List<String> nodes, double rps, double writeRps, int valueKb, int txnOps) throws Exception {
        this.rps = rps;
        this.writeRps = writeRps;
        this.valueBytes = valueKb * 1024;
        this.txnOps = txnOps;
        requestTokens = rps;
        writeTokens = writeRps;
        for (String node : nodes) {
            ports.put(
                    node,
                    Http.serve((method, path, query, body) -> handle(node, method, path, query, body))
                            .getAddress()
                            .getPort());
        }
        Http.run(this::expire);
    }

    /** Cuts the link of one node: its requests are lost and its open watches hear nothing. */
    synchronized void cut(String node, boolean isCut) {
        cut.put(node, isCut);
        notifyAll();
    }

    synchronized Object value(String key) {
        Entry entry = entries.get(key);
        return entry == null ? null : entry.value;
    }

    private synchronized void expire() {
        while (true) {
            long now = System.nanoTime();
            for (Long permit : new ArrayList<>(grants.keySet())) {
                if (now - grants.get(permit).endsNanos > 20_000_000) {
                    end(permit);
                }
            }
            try {
                wait(20);
            } catch (InterruptedException interrupted) {
                return;
            }
        }
    }

    private void end(long permit) {
        Grant grant = grants.remove(permit);
        if (grant == null || grant.keys.isEmpty()) {
            return;
        }
        ledger++;
        for (String key : grant.keys) {
            entries.remove(key);
            changed(new Change(ledger, key, null));
        }
        notifyAll();
    }

    private void changed(Change change) {
        changes.add(change);
        if (changes.size() > KEPT_CHANGES) {
            changes.remove(0);
        }
    }

    private boolean take(boolean request, int writes) {
        long now = System.nanoTime();
        double seconds = (now - refilled) / 1e9;
        refilled = now;
        requestTokens = Math.min(rps, requestTokens + seconds * rps);
        writeTokens = Math.min(writeRps, writeTokens + seconds * writeRps);
        if (request) {
            if (requestTokens < 1) {
                return false;
            }
            requestTokens--;
            return true;
        }
        if (writeTokens < writes) {
            return false;
        }
        writeTokens -= writes;
        return true;
    }

    private boolean isCut(String node) {
        return cut.getOrDefault(node, false);
    }

    private Http.Answer handle(String node, String method, String path, Map<String, String> query, String body)
            throws InterruptedException {
        synchronized (this) {
            if (isCut(node)) {
                while (isCut(node)) {
                    wait();
                }
                return null;
            }
            if (!take(true, 0)) {
                return Http.answer(429, "error", "too many");
            }
        }
        Thread.sleep(2);
        Http.Answer answer = path.equals("/watch") ? watch(node, query) : answer(method, path, query, body);
        synchronized (this) {
            if (isCut(node)) {
                while (isCut(node)) {
                    wait();
                }
                return null;
            }
        }
        return answer;
    }

    private synchronized Http.Answer watch(String node, Map<String, String> query) throws InterruptedException {
        String prefix = query.get("starts");
        long after = Long.parseLong(query.get("after"));
        long until = System.nanoTime() + Long.parseLong(query.getOrDefault("block_ms", "0")) * 1_000_000;
        while (true) {
            if (changes.size() == KEPT_CHANGES && after < changes.get(0).ledger - 1) {
                return Http.answer(410, "error", "too old");
            }
            List<Object> events = new ArrayList<>();
            for (int i = changes.size() - 1; i >= 0 && changes.get(i).ledger > after; i--) {
                Change change = changes.get(i);
                if (change.key.startsWith(prefix)) {
                    events.add(
                            0,
                            change.value == null
                                    ? Json.of("delete", change.key, "mark", change.ledger)
                                    : Json.of("write", change.key, "value", change.value, "mark", change.ledger));
                }
            }
            long left = (until - System.nanoTime()) / 1_000_000;
            if (!isCut(node) && (!events.isEmpty() || left <= 0)) {
                return Http.answer(200, "ledger", ledger, "events", events);
            }
            wait(isCut(node) ? 1000 : Math.max(1, left));
        }
    }

    private synchronized Http.Answer answer(String method, String path, Map<String, String> query, String body) {
        if (path.equals("/store")) {
            return list(query);
        }
        if (path.startsWith("/store/")) {
            String key = path.substring("/store/".length());
            Entry entry = entries.get(key);
            return entry == null
                    ? Http.answer(404, "ledger", ledger)
                    : new Http.Answer(200, pair(key, entry), null);
        }
        if (path.equals("/commit")) {
            return commit(Json.object(body), body.length());
        }
        if (path.equals("/grants")) {
            Grant grant = new Grant();
            grant.ttlNanos = Json.integer(Json.object(body), "ttl_ms", 0) * 1_000_000;
            grant.endsNanos = System.nanoTime() + grant.ttlNanos;
            grants.put(++lastPermit, grant);
            return Http.answer(200, "permit", lastPermit);
        }
        if (path.startsWith("/grants/")) {
            String[] parts = path.split("/");
            long permit = Long.parseLong(parts[2]);
            Grant grant = grants.get(permit);
            if (grant == null) {
                return Http.answer(404, "error", "no such lease");
            }
            if (method.equals("DELETE")) {
                end(permit);
            } else {
                grant.endsNanos = System.nanoTime() + grant.ttlNanos;
            }
            return Http.answer(200, "permit", permit);
        }
        return Http.answer(400, "error", "no such path");
    }

    private static Map<String, Object> pair(String key, Entry entry) {
        Map<String, Object> pair = Json.of("path", key, "value", entry.value, "mark", entry.mark);
        if (entry.permit != 0) {
            pair.put("permit", entry.permit);
        }
        return pair;
    }

    private Http.Answer list(Map<String, String> query) {
        String prefix = query.get("starts");
        String after = query.get("after");
        int most = Math.min(1000, Integer.parseInt(query.getOrDefault("most", "1000")));
        List<Object> pairs = new ArrayList<>();
        int bytes = 0;
        boolean more = false;
        for (Map.Entry<String, Entry> entry : entries.tailMap(prefix).entrySet()) {
            if (!entry.getKey().startsWith(prefix)) {
                break;
            }
            if (after != null && entry.getKey().compareTo(after) <= 0) {
                continue;
            }
            Map<String, Object> pair = pair(entry.getKey(), entry.getValue());
            bytes += Json.text(pair).length();
            if (pairs.size() >= most || bytes > 512 * 1024 && !pairs.isEmpty()) {
                more = true;
                break;
            }
            pairs.add(pair);
        }
        return Http.answer(200, "pairs", pairs, "has_next", more, "ledger", ledger);
    }

    private Http.Answer commit(Map<String, Object> body, int bytes) {
        List<?> guards = Json.list(body, "guards");
        List<?> then = Json.list(body, "then");
        if (then.size() > txnOps || guards.size() > 4 * txnOps || bytes > 64 * 1024) {
            return Http.answer(400, "error", "too large");
        }
        if (!take(false, then.size())) {
            return Http.answer(429, "error", "too many changes");
        }
        for (Object item : then) {
            Map<String, Object> change = Json.map(item);
            if (change.containsKey("permit") && !grants.containsKey(Json.integer(change, "permit", 0))) {
                return Http.answer(400, "error", "no such lease");
            }
            if (change.containsKey("write") && Json.text(change.get("value")).length() > valueBytes) {
                return Http.answer(400, "error", "value too large");
            }
        }
        List<Object> failed = new ArrayList<>();
        for (Object item : guards) {
            Map<String, Object> guard = Json.map(item);
            Entry entry = entries.get(Json.string(guard, "path"));
            if ((entry == null ? 0 : entry.mark) != Json.integer(guard, "mark", 0)) {
                failed.add(guard.get("path"));
            }
        }
        if (!failed.isEmpty()) {
            return Http.answer(409, "failed", failed, "ledger", ledger);
        }
        if (then.isEmpty()) {
            return Http.answer(200, "ledger", ledger);
        }
        ledger++;
        for (Object item : then) {
            Map<String, Object> change = Json.map(item);
            boolean write = change.containsKey("write");
            String key = Json.string(change, write ? "write" : "delete");
            Entry old = entries.remove(key);
            if (old != null && old.permit != 0 && grants.containsKey(old.permit)) {
                grants.get(old.permit).keys.remove(key);
            }
            if (write) {
                long permit = Json.integer(change, "permit", 0);
                entries.put(key, new Entry(change.get("value"), ledger, permit));
                if (permit != 0) {
                    grants.get(permit).keys.add(key);
                }
                changed(new Change(ledger, key, change.get("value")));
            } else if (old != null) {
                changed(new Change(ledger, key, null));
            }
        }
        notifyAll();
        return Http.answer(200, "ledger", ledger);
    }
}
