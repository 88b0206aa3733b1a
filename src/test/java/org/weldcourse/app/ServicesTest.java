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

/** Guards against services that lose replicas for good, run replicas twice, or keep some after their cancellation. */
class ServicesTest {
    private static final String ID = "req-000001";

    private static Map<String, Object> serviceBody(Object... changes) {
        Map<String, Object> body =
                jobBody(ID, "shape", "service", "rank", "prod", "cpus", 1.0, "loaners", false, "expected_s", 0.0);
        body.putAll(Json.of(changes));
        return body;
    }

    /** Returns a cluster of four large machines, two in each zone, that runs the service. */
    private static SimulatedCluster clusterWithService(int nodes, Object... changes) {
        SimulatedCluster cluster = SimulatedCluster.settled(nodes);
        for (int i = 0; i < 4; i++) {
            cluster.cloud.addUnrequested("large", i % 2 == 0 ? "a" : "b", false);
        }
        cluster.clock.passSeconds(7);
        cluster.runMicros.put(ID, Long.MAX_VALUE);
        assertEquals(201, submitStatus(cluster, serviceBody(changes)));
        awaitReplicas(cluster, 4, 4);
        return cluster;
    }

    /** Submits a job to the first controller and returns the HTTP status. */
    private static int submitStatus(SimulatedCluster cluster, Map<String, Object> job) {
        return cluster.submit("n0", job).status();
    }

    private static void awaitReplicas(SimulatedCluster cluster, int expected, double seconds) {
        for (int i = 0; i < seconds * 10 && runningReplicas(cluster).size() < expected; i++) {
            cluster.clock.pass(100_000);
        }
        assertEquals(expected, runningReplicas(cluster).size());
    }

    private static List<String> runningReplicas(SimulatedCluster cluster) {
        List<String> running = new ArrayList<>();
        for (int i = 0; i < 8; i++) {
            if (cluster.workerOf(ID + "/" + i) != null) {
                running.add(ID + "/" + i);
            }
        }
        return running;
    }

    private static int totalStarts(SimulatedCluster cluster) {
        return cluster.starts.values().stream().mapToInt(Integer::intValue).sum();
    }

    private static Set<String> machinesOfReplicas(SimulatedCluster cluster) {
        Set<String> machines = new HashSet<>();
        runningReplicas(cluster)
                .forEach(task -> machines.add(cluster.workerOf(task).machine().name()));
        return machines;
    }

    @ParameterizedTest
    @ValueSource(strings = {"silent", "notice", "lost session", "leader killed", "store outage"})
    void lostReplicasAreReplacedOnOtherMachines(String fault) {
        SimulatedCluster cluster = clusterWithService(3);
        FakeWorker worker = cluster.workerOf(ID + "/0");
        String machine = worker.machine().name();
        long lost = runningReplicas(cluster).stream()
                .filter(task -> cluster.workerOf(task) == worker)
                .count();
        assertTrue(lost <= 2, "one machine runs at most two replicas");
        int writes = cluster.store.writes();
        switch (fault) {
            case "notice" -> worker.announcePreemption(8_000_000);
            case "lost session" -> {
                cluster.cutHeartbeats(machine);
                cluster.clock.passSeconds(10.4);
                cluster.healMachineLinks(machine);
            }
            case "leader killed" -> {
                worker.freeze(true);
                cluster.killNode(cluster.leader());
            }
            case "store outage" -> {
                worker.freeze(true);
                cluster.store.down(true);
                cluster.clock.passSeconds(9);
                cluster.store.down(false);
            }
            default -> worker.freeze(true);
        }
        // A preemption notice takes effect at once, before the machine is preempted.
        int tenths = fault.equals("notice") ? 40 : 400;
        for (int i = 0; i < tenths && totalStarts(cluster) < 4 + lost; i++) {
            cluster.clock.pass(100_000);
        }
        cluster.clock.passSeconds(1);
        assertEquals(4, runningReplicas(cluster).size());
        assertEquals(4 + lost, totalStarts(cluster), "only lost replicas started again");
        if (!fault.equals("lost session")) {
            assertFalse(machinesOfReplicas(cluster).contains(machine));
        }
        if (fault.equals("silent") || fault.equals("notice")) {
            // One admission covers all lost replicas; the machine types are recorded from time to time.
            assertTrue(cluster.store.writes() - writes <= lost + 2, "writes: " + (cluster.store.writes() - writes));
        }
        assertEquals("running", cluster.poll(cluster.alive().get(0), ID).state());
    }

