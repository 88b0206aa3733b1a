package review;

import com.sun.net.httpserver.HttpServer;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;

/** A worker: reports to the controllers and runs tasks (arrays and services; gangs are not needed here). */
final class Worker {
    static final class Task {
        String bead;
        long strike;
        String heat;
        String cause;
        Job job;
        double onMachineAt;
        double endsAt;
    }

    private final World world;
    final Cloud.Machine machine;
    final String address;
    private final HttpServer server;
    private final Map<String, Task> tasks = new LinkedHashMap<>();
    private final Map<String, Double> images = new HashMap<>();
    private final Random random;
    private final List<String> nodes;
    private long session = 1;
    private long sequence;
    private long torch;
    private double lastAnswered = Record.now();
    private double lastTorchChange = -1e9;
    private boolean changed = true;
    private boolean ended;
    private int node;
    int expiries;

    Worker(World world, Cloud.Machine machine) throws Exception {
        this.world = world;
        this.machine = machine;
        this.random = new Random(machine.name.hashCode());
        this.nodes = new ArrayList<>(world.apiByNode.keySet());
        this.node = random.nextInt(nodes.size());
        server = Http.serve(this::direct);
        address = Http.HOST + ":" + server.getAddress().getPort();
        world.record.line("%s is up in %s", machine.name, machine.zone);
        Http.run(this::reportLoop);
        Http.run(this::clockLoop);
    }

    synchronized void end() {
        ended = true;
        tasks.clear();
        server.stop(0);
        notifyAll();
    }

    /** Tasks on the machine: from the moment they have their image until they exit. */
    synchronized List<Task> present() {
        List<Task> present = new ArrayList<>();
        for (Task task : tasks.values()) {
            if (task.heat.equals("running")) {
                present.add(task);
            }
        }
        return present;
    }

    synchronized List<Task> all() {
        return new ArrayList<>(tasks.values());
    }

    /** Lets the running tasks of a job complete now. */
    synchronized void complete(String job) {
        for (Task task : tasks.values()) {
            if (task.job.id.equals(job) && task.heat.equals("running")) {
                task.endsAt = Record.now();
            }
        }
    }

    private void clockLoop() {
        while (true) {
            List<Task> started = new ArrayList<>();
            synchronized (this) {
                if (ended) {
                    return;
                }
                double now = Record.now();
                if (now - lastAnswered > world.leaseS) {
                    world.record.line(
                            "%s: lease expired, session %d ends with %d tasks", machine.name, session, tasks.size());
                    for (Task task : tasks.values()) {
                        if (!task.heat.equals("exited")) {
                            world.onEnd(this, task, "lease expired");
                        }
                    }
                    tasks.clear();
                    session++;
                    sequence = 0;
                    expiries++;
                    lastAnswered = now;
                    changed = true;
                }
                for (Task task : tasks.values()) {
                    if (task.heat.equals("fetching") && now >= images.get(task.job.image)) {
                        task.heat = "running";
                        task.onMachineAt = now;
                        // The result of a completed task is kept: it exits as soon as it has its image.
                        task.endsAt = world.completed.contains(task.bead) ? now : now + task.job.runS;
                        changed = true;
                        started.add(task);
                    }
                    if (task.heat.equals("running") && now >= task.endsAt) {
                        task.heat = "exited";
                        task.cause = "done";
                        changed = true;
                        world.completed.add(task.bead);
                        world.onEnd(this, task, "done");
                    }
                }
                notifyAll();
            }
            started.forEach(task -> world.onStart(this, task));
            try {
                Thread.sleep(10);
            } catch (InterruptedException interrupted) {
                return;
            }
        }
    }

    private synchronized String report() {
        sequence++;
        List<Object> beads = new ArrayList<>();
        for (Task task : tasks.values()) {
            Map<String, Object> bead = Json.of("bead", task.bead, "strike", task.strike, "heat", task.heat);
            if (task.cause != null) {
                bead.put("cause", task.cause);
            }
            beads.add(bead);
        }
        return Json.text(Json.of(
                "forge", machine.name, "addr", address, "rig", machine.type.name(), "yard", machine.zone,
                "loaners", machine.spot, "shift", session, "stitch", sequence, "torch", torch, "recall_s", null,
                "beads", beads));
    }

