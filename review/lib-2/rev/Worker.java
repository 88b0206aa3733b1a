package rev;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ThreadLocalRandom;

/** The worker of one machine, as PROTOCOL describes it. The tasks of a gang wait for one another. */
final class Worker {
    private static final class Task {
        final String bead;
        final long strike;
        final Map<String, Object> job;
        String heat;
        String cause;
        boolean saved;
        long nextNanos;
        long gatheringNanos;

        Task(String bead, long strike, Map<String, Object> job) {
            this.bead = bead;
            this.strike = strike;
            this.job = job;
        }

        boolean isGang() {
            return "ensemble".equals(job.get("shape")) && Json.integer(job.get("beads"), 1) > 1;
        }

        boolean present() {
            return !heat.equals("exited");
        }
    }

    private final World world;
    private final Cloud.Machine machine;
    private final Map<String, Task> tasks = new LinkedHashMap<>();
    private final Map<String, Double> images = new LinkedHashMap<>();
    private final Http.Server server;
    private final Http.Client client = new Http.Client();
    private final LinkedHashSet<String> missing = new LinkedHashSet<>();
    private long shift = 1;
    private long stitch;
    private long torch;
    private long answeredNanos = System.nanoTime();
    private boolean changed;
    private long lastTorchChange;
    private int target;
    private int largest;
    private volatile boolean gone;

    Worker(World world, Cloud.Machine machine) throws Exception {
        this.world = world;
        this.machine = machine;
        this.target = ThreadLocalRandom.current().nextInt(world.names().size());
        int port = Http.freePort();
        this.server = new Http.Server(port, this::handle);
        machine.address = Http.HOST + ":" + port;
        Http.daemon("worker " + machine.name, this::run);
    }

    void end() {
        gone = true;
        server.close();
        synchronized (this) {
            dropAll("machine gone");
        }
    }

    private void run() {
        long next = System.nanoTime();
        long earliest = 0;
        while (!gone) {
            StateService.pause(20);
            boolean due;
            String report;
            long sent = System.nanoTime();
            long sentShift;
            synchronized (this) {
                advance();
                checkLease();
                due = sent >= next || changed && sent >= earliest;
                if (!due) {
                    continue;
                }
                changed = false;
                sentShift = shift;
                report = Json.write(report());
            }
            double spread = 0.75 + 0.5 * ThreadLocalRandom.current().nextDouble();
            next = sent + (long) (world.site().reportS() * spread * 1e9);
            earliest = sent + 500_000_000;
            if (report.length() > largest) {
                if (report.length() / 16_384 > largest / 16_384) {
                    world.record().line("%s: a report of %d bytes", machine.name, report.length());
                }
                largest = report.length();
            }
            String node = world.names().get(target);
            Http.Response response = client.call(world.api(node), "POST", "/checkin", report, 4_000);
            if (gone) {
                return;
            }
            world.reported(report.length(), response.status());
            if (response.status() == 200) {
                synchronized (this) {
                    if (sentShift == shift && System.nanoTime() - sent < 4_000_000_000L) {
                        accept(response.json(), sent);
                    }
                }
            } else if (response.status() == 421) {
                client.close();
                String foreman = (String) response.json().get("foreman");
                int named = foreman == null ? -1 : world.names().indexOf(foreman);
                if (named >= 0 && named != target) {
                    target = named;
                    next = System.nanoTime() + 100_000_000;
                } else {
                    target = (target + 1) % world.names().size();
                    next = System.nanoTime() + 1_000_000_000;
                }
                earliest = next;
            } else {
                if (response.status() > 0) {
                    world.record().line("%s: a report of %d bytes to %s is answered %d %s", machine.name,
                            report.length(), node, response.status(), response.body());
                }
                client.close();
                target = (target + 1) % world.names().size();
                next = System.nanoTime() + 1_000_000_000;
                earliest = next;
            }
        }
        client.close();
    }

    private void checkLease() {
        if (System.nanoTime() - answeredNanos > world.site().leaseS() * 1e9) {
            if (!tasks.isEmpty()) {
                world.record().line("%s: the lease has ended, %d tasks are killed", machine.name, tasks.size());
                world.leaseEnded();
            }
            dropAll("lease ended");
            shift++;
            answeredNanos = System.nanoTime();
            changed = true;
        }
    }

    private void dropAll(String why) {
        for (Task task : tasks.values()) {
            if (task.present()) {
                world.taskGone(task.bead, task.strike, machine.name, why);
            }
        }
        tasks.clear();
    }

    private void accept(Map<String, Object> response, long sent) {
        Object answered = response.get("torch");
        if (answered == null || Json.integer(answered, 0) < torch) {
            return;
        }
        seen(Json.integer(answered, 0));
        answeredNanos = sent;
        execute(Json.list(response.get("orders")));
    }

    private void seen(long newTorch) {
        if (newTorch > torch) {
            torch = newTorch;
            if (System.nanoTime() - lastTorchChange > world.site().leaseS() * 0.5e9) {
                lastTorchChange = System.nanoTime();
                changed = true;
            }
        }
    }