    /**
     * A new leader releases a machine that it has not heard from for most of a worker lease, rather than wait until the
     * lease has expired: its replicas are of no use to their users.
     */
    @Test
    void replicasOnAMachineLostWithTheLeaderAreReplacedEarly() {
        SimulatedCluster cluster = clusterWithService(3);
        FakeWorker worker = cluster.workerOf(ID + "/0");
        worker.freeze(true);
        cluster.killNode(cluster.leader());
        int tenths = 0;
        while (!cluster.cloud.released.contains(worker.machine().name()) && tenths < 300) {
            cluster.clock.pass(100_000);
            tenths++;
        }
        assertTrue(tenths < 130, "released after " + tenths / 10.0 + " s");
        awaitReplicas(cluster, 4, 2);
    }

    /** The machines of a zone that are silent for less than a lease keep their replicas. */
    @Test
    void replicasSurviveMissedHeartbeatsShorterThanTheirLease() {
        SimulatedCluster cluster = clusterWithService(1);
        List<String> machines = new ArrayList<>();
        cluster.workers.forEach((name, worker) -> {
            if (worker.machine().zone().equals("b")) {
                machines.add(name);
            }
        });
        assertEquals(2, machines.size());
        machines.forEach(machine -> cluster.workers.get(machine).freeze(true));
        cluster.clock.passSeconds(8.5);
        machines.forEach(machine -> cluster.workers.get(machine).freeze(false));
        cluster.clock.passSeconds(10);
        assertTrue(machines.stream().noneMatch(cluster.cloud.released::contains), cluster.cloud.released.toString());
        assertEquals(4, totalStarts(cluster));
        assertEquals(4, runningReplicas(cluster).size());
    }

    @Test
    void silentMachineWithReplicasIsReleasedEarly() {
        SimulatedCluster cluster = clusterWithService(1);
        FakeWorker worker = cluster.workerOf(ID + "/0");
        String machine = worker.machine().name();
        worker.freeze(true);
        for (int i = 0; i < 83 && !cluster.cloud.released.contains(machine); i++) {
            cluster.clock.pass(100_000);
        }
        assertTrue(cluster.cloud.released.contains(machine), "its release proves that the replica is gone");
        awaitReplicas(cluster, 4, 2);
    }

    @Test
    void replicasStaySpreadOverZonesWhenMachinesAreLostOneByOne() {
        // The simulated cluster fails the test when more than half of the replicas are in one zone.
        SimulatedCluster cluster = clusterWithService(2, "apart", true);
        for (int round = 0; round < 4; round++) {
            FakeWorker worker = cluster.workerOf(runningReplicas(cluster)
                    .get(round % runningReplicas(cluster).size()));
            worker.freeze(true);
            cluster.clock.passSeconds(35);
            assertTrue(cluster.cloud.released.contains(worker.machine().name()));
            awaitReplicas(cluster, 4, 30);
        }
    }

    private static void freezeMachinesIn(SimulatedCluster cluster, String zone) {
        cluster.workers.values().stream()
                .filter(worker -> worker.machine().zone().equals(zone))
                .forEach(worker -> worker.freeze(true));
    }

    @Test
    void replicasAreReplacedWhenZonesAreLostOneAfterTheOther() {
        SimulatedCluster cluster = clusterWithService(3, "apart", true);
        for (String zone : List.of("b", "a", "b")) {
            Set<String> lost = machinesOfReplicas(cluster);
            lost.removeIf(name -> !cluster.workers.get(name).machine().zone().equals(zone));
            assertFalse(lost.isEmpty());
            freezeMachinesIn(cluster, zone);
            cluster.clock.passSeconds(12);
            assertTrue(cluster.cloud.released.containsAll(lost), "their release proves that the replicas are gone");
            awaitReplicas(cluster, 4, 20);
        }
        assertEquals(10, totalStarts(cluster), "each lost zone had two replicas");
    }

