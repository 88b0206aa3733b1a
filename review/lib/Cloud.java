package review;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.ToDoubleFunction;

/** The cloud: rents machines, and lists them late. */
final class Cloud {
    record Type(String name, double cpus, double memGb, double pullGbPerS, double price, double readyS, List<String> zones) {}

    static final class Machine {
        String name;
        Type type;
        String zone;
        boolean spot;
        double rented;
        double up;
        double gone = Double.POSITIVE_INFINITY;
        boolean listed;
        Worker worker;
    }

    final List<Type> types;
    final Map<String, Machine> machines = new LinkedHashMap<>();
    /** Boot time of a machine that is rented now. */
    ToDoubleFunction<Machine> bootSeconds = machine -> machine.type.readyS;
    /** How many machines of a type a zone has in all. */
    int capacityPerZone = 50;
    double lagSeconds = 8;
    private final Map<String, List<Object>> hires = new HashMap<>();
    private final Consumer<Machine> starter;
    private final Record record;
    final int port;
    private double tokens;
    private final double rps;
    private double refilled = Record.now();

    Cloud(List<Type> types, double rps, Record record, Consumer<Machine> starter) throws Exception {
        this.types = types;
        this.rps = rps;
        this.tokens = 2 * rps;
        this.record = record;
        this.starter = starter;
        port = Http.serve(this::handle).getAddress().getPort();
    }

    private Http.Answer handle(String method, String path, Map<String, String> query, String body) throws Exception {
        Thread.sleep(120);
        synchronized (this) {
            double now = Record.now();
            tokens = Math.min(2 * rps, tokens + (now - refilled) * rps);
            refilled = now;
            if (tokens < 1) {
                return Http.answer(429, "error", "too many");
            }
            tokens--;
            if (path.equals("/machine_types")) {
                List<Object> rigs = new ArrayList<>();
                for (Type type : types) {
                    rigs.add(Json.of(
                            "name", type.name, "cpus", type.cpus, "gpus", 0.0, "mem_gb", type.memGb, "local_gb", 50.0,
                            "pull_gb_per_s", type.pullGbPerS, "price", type.price, "spot_price", type.price * 0.42,
                            "ready_s", type.readyS, "yards", type.zones));
                }
                return Http.answer(200, "rigs", rigs);
            }
            if (path.equals("/machines") && method.equals("POST")) {
                return rent(Json.object(body));
            }
            if (path.equals("/machines/release")) {
                for (Object name : Json.list(Json.object(body), "forges")) {
                    Machine machine = machines.get(name);
                    if (machine != null && machine.gone == Double.POSITIVE_INFINITY) {
                        machine.gone = Record.now();
                        record.line("cloud: %s is returned", name);
                        if (machine.worker != null) {
                            machine.worker.end();
                        }
                    }
                }
                return Http.answer(200);
            }
            if (path.equals("/machines")) {
                return list(query);
            }
        }
        return Http.answer(400, "error", "no such path");
    }

    private Http.Answer rent(Map<String, Object> body) {
        String hire = Json.string(body, "hire");
        if (hires.containsKey(hire)) {
            return Http.answer(200, "forges", hires.get(hire));
        }
        Type type = types.stream()
                .filter(each -> each.name.equals(body.get("rig")))
                .findFirst()
                .orElse(null);
        String zone = Json.string(body, "yard");
        if (type == null || !type.zones.contains(zone)) {
            return Http.answer(400, "error", "malformed");
        }
        long used = machines.values().stream()
                .filter(each -> each.type == type && each.zone.equals(zone) && each.gone == Double.POSITIVE_INFINITY)
                .count();
        int count = (int) Math.min(Json.integer(body, "number", 1), capacityPerZone - used);
        if (count <= 0) {
            return Http.answer(503, "error", "no capacity");
        }
        List<Object> names = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            Machine machine = new Machine();
            machine.name = String.format("m-%06d", machines.size() + 1);
            machine.type = type;
            machine.zone = zone;
            machine.spot = Json.flag(body, "loaners");
            machine.rented = Record.now();
            double boot = bootSeconds.applyAsDouble(machine);
            machine.up = machine.rented + boot;
            machines.put(machine.name, machine);
            names.add(machine.name);
            record.line("cloud: %s rented by %s, %s in %s, up in %.1f s", machine.name, hire, type.name, zone, boot);
            Http.run(() -> boot(machine));
        }
        hires.put(hire, names);
        return Http.answer(200, "forges", names);
    }

    private void boot(Machine machine) {
        try {
            Thread.sleep(Math.max(0, Math.round((machine.up - Record.now()) * 1000)));
        } catch (InterruptedException interrupted) {
            return;
        }
        synchronized (this) {
            if (machine.gone == Double.POSITIVE_INFINITY) {
                starter.accept(machine);
            }
        }
    }

    private Http.Answer list(Map<String, String> query) {
        double asOf = Record.now() - lagSeconds;
        String after = query.getOrDefault("after", "");
        List<Object> forges = new ArrayList<>();
        for (Machine machine : machines.values()) {
            machine.listed |= machine.rented <= asOf;
            if (machine.listed && machine.gone > asOf && machine.name.compareTo(after) > 0) {
                forges.add(Json.of(
                        "name_id", machine.name,
                        "addr", machine.worker == null ? null : machine.worker.address,
                        "rig", machine.type.name,
                        "yard", machine.zone,
                        "loaners", machine.spot,
                        "heat", machine.up <= asOf ? "running" : "starting",
                        "held_s", Math.max(0, asOf - machine.rented)));
            }
        }
        return Http.answer(200, "forges", forges, "has_next", false);
    }
}
