package org.weldcourse.fleet;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.weldcourse.http.Caller;

/**
 * Client of the cloud API that launches and deletes machines. Every result carries an {@link Outcome} that says what
 * went wrong where something did; results are handed over on the event loop.
 */
public final class CloudClient {
    /** The most machines that one launch request may ask for. */
    static final int MAX_MACHINES_PER_LAUNCH = 50;
    /** The most machines that one delete request may name. */
    static final int MAX_MACHINES_PER_DELETE = 100;

    private static final long TIMEOUT_MICROS = 4_000_000;

    private final Caller caller;
    private final String address;

    /** The cloud API at {@code host:port}. */
    public CloudClient(Caller caller, String address) {
        this.caller = caller;
        this.address = address;
    }

    /** How a call ended. Only {@link #UNKNOWN} leaves open whether it took effect. */
    public enum Outcome {
        /** 200: carried out. */
        OK,
        /** 503 "no capacity": none available of the offering asked for. */
        NO_CAPACITY,
        /** 429, not carried out: over the rate of calls that the cloud allows. */
        RATE_LIMITED,
        /** Any other 503, or never sent: not carried out, in an outage or while this node is cut off. */
        UNAVAILABLE,
        /** No response in time: carried out, or not, or carried out later. */
        UNKNOWN,
        /** 400 or a status that the protocol does not name: not carried out. */
        INVALID;

        /** Whether the call was carried out. */
        public boolean ok() {
            return this == OK;
        }
    }

    /**
     * The machine types on offer.
     *
     * @param types empty unless the outcome is {@link Outcome#OK}
     * @param body the response as it came, to be kept on record
     */
    public record MachineTypes(Outcome outcome, List<MachineType> types, Map<String, Object> body) {}

    /**
     * What came of a launch request: the names of the machines launched, fewer than asked for where capacity ran out.
     */
    public record LaunchResult(Outcome outcome, List<String> machines) {}

    /** The list of machines; empty unless the outcome is {@link Outcome#OK}. */
    public record MachineList(Outcome outcome, List<ListedMachine> machines) {}

    /**
     * A machine as the cloud lists it, with a lag.
     *
     * @param starting not up yet
     * @param failed stopped by itself: it costs nothing any more, and stays listed until it is deleted
     * @param ageMicros the time since its launch was requested, in microseconds
     */
    public record ListedMachine(String name, Offering offering, boolean starting, boolean failed, long ageMicros) {}

    /** Asks for the machine types with their current prices. */
    public void machineTypes(Consumer<MachineTypes> callback) {
        send("GET", CloudCodec.MACHINE_TYPES_PATH, null, response -> {
            List<MachineType> types = response.ok() ? CloudCodec.machineTypes(response.body()) : List.of();
            callback.accept(new MachineTypes(CloudCodec.outcome(response), types, response.body()));
        });
    }

    /**
     * Launches up to {@code count} machines ({@value #MAX_MACHINES_PER_LAUNCH} at most). The request is idempotent:
     * sent again under the same id it launches nothing more, so that the id must never be used for another request.
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
     * Deletes machines ({@value #MAX_MACHINES_PER_DELETE} at most). Only {@link Outcome#OK} shows that they and all
     * that ran on them are gone.
     */
    public void delete(List<String> machines, Consumer<Outcome> callback) {
        send(
                "POST",
                CloudCodec.DELETE_PATH,
                CloudCodec.deleteRequest(machines),
                response -> callback.accept(CloudCodec.outcome(response)));
    }

    /** Lists all machines, page by page; the first page that fails ends the list with its outcome. */
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

    private void send(String method, String path, Map<String, Object> body, Caller.Done callback) {
        caller.call(new Caller.Call(address, method, path, body, TIMEOUT_MICROS), callback);
    }
}