    /** Replicas count against the limit of 8 CPUs until evidence shows that they are gone, also under a new leader. */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void teamLimitHoldsWhileCancelledReplicasMayStillRun(boolean leaderIsKilled) {
        SimulatedCluster cluster = clusterWithService(3, "crew", "capped");
        cluster.runMicros.put("req-000002", Long.MAX_VALUE);
        cluster.runMicros.put("req-000003", Long.MAX_VALUE);
        Map<String, Object> second = serviceBody("name_id", "req-000002", "crew", "capped");
        Map<String, Object> third = serviceBody("name_id", "req-000003", "crew", "capped", "beads", 3);
        assertEquals(201, submitStatus(cluster, second));
        cluster.clock.passSeconds(4);
        assertEquals(8, cluster.runningTasks());
        assertEquals(201, submitStatus(cluster, third));
        assertEquals(201, submitStatus(cluster, jobBody("req-000004", "rank", "urgent", "crew", "capped")));
        // Cancels the first service while its machines are unreachable and the cloud can't confirm that they are gone.
        cluster.cloud.down(true);
        machinesOfReplicas(cluster).forEach(name -> cluster.workers.get(name).freeze(true));
        if (leaderIsKilled) {
            cluster.killNode(cluster.leader());
        }
        cluster.clock.passSeconds(6);
        String node = cluster.alive().get(0);
        assertEquals("cancelled", cluster.cancel(node, ID).state());
        cluster.clock.passSeconds(20);
        assertFalse(
                cluster.starts.containsKey("req-000003/0"),
                "the limit stays used without evidence that replicas are gone");
        cluster.cloud.down(false);
        cluster.clock.passSeconds(30);
        for (int replica = 0; replica < 3; replica++) {
            assertNotNull(cluster.workerOf("req-000003/" + replica), "replica " + replica + " of the third runs now");
        }
        assertEquals(7, cluster.runningTasks());
    }

    @Test
    void guaranteeIsReclaimedFromServicesOfAnotherTeam() {
        List<Settings.Team> teams =
                List.of(new Settings.Team("core", 0, 0, 0, 0), new Settings.Team("owner", 8, 0, 0, 0));
        SimulatedCluster cluster = new SimulatedCluster(1, 16, 32 * 1024, teams);
        cluster.clock.passSeconds(2);
        cluster.cloud.addUnrequested("large", "a", false);
        cluster.cloud.capacity = 1;
        cluster.clock.passSeconds(7);
        cluster.runMicros.put(ID, Long.MAX_VALUE);
        assertEquals(201, submitStatus(cluster, serviceBody("beads", 8, "cpus", 2.0)));
        cluster.clock.passSeconds(4);
        assertEquals(8, runningReplicas(cluster).size(), "the machine is full");
        cluster.runMicros.put("req-000002", 300_000_000L);
        assertEquals(201, submitStatus(cluster, jobBody("req-000002", "crew", "owner", "rank", "idle", "beads", 4)));
        cluster.clock.passSeconds(8);
        assertEquals(4, runningReplicas(cluster).size());
        assertEquals(8, cluster.runningTasks(), "the team gets its guarantee regardless of priority");
    }

    /**
     * Some replicas fit free capacity, the others preempt lower priorities. When a cycle wrote two admissions of one
     * job and the answer to the first came late, the second was refused, the record was rewritten without the first,
     * and a new leader started the first once more.
     */
    @ParameterizedTest
    @ValueSource(longs = {0, 150_000, 400_000, 1_200_000})
    void admissionWithALateAnswerIsNotLostFromTheRecord(long delayMicros) {
        SimulatedCluster cluster = SimulatedCluster.settled(2);
        cluster.cloud.addUnrequested("large", "a", false);
        cluster.cloud.capacity = 1;
        cluster.clock.passSeconds(7);
        cluster.runMicros.put("req-000002", 300_000_000L);
        cluster.submit("n0", jobBody("req-000002", "rank", "idle", "beads", 7));
        cluster.clock.passSeconds(4);
        int[] admissions = new int[1];
        cluster.network.injectFaults((from, call) -> {
            boolean admits = call.path().equals("/commit")
                    && new String(Json.bytes(call.body()), StandardCharsets.UTF_8).contains("\"write\":\"slices/" + ID);
            return admits && admissions[0]++ == 0 ? FakeNetwork.responseDelayedBy(delayMicros) : FakeNetwork.NORMAL;
        });
        cluster.runMicros.put(ID, Long.MAX_VALUE);
        assertEquals(201, submitStatus(cluster, serviceBody()));
        awaitReplicas(cluster, 4, 8);
        assertEquals(1, admissions[0], "one admission covers replicas on free capacity and those that preempt");
        cluster.killNode(cluster.leader());
        cluster.clock.passSeconds(20);
        assertEquals(4, runningReplicas(cluster).size());
        assertEquals(4, totalStarts(cluster) - 7, "none started again");
    }

    /** No replica remains or starts after the cancellation, at any stage of the replacement of lost replicas. */
    @ParameterizedTest
    @ValueSource(doubles = {0.05, 0.4, 7.2, 8.0, 9.0, 12.0})
    void noReplicaStartsAfterCancellationDuringItsReplacement(double cancelAfterSeconds) {
        SimulatedCluster cluster = clusterWithService(2);
        cluster.workerOf(ID + "/0").freeze(true);
        cluster.clock.passSeconds(cancelAfterSeconds);
        assertEquals("cancelled", cluster.cancel("n0", ID).state());
        cluster.clock.passSeconds(4);
        long reachable = cluster.workers.values().stream()
                .filter(worker -> !worker.isFrozen())
                .mapToLong(worker -> runningReplicas(cluster).stream()
                        .filter(task -> cluster.workerOf(task) == worker)
                        .count())
                .sum();
        assertEquals(0, reachable, "replicas on reachable machines stop at once");
        cluster.clock.passSeconds(30);
        assertEquals(0, cluster.runningTasks());
        assertEquals(0, cluster.startsAfterCancellation());
    }

