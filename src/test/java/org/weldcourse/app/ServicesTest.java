package org.weldcourse.app;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.weldcourse.simulation.JobBodies.jobBody;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.weldcourse.http.Json;
import org.weldcourse.settings.Settings;
import org.weldcourse.simulation.FakeNetwork;
import org.weldcourse.simulation.FakeWorker;
import org.weldcourse.simulation.SimulatedCluster;

/** Services: replicas that run until their user cancels them, and run again elsewhere when they are lost. */
class ServicesTest {
    private static final String ID = "req-000001";

    private static Map<String, Object> service(Object... changes) {
        Map<String, Object> body =
                jobBody(ID, "shape", "service", "rank", "prod", "cpus", 1.0, "loaners", false, "expected_s", 0.0);
        body.putAll(Json.of(changes));
        return body;
    }

    /** Four large machines, two in each zone, and the service running on them. */
    private static SimulatedCluster served(int nodes, Object... changes) {
        SimulatedCluster world = SimulatedCluster.settled(nodes);
        for (int i = 0; i < 4; i++) {
            world.cloud.addUnrequested("large", i % 2 == 0 ? "a" : "b", false);
        }
        world.clock.passSeconds(7);
        world.runMicros.put(ID, Long.MAX_VALUE);
        assertEquals(201, world.submit("n0", service(changes)).status());
        awaitReplicas(world, 4, 4);
        return world;
    }

    private static void awaitReplicas(SimulatedCluster world, int wanted, double seconds) {
        for (int i = 0; i < seconds * 10 && replicas(world).size() < wanted; i++) {
            world.clock.pass(100_000);
        }
        assertEquals(wanted, replicas(world).size());
    }

    private static List<String> replicas(SimulatedCluster world) {
        List<String> running = new ArrayList<>();
        for (int i = 0; i < 8; i++) {
            if (world.workerOf(ID + "/" + i) != null) {
                running.add(ID + "/" + i);
            }
        }
        return running;
    }

    private static int starts(SimulatedCluster world) {
        return world.starts.values().stream().mapToInt(Integer::intValue).sum();
    }

    private static Set<String> machines(SimulatedCluster world) {
        Set<String> machines = new HashSet<>();
        replicas(world)
                .forEach(task -> machines.add(world.workerOf(task).machine().name()));
        return machines;
    }

    @ParameterizedTest
    @ValueSource(strings = {"silent", "notice", "lost session", "leader ends", "state outage"})
    void lostReplicasRunAgainElsewhere(String trouble) {
        SimulatedCluster world = served(3);
        FakeWorker worker = world.workerOf(ID + "/0");
        String machine = worker.machine().name();
        long lost = replicas(world).stream()
                .filter(task -> world.workerOf(task) == worker)
                .count();
        assertTrue(lost <= 2, "one machine holds few of them");
        int writes = world.store.writes();
        switch (trouble) {
            case "notice" -> worker.announcePreemption(8_000_000);
            case "lost session" -> {
                world.cutHeartbeats(machine);
                world.clock.passSeconds(10.4);
                world.healMachineLinks(machine);
            }
            case "leader ends" -> {
                worker.freeze(true);
                world.killNode(world.leader());
            }
            case "state outage" -> {
                worker.freeze(true);
                world.store.down(true);
                world.clock.passSeconds(9);
                world.store.down(false);
            }
            default -> worker.freeze(true);
        }
        // A notice is acted on at once, not when it comes to pass.
        int tenths = trouble.equals("notice") ? 40 : 400;
        for (int i = 0; i < tenths && starts(world) < 4 + lost; i++) {
            world.clock.pass(100_000);
        }
        world.clock.passSeconds(1);
        assertEquals(4, replicas(world).size());
        assertEquals(4 + lost, starts(world), "only what was lost started again");
        if (!trouble.equals("lost session")) {
            assertFalse(machines(world).contains(machine));
        }
        if (trouble.equals("silent") || trouble.equals("notice")) {
            // One admission for all that were lost, and the record of the machine types now and then.
            assertTrue(world.store.writes() - writes <= lost + 2, "changes: " + (world.store.writes() - writes));
        }
        assertEquals("running", world.poll(world.alive().get(0), ID).state());
    }

