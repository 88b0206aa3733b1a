package org.weldcourse.app;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.weldcourse.simulation.JobBodies.jobBody;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.weldcourse.http.Json;
import org.weldcourse.simulation.SimulatedCluster;

/** Submits and cancels jobs while a test injects failures, and checks at the end that every job has ended correctly. */
final class FailureScenario {
    /** The run time to submit for tasks that run until their job is cancelled. */
    static final double FOREVER = -2;

    private final boolean arraysAreServices;
    private final Set<String> services = new HashSet<>();
    final SimulatedCluster cluster;
    /** The submitted request bodies by job id. */
    final Map<String, Map<String, Object>> bodies = new LinkedHashMap<>();
    /** The ids of the jobs whose cancellation was confirmed. */
    final Set<String> cancelled = new HashSet<>();

    /** With {@code arraysAreServices}, jobs without a shape are submitted as services instead of arrays. */
    FailureScenario(int nodes, boolean arraysAreServices) {
        this.arraysAreServices = arraysAreServices;
        cluster = SimulatedCluster.settled(nodes);
    }

    /** Submits a job, retries until it is accepted, and returns its id. */
    String submit(double runSeconds, Object... changes) {
        String id = String.format("req-%06d", bodies.size() + 1);
        Map<String, Object> body = jobBody(id, changes);
        if (arraysAreServices && !List.of(changes).contains("shape")) {
            services.add(id);
            body.put("shape", "service");
            body.put("expected_s", 0.0);
        }
        boolean endless = runSeconds == FOREVER || services.contains(id);
        cluster.runMicros.put(id, endless ? Long.MAX_VALUE : Math.round(runSeconds * 1e6));
        bodies.put(id, body);
        for (int i = 0; i < 120; i++) {
            int status = cluster.submit(aliveNode(i), body).status();
            if (status == 201 || status == 200) {
                return id;
            }
            cluster.clock.pass(500_000);
        }
        throw new AssertionError(id + " was not accepted");
    }

    /** Starts one large machine and leaves the cloud no capacity for another. */
    void limitCloudToOneLargeMachine() {
        cluster.cloud.addUnrequested("large", "a", false);
        cluster.cloud.capacity = 1;
        cluster.clock.passSeconds(7);
    }

    /** Submits a job and waits until all its tasks run. */
    String submitAndAwaitRunning(double runSeconds, Object... changes) {
        String id = submit(runSeconds, changes);
        for (int i = 0; i < 600 && presentTasks(id).size() < taskCount(id); i++) {
            cluster.clock.pass(100_000);
        }
        assertEquals(taskCount(id), presentTasks(id).size(), id + ": running tasks");
        return id;
    }

    /** One of the running controllers, in turn for increasing numbers. */
    String aliveNode(int i) {
        List<String> alive = cluster.alive();
        return alive.get(i % alive.size());
    }

    int taskCount(String id) {
        return ((Number) bodies.get(id).get("beads")).intValue();
    }

    /** The tasks of the job that are on a worker. */
    List<String> presentTasks(String id) {
        List<String> present = new ArrayList<>();
        for (int i = 0; i < taskCount(id); i++) {
            if (cluster.workerOf(id + "/" + i) != null) {
                present.add(id + "/" + i);
            }
        }
        return present;
    }

    Set<String> machinesOf(String id) {
        Set<String> machines = new HashSet<>();
        presentTasks(id)
                .forEach(task -> machines.add(cluster.workerOf(task).machine().name()));
        return machines;
    }

    /** Cancels a job, retries until a node confirms it, and returns the job's state in the answer. */
    String cancel(String id) {
        for (int i = 0; i < 120; i++) {
            SimulatedCluster.ApiResponse answer = cluster.cancel(aliveNode(i), id);
            if (answer.status() == 200) {
                cancelled.add(id);
                return answer.state();
            }
            cluster.clock.pass(300_000);
        }
        throw new AssertionError(id + " could not be cancelled");
    }

    /** A node other than this one. */
    String peerOf(String node) {
        return node.equals("n0") ? "n1" : "n0";
    }

    /** Cancels a job by a single request to this node, without a retry. */
    void cancelThrough(String node, String id) {
        assertEquals("cancelled", cluster.cancel(node, id).state());
        cancelled.add(id);
    }

    void assertEachTaskStartedOnce() {
        assertTrue(cluster.starts.values().stream().allMatch(count -> count == 1), cluster.starts.toString());
    }

    String killLeader() {
        String leader = cluster.leader();
        assertNotNull(leader);
        cluster.killNode(leader);
        return leader;
    }

    void awaitLeader(double seconds) {
        for (int i = 0; i < seconds * 10 && cluster.leader() == null; i++) {
            cluster.clock.pass(100_000);
        }
        assertNotNull(cluster.leader());
    }

    long fencingToken() {
        return Json.integer(cluster.store.value("epoch"), "epoch", 0);
    }

    /** Waits until all replicas of the service run. */
    private void awaitAllReplicas(String id, double seconds) {
        cluster.cloud.capacity = 100;
        for (int i = 0; i < seconds * 10 && presentTasks(id).size() < taskCount(id); i++) {
            cluster.clock.pass(100_000);
        }
        assertEquals(taskCount(id), presentTasks(id).size(), "replicas of " + id);
    }

    /**
     * Cancels the services, and checks that every job ends within the time, that all nodes report the same state, and
     * that no task is left on a machine.
     */
    void assertAllJobsEnd(double seconds) {
        for (String id : services) {
            if (!cancelled.contains(id)) {
                awaitAllReplicas(id, seconds);
            }
        }
        services.stream().filter(id -> !cancelled.contains(id)).toList().forEach(this::cancel);
        for (String id : bodies.keySet()) {
            String state = cancelled.contains(id) ? "cancelled" : "done";
            boolean ended = cluster.reaches(aliveNode(0), id, state, seconds);
            assertTrue(
                    ended
                            || cancelled.contains(id)
                                    && "done"
                                            .equals(cluster.poll(aliveNode(0), id)
                                                    .state()),
                    id + " is " + cluster.poll(aliveNode(0), id) + " instead of " + state);
            for (String node : cluster.alive()) {
                assertEquals(
                        cluster.poll(aliveNode(0), id).state(),
                        cluster.poll(node, id).state());
                assertEquals(200, cluster.submit(node, bodies.get(id)).status());
            }
        }
        cluster.clock.passSeconds(8);
        assertEquals(0, cluster.runningTasks());
        for (String id : bodies.keySet()) {
            assertNotNull(cluster.store.value("final/" + id), id);
        }
    }

    /** Submits jobs beyond a team's limit, gangs, jobs in one zone or apart, and one with tasks of unequal length. */
    void submitMixedWork() {
        // A service is rejected unless all its replicas fit the team's limit of 8 CPUs.
        submit(30, "crew", "capped", "beads", arraysAreServices ? 4 : 10);
        submit(12, "shape", "ensemble", "rank", "urgent", "beads", 3, "cpus", 4.0, "together", true);
        submit(25, "beads", 6, "together", true);
        String uneven = submit(20, "beads", 3);
        cluster.runMicros.put(uneven + "/0", 2_000_000L);
        cluster.runMicros.put(uneven + "/2", 45_000_000L);
        submit(15, "beads", 5, "apart", true);
    }
}