    @Test
    void serviceIsNeverDoneEvenWhenAllReplicasEnd() {
        SimulatedCluster cluster = clusterWithService(2);
        cluster.runMicros.put(ID, 12_000_000L);
        cluster.cloud.capacity = 8;
        FakeWorker worker = cluster.workerOf(ID + "/1");
        cluster.restartMachine(worker.machine().name());
        cluster.clock.passSeconds(90);
        assertTrue(totalStarts(cluster) > 8, cluster.starts.toString());
        assertEquals("running", cluster.poll("n1", ID).state());
        assertEquals(200, submitStatus(cluster, serviceBody()));
        cluster.killNode(cluster.leader());
        cluster.clock.passSeconds(12);
        assertNotEquals("done", cluster.poll(cluster.leader(), ID).state());
        assertEquals("cancelled", cluster.cancel(cluster.leader(), ID).state());
        assertEquals("cancelled", cluster.cancel(cluster.leader(), ID).state());
        cluster.clock.passSeconds(20);
        assertEquals(0, cluster.runningTasks());
        assertNotNull(cluster.store.value("final/" + ID));
        assertEquals(
                "cancelled", cluster.submit(cluster.leader(), serviceBody()).state());
    }

    @ParameterizedTest
    @ValueSource(longs = {-1, 200_000})
    void replicaThatKeepsEndingIsRetriedWithBackoff(long runMicros) {
        SimulatedCluster cluster = SimulatedCluster.settled(1);
        cluster.runMicros.put(ID, runMicros);
        assertEquals(201, submitStatus(cluster, serviceBody("beads", 1)));
        cluster.clock.passSeconds(150);
        assertTrue(cluster.starts.get(ID + "/0") < 16, cluster.starts.toString());
        assertEquals(200, cluster.poll("n0", ID).status());
        cluster.runMicros.put(ID, Long.MAX_VALUE);
        cluster.clock.passSeconds(62);
        assertEquals(1, runningReplicas(cluster).size(), "the replica is retried within the maximum backoff");
    }

    @Test
    void servicePreemptsLowerPriorities() {
        SimulatedCluster cluster = SimulatedCluster.settled(1);
        cluster.cloud.addUnrequested("large", "a", false);
        cluster.cloud.capacity = 1;
        cluster.clock.passSeconds(7);
        cluster.runMicros.put("req-000002", 300_000_000L);
        cluster.submit("n0", jobBody("req-000002", "rank", "idle", "beads", 8));
        cluster.clock.passSeconds(4);
        cluster.runMicros.put(ID, Long.MAX_VALUE);
        cluster.submit("n0", serviceBody());
        awaitReplicas(cluster, 4, 4);
    }

    @Test
    void servicePreemptsItsTeamsLowerPrioritiesAtTheTeamLimit() {
        SimulatedCluster cluster = SimulatedCluster.settled(1);
        cluster.cloud.addUnrequested("large", "a", false);
        cluster.clock.passSeconds(7);
        cluster.runMicros.put("req-000002", 300_000_000L);
        cluster.submit("n0", jobBody("req-000002", "rank", "idle", "beads", 8, "crew", "capped"));
        cluster.clock.passSeconds(4);
        assertEquals(4, cluster.runningTasks(), "the team is at its limit of 8 CPUs");
        cluster.runMicros.put(ID, Long.MAX_VALUE);
        cluster.submit("n0", serviceBody("crew", "capped"));
        awaitReplicas(cluster, 4, 5);
    }

    @Test
    void serviceLargerThanItsTeamLimitIsRejected() {
        SimulatedCluster cluster = SimulatedCluster.settled(1);
        assertEquals(422, submitStatus(cluster, serviceBody("crew", "capped", "beads", 9)));
        assertEquals(422, submitStatus(cluster, serviceBody("cpus", 17.0)));
        assertEquals(400, submitStatus(cluster, serviceBody("expected_s", -1.0)));
        assertEquals(400, submitStatus(cluster, serviceBody("shape", "daemon")));
        assertEquals(404, cluster.poll("n0", ID).status());
        assertEquals(201, submitStatus(cluster, serviceBody("crew", "capped", "beads", 8)));
    }
}