    /** What a new leader has not heard of for most of a lease is lost to its users; the lease will end unheard. */
    @Test
    void replicasOnMachinesLostWithTheLeaderAreReplacedSoon() {
        SimulatedCluster world = served(3);
        FakeWorker worker = world.workerOf(ID + "/0");
        worker.freeze(true);
        world.killNode(world.leader());
        int tenths = 0;
        while (!world.cloud.released.contains(worker.machine().name()) && tenths < 300) {
            world.clock.pass(100_000);
            tenths++;
        }
        assertTrue(tenths < 130, "returned after " + tenths / 10.0 + " s");
        awaitReplicas(world, 4, 2);
    }

    /** Silent for less than a lease, the machines of a zone go on, and nothing has to be started again. */
    @Test
    void replicasOutliveMissedHeartbeatsOfTheirZoneShorterThanTheirLease() {
        SimulatedCluster world = served(1);
        List<String> machines = new ArrayList<>();
        world.workers.forEach((name, worker) -> {
            if (worker.machine().zone().equals("b")) {
                machines.add(name);
            }
        });
        assertEquals(2, machines.size());
        machines.forEach(machine -> world.workers.get(machine).freeze(true));
        world.clock.passSeconds(8.5);
        machines.forEach(machine -> world.workers.get(machine).freeze(false));
        world.clock.passSeconds(10);
        assertTrue(machines.stream().noneMatch(world.cloud.released::contains), world.cloud.released.toString());
        assertEquals(4, starts(world));
        assertEquals(4, replicas(world).size());
    }

    @Test
    void aSilentMachineWithReplicasIsReleasedSoonerThanOthers() {
        SimulatedCluster world = served(1);
        FakeWorker worker = world.workerOf(ID + "/0");
        worker.freeze(true);
        for (int i = 0;
                i < 83 && !world.cloud.released.contains(worker.machine().name());
                i++) {
            world.clock.pass(100_000);
        }
        assertTrue(world.cloud.released.contains(worker.machine().name()), "its return is the evidence");
        awaitReplicas(world, 4, 2);
    }

    @Test
    void replicasKeepToTheirZonesWhenMachinesAreLostOneByOne() {
        // The world fails the test when more than half are in one zone.
        SimulatedCluster world = served(2, "apart", true);
        for (int round = 0; round < 4; round++) {
            FakeWorker worker =
                    world.workerOf(replicas(world).get(round % replicas(world).size()));
            worker.freeze(true);
            world.clock.passSeconds(35);
            assertTrue(world.cloud.released.contains(worker.machine().name()));
            awaitReplicas(world, 4, 30);
        }
    }

    private static void loseZone(SimulatedCluster world, String zone) {
        world.workers.values().stream()
                .filter(worker -> worker.machine().zone().equals(zone))
                .forEach(worker -> worker.freeze(true));
    }

    @Test
    void replicasReturnWhenZonesAreLostOneAfterTheOther() {
        SimulatedCluster world = served(3, "apart", true);
        for (String zone : List.of("b", "a", "b")) {
            Set<String> lost = machines(world);
            lost.removeIf(
                    machine -> !world.workers.get(machine).machine().zone().equals(zone));
            assertFalse(lost.isEmpty());
            loseZone(world, zone);
            world.clock.passSeconds(12);
            assertTrue(world.cloud.released.containsAll(lost), "their return is the evidence");
            awaitReplicas(world, 4, 20);
        }
        assertEquals(10, starts(world), "two replicas were lost with each zone");
    }

