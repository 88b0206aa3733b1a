package review;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicReference;

/**
 * A service of six replicas that are spread over zones, three of them on machines that were up within two seconds;
 * then the leading controller crashes. No zone may get a fourth replica.
 */
public final class Case1 {
    private static final String NEAR = "nadi-west";
    private static final String FAR = "suva-east";
    private static final int REPLICAS = 6;
    private static final int MOST_IN_A_ZONE = 3;
    private static final int SERVICES = 4;
    private static final double END_S = 95;

    private Case1() {}

    public static void main(String[] arguments) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        AtomicReference<String> broken = new AtomicReference<>();
        List<Cloud.Type> types = List.of(new Cloud.Type("kava-small", 4, 32, 0.25, 0.26, 40, List.of(NEAR, FAR)));
        World world =
                new World(
                        Path.of(arguments[0]),
                        types,
                        List.of(FAR, NEAR, FAR),
                        List.of("front-of-house", "branch-ops", "guest-comms"),
                        1,
                        10,
                        35) {
                    @Override
                    void onStart(Worker worker, Worker.Task task) {
                        super.onStart(worker, task);
                        if (task.job.apart) {
                            Map<String, Integer> zones = presentByZone(task.job.id);
                            record.line("%s is on machines in %s", task.job.id, zones);
                            if (zones.getOrDefault(worker.machine.zone, 0) > MOST_IN_A_ZONE) {
                                String what = task.bead + " starts in " + worker.machine.zone + ", where now "
                                        + zones.get(worker.machine.zone) + " of the " + REPLICAS
                                        + " replicas are; at most " + MOST_IN_A_ZONE + " may be";
                                record.line("BROKEN wrong_place: %s", what);
                                broken.compareAndSet(null, what);
                            }
                        }
                    }
                };
        world.cloud.bootSeconds = machine -> machine.zone.equals(NEAR) ? 1.5 : 40;
        world.startAll();
        if (!world.awaitReady(25)) {
            fail(world, "no leader");
        }
        List<String> services = new ArrayList<>();
        for (int i = 0; i < 2; i++) {
            Job filler = job("req-00010" + i, "branch-ops", "array", 4, 32);
            filler.yard = NEAR;
            filler.expectedS = 20;
            if (!world.submit(filler)) {
                fail(world, "a job was not accepted");
            }
        }
        double until = Record.now() + 25;
        while (Record.now() < until && running(world, "req-000100") + running(world, "req-000101") < 2) {
            Thread.sleep(50);
        }
        for (int i = 0; i < SERVICES; i++) {
            Job service = job("req-00020" + i, "front-of-house", "service", 1, 3.2);
            service.beads = REPLICAS;
            service.apart = true;
            services.add(service.id);
            if (!world.submit(service)) {
                fail(world, "a service was not accepted");
            }
        }
        // The near zone's share of every service has been told to start.
        until = Record.now() + 20;
        while (Record.now() < until && services.stream().anyMatch(id -> onMachines(world, id) < MOST_IN_A_ZONE)) {
            Thread.sleep(20);
        }
        for (String id : services) {
            if (onMachines(world, id) != MOST_IN_A_ZONE) {
                fail(world, id + " has " + onMachines(world, id) + " replicas before the trouble");
            }
        }
        // The two other jobs end: their machines in the near zone have room.
        world.workers.values().forEach(worker -> {
            worker.complete("req-000100");
            worker.complete("req-000101");
        });
        Thread.sleep(700);
        if (trouble) {
            String leader = world.leader();
            world.kill(leader);
            Thread.sleep(3000);
            world.start(leader);
        }
        // Until the far zone's machines are up and every replica runs.
        until = END_S;
        while (Record.now() < until && broken.get() == null && services.stream().anyMatch(id -> running(world, id) < REPLICAS)) {
            Thread.sleep(200);
        }
        Thread.sleep(1000);
        services.forEach(id -> world.record.line("at the end %s is on machines in %s", id, world.presentByZone(id)));
        boolean served = services.stream().allMatch(id -> running(world, id) >= REPLICAS);
        world.record.line(broken.get() != null ? "RESULT broken" : served ? "RESULT held" : "RESULT not served in time");
        System.out.println(broken.get() != null ? "wrong_place: " + broken.get() : "held");
        world.close();
        System.exit(broken.get() != null ? 1 : served ? 0 : 2);
    }

    private static Job job(String id, String crew, String shape, double cpus, double memGb) {
        Job job = new Job();
        job.id = id;
        job.course = shape.equals("service") ? "booking-live" : "reconciliation";
        job.crew = crew;
        job.shape = shape;
        job.rank = "prod";
        job.cpus = cpus;
        job.memGb = memGb;
        job.imageGb = 0.5;
        return job;
    }

    private static int running(World world, String id) {
        return world.presentByZone(id).values().stream().mapToInt(Integer::intValue).sum();
    }

    private static int onMachines(World world, String id) {
        int count = 0;
        for (Worker worker : world.workers.values()) {
            for (Worker.Task task : worker.all()) {
                count += task.job != null && task.job.id.equals(id) && !task.heat.equals("exited") ? 1 : 0;
            }
        }
        return count;
    }

    private static void fail(World world, String why) {
        world.record.line("could not run: %s", why);
        System.out.println("could not run: " + why);
        world.close();
        System.exit(2);
    }
}
