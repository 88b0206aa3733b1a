package org.weldcourse.fleet;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.weldcourse.http.HttpClient;

/**
 * Client of the cloud API that launches, lists and deletes machines. Every result carries an {@link Outcome};
 * callbacks run on the event loop.
 */
public final class CloudClient {
    /** Maximum number of machines in one launch request. */
    static final int MAX_MACHINES_PER_LAUNCH = 50;
    /** Maximum number of machines in one delete request. */
    static final int MAX_MACHINES_PER_DELETE = 100;

    private static final long TIMEOUT_MICROS = 4_000_000;

    private final HttpClient httpClient;
    private final String address;

    /** Creates a client of the cloud API at {@code host:port}. */
    public CloudClient(HttpClient httpClient, String address) {
        this.httpClient = httpClient;
        this.address = address;
    }

    /** Result of a call. Only {@link #UNKNOWN} leaves open whether it took effect. */
    public enum Outcome {
        /** 200: the call succeeded. */
        OK,
        /** 503 "no capacity": no machine of the requested offering is available. */
        NO_CAPACITY,
        /** 429: not carried out. The cloud's request rate limit was exceeded. */
        RATE_LIMITED,
        /** Any other 503, or not sent: not carried out, because of an outage or a network partition. */
        UNAVAILABLE,
        /** Timeout or lost connection: the call may have been carried out, or may still be carried out later. */
        UNKNOWN,
        /** 400 or an unexpected status: not carried out. */
        INVALID;

        /** Returns whether the call succeeded. */
        public boolean ok() {
            return this == OK;
        }
    }

    /**
     * The available machine types.
     *
     * @param types empty unless the outcome is {@link Outcome#OK}
     * @param body the unmodified response body, which is kept as a record in the store
     */
    public record MachineTypes(Outcome outcome, List<MachineType> types, Map<String, Object> body) {}

    /** The result of a launch request: the names of the launched machines, fewer than requested if capacity ran out. */
    public record LaunchResult(Outcome outcome, List<String> machines) {}

    /** The list of all machines; empty unless the outcome is {@link Outcome#OK}. */
    public record MachineList(Outcome outcome, List<ListedMachine> machines) {}

    /**
     * A machine on the cloud's list, which may be out of date.
     *
     * @param starting whether the machine is still booting
     * @param failed whether the machine stopped on its own; it is no longer billed but stays listed until deleted
     * @param ageMicros the time since the launch request, in microseconds
     */
    public record ListedMachine(String name, Offering offering, boolean starting, boolean failed, long ageMicros) {}

    /** Fetches the machine types with their current prices. */
    public void machineTypes(Consumer<MachineTypes> callback) {
        send("GET", CloudCodec.MACHINE_TYPES_PATH, null, response -> {
            List<MachineType> types = response.ok() ? CloudCodec.machineTypes(response.body()) : List.of();
            callback.accept(new MachineTypes(CloudCodec.outcome(response), types, response.body()));
        });
    }

    /**
     * Launches up to {@code count} machines (at most {@value #MAX_MACHINES_PER_LAUNCH}). The request id makes retries
     * idempotent: a second request with the same id launches nothing, so each launch needs an id of its own.
     */
    public void launch(String requestId, Offering offering, int count, Consumer<LaunchResult> callback) {
        send(
                "POST",
                CloudCodec.LAUNCH_PATH,
                CloudCodec.launchRequest(requestId, offering, count),
                response -> callback.accept(
                        new LaunchResult(CloudCodec.outcome(response), CloudCodec.launchedMachines(response.body()))));
    }

    /**
     * Deletes machines (at most {@value #MAX_MACHINES_PER_DELETE}). Only {@link Outcome#OK} confirms that the machines
     * and all tasks on them are gone.
     */
    public void delete(List<String> machines, Consumer<Outcome> callback) {
        send(
                "POST",
                CloudCodec.DELETE_PATH,
                CloudCodec.deleteRequest(machines),
                response -> callback.accept(CloudCodec.outcome(response)));
    }

    /** Lists all machines, page by page. If a page fails, the whole list fails with that page's outcome. */
    public void list(Consumer<MachineList> callback) {
        listPage(null, new ArrayList<>(), callback);
    }

    private void listPage(String after, List<ListedMachine> machines, Consumer<MachineList> callback) {
        send("GET", CloudCodec.listPath(after), null, response -> {
            if (!response.ok()) {
                callback.accept(new MachineList(CloudCodec.outcome(response), List.of()));
                return;
            }
            machines.addAll(CloudCodec.listedMachines(response.body()));
            if (CloudCodec.hasNextPage(response.body()) && !machines.isEmpty()) {
                listPage(machines.get(machines.size() - 1).name(), machines, callback);
            } else {
                callback.accept(new MachineList(Outcome.OK, machines));
            }
        });
    }

    private void send(String method, String path, Map<String, Object> body, HttpClient.Callback callback) {
        httpClient.call(new HttpClient.Call(address, method, path, body, TIMEOUT_MICROS), callback);
    }
}