    /** The team's limit is 8 CPUs; what nobody has said to be gone holds its part of it, whoever leads. */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void servicesOfOneTeamNeverExceedItsLimit(boolean leaderEnds) {
        SimulatedCluster world = served(3, "crew", "capped");
        world.runMicros.put("req-000002", Long.MAX_VALUE);
        world.runMicros.put("req-000003", Long.MAX_VALUE);
        Map<String, Object> second = service("name_id", "req-000002", "crew", "capped");
        Map<String, Object> third = service("name_id", "req-000003", "crew", "capped", "beads", 3);
        assertEquals(201, world.submit("n0", second).status());
        world.clock.passSeconds(4);
        assertEquals(8, world.runningTasks());
        assertEquals(201, world.submit("n0", third).status());
        assertEquals(
                201,
                world.submit("n0", jobBody("req-000004", "rank", "urgent", "crew", "capped"))
                        .status());
        // Replicas of the first are on machines that nobody reaches, and it is cancelled: the cloud can't say that they
        // are gone.
        world.cloud.down(true);
        machines(world).forEach(machine -> world.workers.get(machine).freeze(true));
        if (leaderEnds) {
            world.killNode(world.leader());
        }
        world.clock.passSeconds(6);
        String node = world.alive().get(0);
        assertEquals("cancelled", world.cancel(node, ID).state());
        world.clock.passSeconds(20);
        assertFalse(world.starts.containsKey("req-000003/0"), "the limit is taken as long as nobody knows better");
        world.cloud.down(false);
        world.clock.passSeconds(30);
        for (int replica = 0; replica < 3; replica++) {
            assertNotNull(world.workerOf("req-000003/" + replica), "replica " + replica + " of the third runs now");
        }
        assertEquals(7, world.runningTasks());
    }

    @Test
    void aGuaranteeComesTrueWhereServicesOfAnotherTeamBorrowedIt() {
        List<Settings.Team> teams =
                List.of(new Settings.Team("core", 0, 0, 0, 0), new Settings.Team("owner", 8, 0, 0, 0));
        SimulatedCluster world = new SimulatedCluster(1, 16, 32 * 1024, teams);
        world.clock.passSeconds(2);
        world.cloud.addUnrequested("large", "a", false);
        world.cloud.capacity = 1;
        world.clock.passSeconds(7);
        world.runMicros.put(ID, Long.MAX_VALUE);
        assertEquals(201, world.submit("n0", service("beads", 8, "cpus", 2.0)).status());
        world.clock.passSeconds(4);
        assertEquals(8, replicas(world).size(), "the machine is full");
        world.runMicros.put("req-000002", 300_000_000L);
        assertEquals(
                201,
                world.submit("n0", jobBody("req-000002", "crew", "owner", "rank", "idle", "beads", 4))
                        .status());
        world.clock.passSeconds(8);
        assertEquals(4, replicas(world).size());
        assertEquals(8, world.runningTasks(), "the team has its guarantee, of whatever priority its work is");
    }

    /**
     * Some replicas find free room and others displace lower priorities. When that made two admissions of one job, the second was
     * refused, the record written anew without the first, whose answer came late, and a new leader ran the first once more.
     */
    @ParameterizedTest
    @ValueSource(longs = {0, 150_000, 400_000, 1_200_000})
    void anAdmissionWhoseAnswerIsLateStaysOnRecord(long answerLateMicros) {
        SimulatedCluster world = SimulatedCluster.settled(2);
        world.cloud.addUnrequested("large", "a", false);
        world.cloud.capacity = 1;
        world.clock.passSeconds(7);
        world.runMicros.put("req-000002", 300_000_000L);
        world.submit("n0", jobBody("req-000002", "rank", "idle", "beads", 7));
        world.clock.passSeconds(4);
        int[] admissions = new int[1];
        world.network.injectFaults((from, call) -> {
            boolean admits = call.path().equals("/commit")
                    && new String(Json.bytes(call.body()), StandardCharsets.UTF_8).contains("\"write\":\"slices/" + ID);
            return admits && admissions[0]++ == 0
                    ? FakeNetwork.responseDelayedBy(answerLateMicros)
                    : FakeNetwork.NORMAL;
        });
        world.runMicros.put(ID, Long.MAX_VALUE);
        assertEquals(201, world.submit("n0", service()).status());
        awaitReplicas(world, 4, 8);
        assertEquals(1, admissions[0], "one admission for those that found room and those that displaced others");
        world.killNode(world.leader());
        world.clock.passSeconds(20);
        assertEquals(4, replicas(world).size());
        assertEquals(4, starts(world) - 7, "none started again");
    }

