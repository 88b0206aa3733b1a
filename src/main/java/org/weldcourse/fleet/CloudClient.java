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
        /** No answer in time: carried out, or not, or carried out later. */
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
     * @param body the answer as it came, to be kept on record
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
    public void machineTypes(Consumer<MachineTypes> then) {
        send("GET", CloudCodec.MACHINE_TYPES_PATH, null, answer -> {
            List<MachineType> types = answer.ok() ? CloudCodec.machineTypes(answer.body()) : List.of();
            then.accept(new MachineTypes(CloudCodec.outcome(answer), types, answer.body()));
        });
    }

    /**
     * Launches up to {@code count} machines ({@value #MAX_MACHINES_PER_LAUNCH} at most). The request is idempotent:
     * sent again under the same id it launches nothing more, so that the id must never be used for another request.
     */
    public void launch(String requestId, Offering offering, int count, Consumer<LaunchResult> then) {
        send(
                "POST",
                CloudCodec.LAUNCH_PATH,
                CloudCodec.launchRequest(requestId, offering, count),
                answer -> then.accept(
                        new LaunchResult(CloudCodec.outcome(answer), CloudCodec.launchedMachines(answer.body()))));
    }

    /**
     * Deletes machines ({@value #MAX_MACHINES_PER_DELETE} at most). Only {@link Outcome#OK} shows that they and all
     * that ran on them are gone.
     */
    public void delete(List<String> machines, Consumer<Outcome> then) {
        send(
                "POST",
                CloudCodec.DELETE_PATH,
                CloudCodec.deleteRequest(machines),
                answer -> then.accept(CloudCodec.outcome(answer)));
    }

    /** Lists all machines, page by page; the first page that fails ends the list with its outcome. */
    public void list(Consumer<MachineList> then) {
        page(null, new ArrayList<>(), then);
    }

    private void page(String after, List<ListedMachine> found, Consumer<MachineList> then) {
        send("GET", CloudCodec.listPath(after), null, answer -> {
            if (!answer.ok()) {
                then.accept(new MachineList(CloudCodec.outcome(answer), List.of()));
                return;
            }
            found.addAll(CloudCodec.listedMachines(answer.body()));
            if (CloudCodec.hasNextPage(answer.body()) && !found.isEmpty()) {
                page(found.get(found.size() - 1).name(), found, then);
            } else {
                then.accept(new MachineList(Outcome.OK, found));
            }
        });
    }

    private void send(String method, String path, Map<String, Object> body, Caller.Done done) {
        caller.call(new Caller.Call(address, method, path, body, TIMEOUT_MICROS), done);
    }
}
