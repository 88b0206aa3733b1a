package org.weldcourse.simulation;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Consumer;
import org.weldcourse.http.Json;
import org.weldcourse.http.Server;

/** Fake cloud API with two machine types in two zones, a boot delay, and lists without lag. */
public final class FakeCloud implements Server.Handler {
    /** A machine with the properties that its request asked for. */
    public record RentedMachine(String name, String type, String zone, boolean spot) {}

    private final FakeClock clock;
    public long bootMicros;
    private final Consumer<RentedMachine> onMachineRunning;
    private final Consumer<String> onMachineReleased;
    private final TreeMap<String, RentedMachine> machines = new TreeMap<>();
    private final Set<String> runningMachines = new HashSet<>();
    private final Map<String, List<String>> machinesByRequest = new HashMap<>();
    private final Map<String, Long> rentedMicros = new HashMap<>();
    private int machinesCreated;
    private boolean down;
    private boolean malformed;
    public int capacity = 100;
    private int refusedRequests;
    public final List<String> released = new ArrayList<>();

    public FakeCloud(
            FakeClock clock,
            long bootMicros,
            Consumer<RentedMachine> onMachineRunning,
            Consumer<String> onMachineReleased) {
        this.clock = clock;
        this.bootMicros = bootMicros;
        this.onMachineRunning = onMachineRunning;
        this.onMachineReleased = onMachineReleased;
    }

    /** Starts or stops answering all requests with status 200 and a malformed body. */
    public void sendMalformedResponses(boolean isMalformed) {
        malformed = isMalformed;
    }

    public void down(boolean isDown) {
        down = isDown;
    }

    /** Sets the number of the next machine, so that new names differ from those in records of an earlier run. */
    public void setNextMachineNumber(int number) {
        machinesCreated = number;
    }

    /** Number of requests refused while the cloud was down. */
    public int refusedRequests() {
        return refusedRequests;
    }

    /** Number of machines created so far, including released ones. */
    public int machinesCreated() {
        return machinesCreated;
    }

    public Set<String> machines() {
        return new HashSet<>(machines.keySet());
    }

    /** Adds a machine that no controller requested, and returns its name. */
    public String addUnrequested(String type, String zone, boolean spot) {
        return createMachine(type, zone, spot);
    }

    private String createMachine(String type, String zone, boolean spot) {
        String name = String.format("m-%06d", machinesCreated++);
        RentedMachine rented = new RentedMachine(name, type, zone, spot);
        machines.put(name, rented);
        rentedMicros.put(name, clock.nowMicros());
        clock.after(bootMicros, () -> {
            if (machines.containsKey(name)) {
                runningMachines.add(name);
                onMachineRunning.accept(rented);
            }
        });
        return name;
    }

    @Override
    public void handle(Server.Request request, Server.Reply reply) {
        if (down) {
            refusedRequests++;
            reply.send(503, Json.of("error", "trouble"));
            return;
        }
        if (malformed) {
            reply.send(
                    200, Json.of("forges", List.of(7, Map.of("name_id", 3), "no"), "has_next", "perhaps", "rigs", 5));
            return;
        }
        Map<String, Object> body = Json.objectOrEmpty(request.body());
        switch (request.path().split("\\?")[0]) {
            case "/machine_types" ->
                reply.send(
                        200,
                        Json.of(
                                "rigs",
                                List.of(
                                        machineType("small", 4, 16, 0.4, 0.2),
                                        machineType("large", 16, 64, 1.6, 0.8))));
            case "/machines/release" -> {
                for (Object item : Json.list(body.get("forges"))) {
                    String name = (String) item;
                    if (machines.remove(name) != null) {
                        runningMachines.remove(name);
                        released.add(name);
                        onMachineReleased.accept(name);
                    }
                }
                reply.send(200, Map.of());
            }
            default -> {
                if (request.method().equals("GET")) {
                    listMachines(reply);
                } else {
                    rentMachines(body, reply);
                }
            }
        }
    }

    private static Map<String, Object> machineType(
            String name, int cpus, int memoryGb, double price, double spotPrice) {
        return Json.of(
                "name",
                name,
                "cpus",
                cpus,
                "gpus",
                0,
                "mem_gb",
                memoryGb,
                "local_gb",
                100,
                "pull_gb_per_s",
                1.0,
                "price",
                price,
                "spot_price",
                spotPrice,
                "ready_s",
                10.0,
                "yards",
                List.of("a", "b"));
    }

    private void rentMachines(Map<String, Object> body, Server.Reply reply) {
        String requestId = Json.text(body, "hire");
        List<String> names = machinesByRequest.get(requestId);
        if (names == null) {
            names = new ArrayList<>();
            for (int i = 0; i < Json.integer(body, "number", 0) && machines.size() < capacity; i++) {
                names.add(createMachine(Json.text(body, "rig"), Json.text(body, "yard"), Json.flag(body, "loaners")));
            }
            if (names.isEmpty()) {
                reply.send(503, Json.of("error", "no capacity"));
                return;
            }
            machinesByRequest.put(requestId, names);
        }
        reply.send(200, Json.of("forges", new ArrayList<Object>(names)));
    }

    private void listMachines(Server.Reply reply) {
        List<Object> listed = new ArrayList<>();
        for (RentedMachine rented : machines.values()) {
            listed.add(Json.of(
                    "name_id",
                    rented.name,
                    "addr",
                    FakeWorker.address(rented.name),
                    "rig",
                    rented.type,
                    "yard",
                    rented.zone,
                    "loaners",
                    rented.spot,
                    "heat",
                    runningMachines.contains(rented.name) ? "running" : "starting",
                    "held_s",
                    (clock.nowMicros() - rentedMicros.get(rented.name)) / 1e6));
        }
        reply.send(200, Json.of("forges", listed, "has_next", false));
    }
}
