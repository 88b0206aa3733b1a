package review;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * The leading controller loses only the state service while users submit jobs and cancel them through another
 * controller. After a user was told that a job is cancelled, no task of it may be started.
 */
public final class Case3 {
    private static final int ROUNDS = 4;
    private static final int JOBS = 18;
    private static final double CUT_S = 11;
    /** A command is judged only if it answers a report that was sent this long after the confirmation. */
    private static final double MARGIN_S = 0.1;

    private static final Map<String, Double> CONFIRMED = new ConcurrentHashMap<>();
    private static final ConcurrentLinkedQueue<String> BROKEN = new ConcurrentLinkedQueue<>();
    private static int nextId = 200;

    private Case3() {}

    public static void main(String[] arguments) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        List<String> zones = List.of("suva-east", "nadi-west", "labasa-north");
        List<Cloud.Type> types = List.of(new Cloud.Type("kava-small", 4, 32, 0.25, 0.26, 40, zones));
        World world = new World(
                Path.of(arguments[0]), types, zones, List.of("front-of-house", "branch-ops", "guest-comms"), 1, 10, 35) {
            private final Map<String, Double> reportOfRun = new ConcurrentHashMap<>();

            @Override
            void onRun(Worker worker, Worker.Task task, double sent) {
                super.onRun(worker, task, sent);
                reportOfRun.put(task.bead + "#" + task.strike, sent);
            }

            @Override
            void onStart(Worker worker, Worker.Task task) {
                super.onStart(worker, task);
                Double confirmed = CONFIRMED.get(task.job.id);
                double sent = reportOfRun.getOrDefault(task.bead + "#" + task.strike, 0.0);
                if (confirmed != null && sent > confirmed + MARGIN_S) {
                    String what = String.format(
                            "%s starts on %s at %.3f; its user was told at %.3f that it is cancelled, and the run"
                                    + " command answers a report that the worker sent at %.3f",
                            task.bead, worker.machine.name, Record.now(), confirmed, sent);
                    record.line("BROKEN started after its cancellation was confirmed: %s", what);
                    BROKEN.add(what);
                }
            }
        };
        world.cloud.bootSeconds = machine -> 3;
        world.startAll();
        if (!world.awaitReady(25)) {
            end(world, "could not run: no leader", 2);
        }
        // Two services keep some machines up: one replica on each.
        List<Job> services = new ArrayList<>();
        for (int i = 0; i < 2; i++) {
            services.add(service("req-00010" + i));
            if (!world.submit(services.get(i))) {
                end(world, "could not run: a service was not accepted", 2);
            }
        }
        double until = Record.now() + 30;
        while (Record.now() < until && services.stream().anyMatch(service -> present(world, service.id) < service.beads)) {
            Thread.sleep(100);
        }
        if (services.stream().anyMatch(service -> present(world, service.id) < service.beads)) {
            end(world, "could not run: a service does not run", 2);
        }
        int confirmed = 0;
        for (int round = 0; round < ROUNDS && BROKEN.isEmpty(); round++) {
            confirmed += round(world, trouble);
        }
        world.record.line("%d cancellations were confirmed, %d starts came after", confirmed, BROKEN.size());
        if (!BROKEN.isEmpty()) {
            end(world, "a cancelled job is started: " + BROKEN.peek(), 1);
        }
        end(world, confirmed > 0 ? "held" : "could not run: no cancellation was confirmed", confirmed > 0 ? 0 : 2);
    }

    /** Submits a burst of one-task jobs, cuts the leader from the state service, and cancels the jobs. */
    private static int round(World world, boolean trouble) throws Exception {
        String leader = world.leader();
        List<String> others = new ArrayList<>(world.ready());
        others.remove(leader);
        if (leader == null || others.isEmpty()) {
            end(world, "could not run: no leader, or no other node takes requests", 2);
        }
        String node = others.get(0);
        List<String> ids = new ArrayList<>();
        CountDownLatch accepted = new CountDownLatch(JOBS);
        AtomicInteger count = new AtomicInteger();
        for (int i = 0; i < JOBS; i++) {
            Job job = job(String.format("req-%06d", nextId++), 1, 0.5);
            job.expectedS = 60;
            world.jobs.put(job.id, job);
            ids.add(job.id);
            Http.run(() -> {
                Http.Answer answer =
                        Http.send(world.apiByNode.get(node), "POST", "/v1/jobs", Json.text(job.body()), 5);
                world.record.line("user: submit %s to %s: %d", job.id, node, answer.status());
                count.addAndGet(answer.status() == 201 ? 1 : 0);
                accepted.countDown();
            });
        }
        accepted.await();
        // Time for the leader to put the admissions on record.
        Thread.sleep(150);
        if (trouble) {
            world.store.cut(leader, true);
            world.record.line("%s leads and loses the state service; %d jobs are accepted", leader, count.get());
        }
        CountDownLatch cancelled = new CountDownLatch(JOBS);
        for (String id : ids) {
            Http.run(() -> {
                Http.Answer answer =
                        Http.send(world.apiByNode.get(node), "POST", "/v1/jobs/" + id + "/withdraw", "{}", 5);
                if (answer.status() == 200 && "cancelled".equals(answer.body().get("heat"))) {
                    CONFIRMED.put(id, Record.now());
                }
                world.record.line("user: withdraw %s at %s: %d %s", id, node, answer.status(), Json.text(answer.body()));
                cancelled.countDown();
            });
        }
        cancelled.await();
        Thread.sleep((long) (CUT_S * 1000));
        if (trouble) {
            world.store.cut(leader, false);
            world.record.line("%s reaches the state service again", leader);
        }
        Thread.sleep(6000);
        return (int) ids.stream().filter(CONFIRMED::containsKey).count();
    }

    private static Job service(String id) {
        Job service = job(id, 6, 2.2);
        service.shape = "service";
        service.course = "booking-live";
        service.crew = "front-of-house";
        service.rank = "prod";
        return service;
    }

    private static Job job(String id, int beads, double cpus) {
        Job job = new Job();
        job.id = id;
        job.course = "voucher-pings";
        job.crew = "guest-comms";
        job.beads = beads;
        job.cpus = cpus;
        job.memGb = 1;
        job.imageGb = 0.1;
        return job;
    }

    private static int present(World world, String id) {
        return world.presentByZone(id).values().stream().mapToInt(Integer::intValue).sum();
    }

    private static void end(World world, String result, int code) {
        world.record.line("RESULT %s", result);
        System.out.println(result);
        world.close();
        System.exit(code);
    }
}
