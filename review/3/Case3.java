package review;

import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A guest team's sweep of many small tasks: the scheduler puts so many of them on one machine that the worker's report
 * is larger than a request may be. Accepted jobs must run, also those beside the sweep.
 */
public final class Case3 {
    private static final double END_S = 105;
    private static final double JOB_RUN_S = 40;

    private Case3() {}

    public static void main(String[] arguments) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        List<String> zones = List.of("suva-east", "nadi-west", "labasa-north");
        List<Cloud.Type> types = List.of(new Cloud.Type("kava-large", 32, 128, 0.8, 1.62, 20, zones));
        AtomicInteger refused = new AtomicInteger();
        AtomicInteger largest = new AtomicInteger();
        World world =
                new World(
                        Path.of(arguments[0]),
                        types,
                        zones,
                        List.of("front-of-house", "branch-ops", "guest-comms", "islands-tourism-desk"),
                        1,
                        10,
                        35) {
                    @Override
                    void onRun(Worker worker, Worker.Task task, double sent) {
                        if (!task.job.id.startsWith("req-0009")) {
                            super.onRun(worker, task, sent);
                        }
                    }

                    @Override
                    void onStart(Worker worker, Worker.Task task) {
                        if (!task.job.id.startsWith("req-0009")) {
                            super.onStart(worker, task);
                        }
                    }

                    @Override
                    void onEnd(Worker worker, Worker.Task task, String why) {
                        if (!task.job.id.startsWith("req-0009")) {
                            super.onEnd(worker, task, why);
                        }
                    }

                    @Override
                    void onReportFailed(Worker worker, String node, Http.Answer answer, int bytes) {
                        super.onReportFailed(worker, node, answer, bytes);
                        largest.accumulateAndGet(bytes, Math::max);
                        refused.addAndGet(answer.status() == 400 || answer.status() == 0 ? 1 : 0);
                    }
                };
        world.cloud.bootSeconds = machine -> 5;
        world.cloud.capacityPerZone = 1;
        world.startAll();
        if (!world.awaitReady(25)) {
            end(world, "could not run: no leader", 2);
        }
        Job job = job("req-000100", "branch-ops", "reminder-array", 4, 2, 7.3, JOB_RUN_S);
        job.rank = "normal";
        if (!world.submit(job)) {
            end(world, "could not run: a job was not accepted", 2);
        }
        double until = Record.now() + 25;
        while (Record.now() < until && world.presentByZone(job.id).isEmpty()) {
            Thread.sleep(100);
        }
        if (world.presentByZone(job.id).isEmpty()) {
            end(world, "could not run: the first job does not start", 2);
        }
        if (trouble && !world.submit(job("req-000900", "islands-tourism-desk", "season-rate-sweep", 6000, 0.02, 0.05, 25))) {
            end(world, "could not run: the sweep was not accepted", 2);
        }
        String heat = "queued";
        while (Record.now() < END_S && !"done".equals(heat)) {
            Thread.sleep(4000);
            heat = Json.string(world.poll(job.id).body(), "heat");
        }
        int expiries = world.workers.values().stream().mapToInt(worker -> worker.expiries).sum();
        long swept = world.completed.stream().filter(bead -> bead.startsWith("req-000900/")).count();
        world.record.line(
                "%d reports were refused or cut off, the largest of %d bytes; %d leases of running workers expired; %s is"
                        + " %s; %d tasks of the sweep have completed",
                refused.get(), largest.get(), expiries, job.id, heat, swept);
        if ("done".equals(heat)) {
            end(world, "held", 0);
        }
        end(
                world,
                String.format(
                        "%s, 4 tasks of %.0f s, is not done after %.0f s: %d leases of workers that report all the time"
                                + " have expired, and %d of 6000 tasks of the sweep have completed",
                        job.id, JOB_RUN_S, END_S, expiries, swept),
                1);
    }

    private static Job job(String id, String crew, String course, int beads, double cpus, double memGb, double runS) {
        Job job = new Job();
        job.id = id;
        job.course = course;
        job.crew = crew;
        job.beads = beads;
        job.cpus = cpus;
        job.memGb = memGb;
        job.image = "img-" + course;
        job.imageGb = 0.4;
        job.expectedS = runS;
        job.runS = runS;
        return job;
    }

    private static void end(World world, String result, int code) {
        world.record.line("RESULT %s", result);
        System.out.println(result);
        world.close();
        System.exit(code);
    }
}