    private void reportLoop() {
        try {
            while (!ended) {
                double sent;
                long sentSession;
                String body;
                synchronized (this) {
                    sent = Record.now();
                    sentSession = session;
                    changed = false;
                    body = report();
                }
                String target = nodes.get(node);
                Http.Answer answer = Http.send(world.apiByNode.get(target), "POST", "/checkin", body, 4);
                if (ended) {
                    return;
                }
                if (answer.status() == 200) {
                    accept(answer.body(), sent, sentSession);
                    double next = sent + world.reportS * (0.75 + 0.5 * random.nextDouble());
                    synchronized (this) {
                        while (!ended && Record.now() < next && !(changed && Record.now() >= sent + 0.5)) {
                            wait(20);
                        }
                    }
                    continue;
                }
                String foreman = answer.status() == 421 ? Json.string(answer.body(), "foreman") : null;
                world.onReportFailed(this, target, answer, body.length());
                if (foreman != null && !foreman.equals(target) && nodes.contains(foreman)) {
                    node = nodes.indexOf(foreman);
                    Thread.sleep(random.nextInt(500));
                } else {
                    node = (node + 1) % nodes.size();
                    Thread.sleep(1000);
                }
                double wait = sent + 0.5 - Record.now();
                if (wait > 0) {
                    Thread.sleep((long) (wait * 1000) + 1);
                }
            }
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }

    private synchronized void accept(Map<String, Object> body, double sent, long sentSession) {
        long token = Json.integer(body, "torch", -1);
        if (ended || sentSession != session || token < torch) {
            return;
        }
        takeToken(token);
        lastAnswered = Math.max(lastAnswered, sent);
        execute(Json.list(body, "orders"), sent);
    }

    private void takeToken(long token) {
        if (token > torch) {
            torch = token;
            if (Record.now() - lastTorchChange > world.leaseS / 2) {
                lastTorchChange = Record.now();
                changed = true;
            }
        }
    }

    private synchronized Http.Answer direct(String method, String path, Map<String, String> query, String body) {
        if (ended) {
            return null;
        }
        if (path.equals("/orders")) {
            Map<String, Object> message = Json.object(body);
            if (!message.containsKey("torch") || !message.containsKey("shift")) {
                return Http.answer(400, "error", "torch or shift is missing");
            }
            if (Json.integer(message, "torch", 0) < torch || Json.integer(message, "shift", 0) != session) {
                return new Http.Answer(409, Json.object(report()), null);
            }
            takeToken(Json.integer(message, "torch", 0));
            execute(Json.list(message, "orders"), Double.NaN);
        }
        return new Http.Answer(200, Json.object(report()), null);
    }

    /** Executes commands in order; {@code sent} is when the report was sent that they answer. */
    private void execute(List<?> orders, double sent) {
        for (Object item : orders) {
            Map<String, Object> order = Json.map(item);
            String bead = Json.string(order, "bead");
            long strike = Json.integer(order, "strike", 0);
            String key = bead + "#" + strike;
            Task task = tasks.get(key);
            switch (Json.string(order, "order")) {
                case "run" -> {
                    if (task == null) {
                        tasks.put(key, run(bead, strike, sent));
                        changed = true;
                    }
                }
                case "halt" -> {
                    if (task != null && !task.heat.equals("exited")) {
                        task.heat = "exited";
                        task.cause = "stopped";
                        changed = true;
                        world.onEnd(this, task, "stopped");
                    }
                }
                case "forget" -> {
                    if (task != null && task.heat.equals("exited")) {
                        tasks.remove(key);
                        changed = true;
                    }
                }
                default -> {}
            }
        }
        notifyAll();
    }

    private Task run(String bead, long strike, double sent) {
        Task task = new Task();
        task.bead = bead;
        task.strike = strike;
        task.job = world.jobs.get(bead.substring(0, bead.indexOf('/')));
        task.heat = "exited";
        if (task.job == null) {
            task.cause = "unknown";
            return task;
        }
        double cpus = task.job.cpus;
        double memGb = task.job.memGb;
        for (Task other : tasks.values()) {
            if (!other.heat.equals("exited")) {
                cpus += other.job.cpus;
                memGb += other.job.memGb;
                if (other.bead.equals(bead)) {
                    task.cause = "busy";
                    return task;
                }
            }
        }
        if (cpus > machine.type.cpus() + 1e-6 || memGb > machine.type.memGb() + 1e-6) {
            task.cause = "no_room";
            return task;
        }
        images.putIfAbsent(task.job.image, Record.now() + task.job.imageGb / machine.type.pullGbPerS());
        task.heat = "fetching";
        world.onRun(this, task, sent);
        return task;
    }
}
