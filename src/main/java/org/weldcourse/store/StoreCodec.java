package org.weldcourse.store;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.weldcourse.http.Json;
import org.weldcourse.store.Store.Entry;
import org.weldcourse.store.Store.Event;
import org.weldcourse.store.Store.Outcome;

/**
 * Paths and JSON encoding of the store's HTTP API. The API's field names differ from the terms used in code:
 * {@code mark} is the mod revision, {@code ledger} the store revision, {@code permit} the lease id, {@code grants} the
 * leases.
 */
final class StoreCodec {
    static final String COMMIT_PATH = "/commit";
    static final String LEASES_PATH = "/grants";

    /** Maximum page size that the store accepts. */
    private static final int PAGE_SIZE = 1000;

    private StoreCodec() {}

    static String keyPath(String key) {
        return "/store/" + key;
    }

    /** Path of one page of the keys with a prefix, starting after the key {@code after} (null for the first page). */
    static String listPath(String prefix, String after) {
        return "/store?starts=" + prefix + (after == null ? "" : "&after=" + after) + "&most=" + PAGE_SIZE;
    }

    static String watchPath(String prefix, long afterRevision, long waitMicros) {
        return "/watch?starts=" + prefix + "&after=" + afterRevision + "&block_ms=" + waitMicros / 1000;
    }

    static String leasePath(long leaseId) {
        return LEASES_PATH + "/" + leaseId;
    }

    static String renewalPath(long leaseId) {
        return leasePath(leaseId) + "/extend";
    }

    /** Body of a lease request; the API takes whole milliseconds. */
    static Map<String, Object> leaseRequest(long ttlMicros) {
        return Json.of("ttl_ms", ttlMicros / 1000);
    }

    static long leaseId(Map<String, Object> body) {
        return Json.integer(body, "permit", 0);
    }

    /** The store revision in a response, or {@code defaultRevision} if it has none. */
    static long revision(Map<String, Object> body, long defaultRevision) {
        return Json.integer(body, "ledger", defaultRevision);
    }

    /** The keys whose compare conditions failed. */
    static List<Object> failedKeys(Map<String, Object> body) {
        return Json.list(body.get("failed"));
    }

    /** Decodes the response to a read of one key. */
    static Entry entry(String key, Map<String, Object> body) {
        return new Entry(key, Json.object(body.get("value")), Json.integer(body, "mark", 0), leaseId(body));
    }

    /** Decodes the entries on one page of a listing. */
    static List<Entry> pageEntries(Map<String, Object> body) {
        List<Entry> entries = new ArrayList<>();
        for (Object item : Json.list(body.get("pairs"))) {
            Map<String, Object> pair = Json.object(item);
            entries.add(entry(Json.text(pair, "path"), pair));
        }
        return entries;
    }

    static boolean hasNextPage(Map<String, Object> body) {
        return Json.flag(body, "has_next");
    }

    /** Decodes the changes in a watch response, in order. */
    static List<Event> events(Map<String, Object> body) {
        List<Event> events = new ArrayList<>();
        for (Object item : Json.list(body.get("events"))) {
            Map<String, Object> event = Json.object(item);
            String written = Json.text(event, "write");
            events.add(
                    written != null
                            ? new Event(written, Json.object(event.get("value")), Json.integer(event, "mark", 0))
                            : new Event(Json.text(event, "delete"), null, Json.integer(event, "mark", 0)));
        }
        return events;
    }

    /** Maps an HTTP status to an outcome; 0 means no response and -1 means that the request was not sent. */
    static Outcome outcome(int status) {
        return switch (status) {
            case 200 -> Outcome.OK;
            case 404, 409, 410 -> Outcome.REFUSED;
            case 429 -> Outcome.RATE_LIMITED;
            case 503, -1 -> Outcome.UNAVAILABLE;
            case 0 -> Outcome.UNKNOWN;
            default -> Outcome.INVALID;
        };
    }
}