    private Http.Response handle(Http.Request request) {
        synchronized (this) {
            if (gone) {
                return null;
            }
            advance();
            if (request.path().equals("/inspect")) {
                return Http.Response.of(200, report());
            }
            Map<String, Object> body = Json.object(request.text());
            if (body.get("torch") == null || body.get("shift") == null) {
                return Http.Response.of(400, Json.of("error", "torch or shift is missing"));
            }
            if (Json.integer(body.get("torch"), 0) < torch || Json.integer(body.get("shift"), 0) != shift) {
                return Http.Response.of(409, report());
            }
            seen(Json.integer(body.get("torch"), 0));
            execute(Json.list(body.get("orders")));
            return Http.Response.of(200, report());
        }
    }

    private void execute(List<Object> orders) {
        for (Object item : orders) {
            Map<String, Object> order = Json.map(item);
            String bead = (String) order.get("bead");
            long strike = Json.integer(order.get("strike"), 0);
            Task task = tasks.get(bead + "#" + strike);
            switch ((String) order.get("order")) {
                case "run" -> {
                    if (task == null) {
                        start(bead, strike);
                    }
                }
                case "halt" -> {
                    if (task != null && task.present()) {
                        halt(task, Json.decimal(order.get("cooldown_s"), 0));
                    }
                }
                case "forget" -> {
                    if (task != null && !task.present()) {
                        tasks.remove(bead + "#" + strike);
                        changed = true;
                    }
                }
                default -> world.record().line("%s: an unknown order %s", machine.name, order);
            }
        }
    }

    private void start(String bead, long strike) {
        int slash = bead.lastIndexOf('/');
        Map<String, Object> job = world.job(bead.substring(0, slash));
        Task task = new Task(bead, strike, job == null ? Map.of() : job);
        tasks.put(bead + "#" + strike, task);
        changed = true;
        double cpus = Json.decimal(task.job.get("cpus"), 0);
        double memory = Json.decimal(task.job.get("mem_gb"), 0);
        boolean busy = false;
        for (Task other : tasks.values()) {
            if (other != task && other.present()) {
                busy |= other.bead.equals(bead);
                cpus += Json.decimal(other.job.get("cpus"), 0);
                memory += Json.decimal(other.job.get("mem_gb"), 0);
            }
        }
        task.heat = "exited";
        if (job == null) {
            task.cause = "unknown";
        } else if (busy) {
            task.cause = "busy";
        } else if (cpus > machine.type.cpus() + 1e-4 || memory > machine.type.memGb() + 1e-4) {
            task.cause = "no_room";
        } else {
            task.heat = "fetching";
            String image = (String) job.get("blank");
            double size = Json.decimal(job.get("size_gb"), 0);
            long now = System.nanoTime();
            if (!images.containsKey(image)) {
                images.put(image, now + size / machine.type.pullGbPerS() * 1e9);
            }
            task.nextNanos = Math.max(now, images.get(image).longValue());
            world.taskStarted(bead, strike, machine);
        }
        if (!task.present()) {
            world.record().line("%s: refuses %s strike %d: %s", machine.name, bead, strike, task.cause);
        }
    }

    private void halt(Task task, double cooldown) {
        double save = Json.decimal(task.job.get("quench_s"), 0);
        boolean canSave = Json.decimal(task.job.get("tack_s"), 0) > 0;
        changed = true;
        if (task.heat.equals("running") && canSave && cooldown >= save && cooldown > 0) {
            task.heat = "saving";
            task.nextNanos = System.nanoTime() + (long) (save * 1e9);
        } else if (!task.heat.equals("saving") || cooldown == 0) {
            exit(task, "stopped", false);
        }
    }

    private void exit(Task task, String cause, boolean saved) {
        task.heat = "exited";
        task.cause = cause;
        task.saved = saved;
        changed = true;
        world.taskGone(task.bead, task.strike, machine.name, cause);
        if (cause.equals("done")) {
            world.taskDone(task.bead);
        }
    }

    private void advance() {
        long now = System.nanoTime();
        for (Task task : tasks.values()) {
            if (!task.present() || now < task.nextNanos) {
                continue;
            }
            if (task.heat.equals("fetching") && task.isGang()) {
                task.heat = "gathering";
                task.gatheringNanos = now;
                world.gathers(task.job, task.strike, task.bead);
                changed = true;
            } else if (task.heat.equals("gathering")) {
                if (world.gangRuns(task.job, task.strike)) {
                    task.heat = "running";
                    task.nextNanos = now + (long) (world.runSeconds(task.bead) * 1e9);
                    changed = true;
                } else if (now - task.gatheringNanos > world.site().gangWaitS() * 1e9) {
                    exit(task, "alone", false);
                }
            } else if (task.heat.equals("fetching")) {
                task.heat = "running";
                task.nextNanos = now + (long) (world.runSeconds(task.bead) * 1e9);
                changed = true;
            } else if (task.heat.equals("running")) {
                String cause = world.end(task.bead, machine);
                exit(task, cause, false);
            } else {
                exit(task, "stopped", true);
            }
        }
    }

    private Map<String, Object> report() {
        List<Object> beads = new ArrayList<>();
        for (Task task : tasks.values()) {
            Map<String, Object> bead = Json.of("bead", task.bead, "strike", task.strike, "heat", task.heat);
            if (task.cause != null) {
                bead.put("cause", task.cause);
            }
            if (task.saved) {
                bead.put("saved", true);
            }
            beads.add(bead);
        }
        return Json.of(
                "forge", machine.name, "addr", machine.address, "rig", machine.type.name(), "yard", machine.zone,
                "loaners", machine.spot, "shift", shift, "stitch", ++stitch, "torch", torch, "recall_s", null, "beads",
                beads);
    }
}
