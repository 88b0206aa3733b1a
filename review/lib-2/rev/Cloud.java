package rev;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;

/** The cloud, as PROTOCOL describes it: machines boot within a second or two, and the list lags. */
final class Cloud implements Http.Handler {
    static final class Machine {
        final String name;
        final Site.Type type;
        final String zone;
        final boolean spot;
        final long rentedNanos = System.nanoTime();
        String address;
        volatile boolean gone;

        Machine(String name, Site.Type type, String zone, boolean spot) {
            this.name = name;
            this.type = type;
            this.zone = zone;
            this.spot = spot;
        }
    }

    private record Listed(long atNanos, List<Map<String, Object>> machines) {}

    private final Record record;
    private final Site site;
    private final long bootMillis;
    private final Consumer<Machine> onUp;
    private final Consumer<Machine> onGone;
    private final Bucket requests;
    private final TreeMap<String, Machine> machines = new TreeMap<>();
    private final Map<String, List<String>> hires = new HashMap<>();
    private final Map<String, Integer> used = new HashMap<>();
    private final ArrayDeque<Listed> lists = new ArrayDeque<>();
    private int last;

    Cloud(Record record, Site site, long bootMillis, Consumer<Machine> onUp, Consumer<Machine> onGone) {
        this.record = record;
        this.site = site;
        this.bootMillis = bootMillis;
        this.onUp = onUp;
        this.onGone = onGone;
        this.requests = new Bucket(site.cloudRps(), 2);
        Http.daemon("cloud list", () -> {
            while (true) {
                synchronized (this) {
                    snapshot();
                }
                StateService.pause(500);
            }
        });
    }

    private void snapshot() {
        List<Map<String, Object>> now = new ArrayList<>();
        for (Machine machine : machines.values()) {
            double held = (System.nanoTime() - machine.rentedNanos) / 1e9;
            now.add(Json.of(
                    "name_id", machine.name, "addr", machine.address, "rig", machine.type.name(), "yard", machine.zone,
                    "loaners", machine.spot, "heat", machine.address == null ? "starting" : "running", "held_s", held));
        }
        lists.add(new Listed(System.nanoTime(), now));
        while (lists.size() > 1 && System.nanoTime() - lists.peek().atNanos > site.listLagS() * 1e9 + 5e8) {
            lists.poll();
        }
    }

    synchronized int machines() {
        return machines.size();
    }

    /** Takes a machine back without notice, or ends it. */
    synchronized void take(Machine machine) {
        remove(machine);
    }

    @Override
    public Http.Response handle(Http.Request request) {
        StateService.pause(50);
        if (!requests.take(1)) {
            return Http.Response.of(429, Json.of("error", "rate"));
        }
        Map<String, Object> body = Json.object(request.text());
        synchronized (this) {
            if (request.path().equals("/machine_types")) {
                List<Object> rigs = new ArrayList<>();
                for (Site.Type type : site.types()) {
                    List<String> yards = site.zones().stream()
                            .filter(zone -> site.capacity().containsKey(type.name() + " " + zone))
                            .toList();
                    rigs.add(Json.of(
                            "name", type.name(), "cpus", type.cpus(), "gpus", 0.0, "mem_gb", type.memGb(), "local_gb",
                            type.localGb(), "pull_gb_per_s", type.pullGbPerS(), "price", type.price(), "spot_price",
                            type.spotPrice(), "ready_s", type.readyS(), "yards", yards));
                }
                return Http.Response.of(200, Json.of("rigs", rigs));
            } else if (request.path().equals("/machines/release")) {
                for (Object name : Json.list(body.get("forges"))) {
                    Machine machine = machines.get(name);
                    if (machine != null) {
                        record.line("cloud: %s is returned", name);
                        remove(machine);
                    }
                }
                return Http.Response.of(200, Map.of());
            } else if (request.path().equals("/machines")) {
                return hire(body);
            } else if (request.path().startsWith("/machines?")) {
                String after = request.path().contains("after=")
                        ? request.path().replaceAll(".*after=([^&]*).*", "$1")
                        : "";
                List<Object> page = new ArrayList<>();
                for (Map<String, Object> machine : lists.peek().machines) {
                    if (((String) machine.get("name_id")).compareTo(after) > 0) {
                        page.add(machine);
                    }
                }
                return Http.Response.of(200, Json.of("forges", page, "has_next", false));
            }
        }
        return Http.Response.of(400, Json.of("error", "malformed"));
    }

    private Http.Response hire(Map<String, Object> body) {
        String hire = (String) body.get("hire");
        if (hires.containsKey(hire)) {
            return Http.Response.of(200, Json.of("forges", hires.get(hire)));
        }
        boolean spot = Boolean.TRUE.equals(body.get("loaners"));
        String place = body.get("rig") + " " + body.get("yard");
        int[] most = site.capacity().getOrDefault(place, new int[2]);
        int free = most[spot ? 1 : 0] - used.getOrDefault(place + spot, 0);
        int number = (int) Math.min(free, Json.integer(body.get("number"), 0));
        if (number <= 0) {
            return Http.Response.of(503, Json.of("error", "no capacity"));
        }
        Site.Type type = site.types().stream()
                .filter(candidate -> candidate.name().equals(body.get("rig")))
                .findFirst()
                .orElseThrow();
        List<String> names = new ArrayList<>();
        for (int i = 0; i < number; i++) {
            Machine machine = new Machine(String.format("m-%06d", ++last), type, (String) body.get("yard"), spot);
            machines.put(machine.name, machine);
            used.merge(place + spot, 1, Integer::sum);
            names.add(machine.name);
            record.line("cloud: %s is rented, %s in %s%s", machine.name, type.name(), machine.zone, spot ? ", spot" : "");
            Http.daemon("boot", () -> {
                StateService.pause(bootMillis);
                if (!machine.gone) {
                    onUp.accept(machine);
                }
            });
        }
        hires.put(hire, names);
        return Http.Response.of(200, Json.of("forges", names));
    }

    private void remove(Machine machine) {
        machine.gone = true;
        if (machines.remove(machine.name) != null) {
            used.merge(machine.type.name() + " " + machine.zone + machine.spot, -1, Integer::sum);
            onGone.accept(machine);
        }
    }
}
