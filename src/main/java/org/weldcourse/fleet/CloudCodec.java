package org.weldcourse.fleet;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.weldcourse.fleet.CloudClient.ListedMachine;
import org.weldcourse.fleet.CloudClient.Outcome;
import org.weldcourse.http.HttpClient;
import org.weldcourse.http.Json;

/**
 * Paths and JSON encoding of the cloud API. The API's field names differ from the terms used in code: {@code hire} is
 * the request id, {@code forge} a machine, {@code rig} a machine type, {@code yard} a zone, {@code loaners} spot,
 * {@code heat} the machine's state. Times are in seconds, sizes in GB and prices per hour. The record of machine types
 * in the store has the same format as the cloud's response.
 */
final class CloudCodec {
    static final String MACHINE_TYPES_PATH = "/machine_types";
    static final String LAUNCH_PATH = "/machines";
    static final String DELETE_PATH = "/machines/release";
    /** Maximum page size that the cloud accepts. */
    private static final int PAGE_SIZE = 500;

    private CloudCodec() {}

    /** Path of one page of the machine list, starting after the machine {@code after} (null for the first page). */
    static String listPath(String after) {
        return "/machines?" + (after == null ? "" : "after=" + after + "&") + "most=" + PAGE_SIZE;
    }

    static Map<String, Object> launchRequest(String requestId, Offering offering, int count) {
        return Json.of(
                "hire",
                requestId,
                "rig",
                offering.type(),
                "yard",
                offering.zone(),
                "loaners",
                offering.spot(),
                "number",
                count);
    }

    static Map<String, Object> deleteRequest(List<String> machines) {
        return Json.of("forges", machines);
    }

    /** Maps a response to an outcome; status 0 means no response and -1 means that the request was not sent. */
    static Outcome outcome(HttpClient.Response response) {
        return switch (response.status()) {
            case 200 -> Outcome.OK;
            case 429 -> Outcome.RATE_LIMITED;
            case 503 ->
                "no capacity".equals(Json.text(response.body(), "error")) ? Outcome.NO_CAPACITY : Outcome.UNAVAILABLE;
            case -1 -> Outcome.UNAVAILABLE;
            case 0 -> Outcome.UNKNOWN;
            default -> Outcome.INVALID;
        };
    }

    /** Decodes the names of the launched machines. */
    static List<String> launchedMachines(Map<String, Object> body) {
        List<String> names = new ArrayList<>();
        for (Object name : Json.list(body.get("forges"))) {
            if (name instanceof String text) {
                names.add(text);
            }
        }
        return names;
    }

    /** Decodes one page of the machine list; entries without a name are skipped. */
    static List<ListedMachine> listedMachines(Map<String, Object> body) {
        List<ListedMachine> machines = new ArrayList<>();
        for (Object item : Json.list(body.get("forges"))) {
            Map<String, Object> machine = Json.object(item);
            String name = Json.text(machine, "name_id");
            if (name == null) {
                continue;
            }
            String state = Json.text(machine, "heat");
            machines.add(new ListedMachine(
                    name,
                    new Offering(Json.text(machine, "rig"), Json.text(machine, "yard"), Json.flag(machine, "loaners")),
                    "starting".equals(state),
                    "failed".equals(state),
                    Math.round(Json.decimal(machine, "held_s", 0) * 1e6)));
        }
        return machines;
    }

    static boolean hasNextPage(Map<String, Object> body) {
        return Json.flag(body, "has_next");
    }

    /** Decodes the machine types in a response of the cloud or in the store's record; invalid entries are skipped. */
    static List<MachineType> machineTypes(Map<String, Object> body) {
        List<MachineType> types = new ArrayList<>();
        for (Object item : Json.list(body.get("rigs"))) {
            Map<String, Object> type = Json.object(item);
            List<String> zones = new ArrayList<>();
            for (Object zone : Json.list(type.get("yards"))) {
                zones.add(String.valueOf(zone));
            }
            String name = Json.text(type, "name");
            double cpus = Json.decimal(type, "cpus", 0);
            if (name == null || cpus <= 0) {
                continue;
            }
            types.add(new MachineType(
                    name,
                    cpus,
                    Json.decimal(type, "gpus", 0),
                    Json.decimal(type, "mem_gb", 0),
                    Json.decimal(type, "local_gb", 0),
                    Json.decimal(type, "pull_gb_per_s", 0.1),
                    Json.decimal(type, "price", 0),
                    Json.decimal(type, "spot_price", 0),
                    Math.round(Json.decimal(type, "ready_s", 60) * 1e6),
                    List.copyOf(zones)));
        }
        return types;
    }
}