    /** However its replicas are under way when it is cancelled, all are gone, and none starts after. */
    @ParameterizedTest
    @ValueSource(doubles = {0.05, 0.4, 7.2, 8.0, 9.0, 12.0})
    void cancelledWhileAReplacementIsUnderWay(double cancelAfter) {
        SimulatedCluster world = served(2);
        world.workerOf(ID + "/0").freeze(true);
        world.clock.passSeconds(cancelAfter);
        assertEquals("cancelled", world.cancel("n0", ID).state());
        world.clock.passSeconds(4);
        long reachable = world.workers.values().stream()
                .filter(worker -> !worker.isFrozen())
                .mapToLong(worker -> replicas(world).stream()
                        .filter(task -> world.workerOf(task) == worker)
                        .count())
                .sum();
        assertEquals(0, reachable, "at once where they can be reached");
        world.clock.passSeconds(30);
        assertEquals(0, world.runningTasks());
        assertEquals(0, world.startsAfterCancellation());
    }

    @Test
    void neverDoneNotEvenWhenAllReplicasEnd() {
        SimulatedCluster world = served(2);
        world.runMicros.put(ID, 12_000_000L);
        world.cloud.capacity = 8;
        FakeWorker worker = world.workerOf(ID + "/1");
        world.restartMachine(worker.machine().name());
        world.clock.passSeconds(90);
        assertTrue(starts(world) > 8, world.starts.toString());
        assertEquals("running", world.poll("n1", ID).state());
        assertEquals(200, world.submit("n0", service()).status());
        world.killNode(world.leader());
        world.clock.passSeconds(12);
        assertNotEquals("done", world.poll(world.leader(), ID).state());
        assertEquals("cancelled", world.cancel(world.leader(), ID).state());
        assertEquals("cancelled", world.cancel(world.leader(), ID).state());
        world.clock.passSeconds(20);
        assertEquals(0, world.runningTasks());
        assertNotNull(world.store.value("final/" + ID));
        assertEquals("cancelled", world.submit(world.leader(), service()).state());
    }

    @ParameterizedTest
    @ValueSource(longs = {-1, 200_000})
    void aReplicaThatAlwaysEndsBacksOffAndStaysKnown(long runMicros) {
        SimulatedCluster world = SimulatedCluster.settled(1);
        world.runMicros.put(ID, runMicros);
        assertEquals(201, world.submit("n0", service("beads", 1)).status());
        world.clock.passSeconds(150);
        assertTrue(world.starts.get(ID + "/0") < 16, world.starts.toString());
        assertEquals(200, world.poll("n0", ID).status());
        world.runMicros.put(ID, Long.MAX_VALUE);
        world.clock.passSeconds(62);
        assertEquals(1, replicas(world).size(), "tried again within the time that a job may wait");
    }

    @Test
    void lowerPrioritiesGiveWay() {
        SimulatedCluster world = SimulatedCluster.settled(1);
        world.cloud.addUnrequested("large", "a", false);
        world.cloud.capacity = 1;
        world.clock.passSeconds(7);
        world.runMicros.put("req-000002", 300_000_000L);
        world.submit("n0", jobBody("req-000002", "rank", "idle", "beads", 8));
        world.clock.passSeconds(4);
        world.runMicros.put(ID, Long.MAX_VALUE);
        world.submit("n0", service());
        awaitReplicas(world, 4, 4);
    }

    @Test
    void itsTeamsLowerPrioritiesGiveWayAtTheTeamsLimit() {
        SimulatedCluster world = SimulatedCluster.settled(1);
        world.cloud.addUnrequested("large", "a", false);
        world.clock.passSeconds(7);
        world.runMicros.put("req-000002", 300_000_000L);
        world.submit("n0", jobBody("req-000002", "rank", "idle", "beads", 8, "crew", "capped"));
        world.clock.passSeconds(4);
        assertEquals(4, world.runningTasks(), "the team is at its limit of 8 CPUs");
        world.runMicros.put(ID, Long.MAX_VALUE);
        world.submit("n0", service("crew", "capped"));
        awaitReplicas(world, 4, 5);
    }

    @Test
    void allReplicasTogetherHaveToFitTheTeamsLimit() {
        SimulatedCluster world = SimulatedCluster.settled(1);
        assertEquals(
                422, world.submit("n0", service("crew", "capped", "beads", 9)).status());
        assertEquals(422, world.submit("n0", service("cpus", 17.0)).status());
        assertEquals(400, world.submit("n0", service("expected_s", -1.0)).status());
        assertEquals(400, world.submit("n0", service("shape", "daemon")).status());
        assertEquals(404, world.poll("n0", ID).status());
        assertEquals(
                201, world.submit("n0", service("crew", "capped", "beads", 8)).status());
    }
}
