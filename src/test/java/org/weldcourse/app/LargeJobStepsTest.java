package org.weldcourse.app;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.weldcourse.simulation.JobBodies.jobBody;

import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.weldcourse.settings.Settings;
import org.weldcourse.simulation.FakeWorker;
import org.weldcourse.simulation.SimulatedCluster;

/**
 * Guards against controllers that stop answering because of a job with very many tasks: counts the operations on single
 * bookings in each event of each controller. Their number may grow with the tasks that a worker reports, but not with the
 * tasks of the job.
 */
class LargeJobStepsTest {
    private static final String GANG = "req-000001";
    private static final String ARRAY = "req-000002";
    private static final String URGENT = "req-000003";
    /** The most bookings that one event may change beyond those of the tasks that a worker reports. */
    private static final int TASKS_PER_PART = 1_000;
    /** How often an event may look at the booking of each of these tasks: a fixed number of passes over a report. */
    private static final int OPERATIONS_PER_TASK = 20;

    private static final double MACHINE_CPUS = 16;
    private static final double MACHINE_GB = 64;
    private static final long HOUR_MICROS = 3_600_000_000L;

    private final SimulatedCluster cluster = new SimulatedCluster(
            3, 16, 32 * 1024, List.of(new Settings.Team("core", 0, 0, 0, 0), new Settings.Team("other", 0, 0, 0, 0)));
    private final Map<Controller, Long> operationsByController = new IdentityHashMap<>();
    private long mostOperations;
    private int mostListedTasks;

    private void countOperations() {
        for (String node : cluster.alive()) {
            Controller controller = cluster.controller(node);
            long count = controller.bookingOperations().count();
            Long before = operationsByController.put(controller, count);
            mostOperations = Math.max(mostOperations, count - (before == null ? 0 : before));
        }
        for (FakeWorker worker : cluster.workers.values()) {
            mostListedTasks = Math.max(mostListedTasks, worker.listedTasks());
        }
    }

    /**
     * Submits a job whose tasks fill most of one large machine, and waits until the first of them are on it, where they fetch
     * their image for longer than the test lasts.
     */
    private FakeWorker startLargeJob(String id, int tasks, Object... changes) {
        cluster.invariants().fetchMicros.put(id, HOUR_MICROS);
        cluster.clock.afterEachEvent(this::countOperations);
        cluster.clock.passSeconds(2);
        Map<String, Object> job = jobBody(
                id,
                "beads",
                tasks,
                "cpus",
                0.9 * MACHINE_CPUS / tasks,
                "mem_gb",
                0.9 * MACHINE_GB / tasks,
                "rigs",
                List.of("large"),
                "expected_s",
                600.0);
        for (int i = 0; i < changes.length; i += 2) {
            job.put((String) changes[i], changes[i + 1]);
        }
        assertEquals(201, cluster.submit(cluster.leader(), job).status());
        for (int i = 0; i < 300 && largestWorker() == null; i++) {
            cluster.clock.pass(100_000);
        }
        assertTrue(largestWorker() != null, "no task was started");
        cluster.clock.passSeconds(1);
        return largestWorker();
    }

    private FakeWorker startLargeGang(int tasks) {
        return startLargeJob(GANG, tasks, "shape", "ensemble", "together", true);
    }

    private FakeWorker largestWorker() {
        return cluster.workers.values().stream()
                .filter(worker -> worker.listedTasks() > 0)
                .findFirst()
                .orElse(null);
    }

    private void awaitRelease(FakeWorker worker) {
        String machine = worker.machine().name();
        for (int i = 0; i < 500 && !cluster.cloud.released.contains(machine); i++) {
            cluster.clock.pass(200_000);
        }
        assertTrue(cluster.cloud.released.contains(machine), "the machine is returned");
    }

    private String otherNode() {
        return cluster.alive().stream()
                .filter(node -> !node.equals(cluster.leader()))
                .findFirst()
                .orElseThrow();
    }

    private void assertBounded() {
        int bound = OPERATIONS_PER_TASK * (TASKS_PER_PART + mostListedTasks);
        assertTrue(
                mostOperations <= bound,
                "one event took " + mostOperations + " operations, at most " + bound + " are expected with "
                        + mostListedTasks + " tasks in a report");
    }

    @ParameterizedTest
    @ValueSource(ints = {1_000, 10_000, 100_000})
    void gangIsAdmittedAndItsTasksStart(int tasks) {
        startLargeGang(tasks);
        assertEquals("running", cluster.poll(otherNode(), GANG).state());
        assertBounded();
    }

    /** The machine of a gang is gone: its bookings are released, and the gang starts again elsewhere. */
    @ParameterizedTest
    @ValueSource(ints = {1_000, 10_000, 100_000})
    void gangLosesItsMachine(int tasks) {
        FakeWorker worker = startLargeGang(tasks);
        cluster.cutHeartbeats(worker.machine().name());
        worker.freeze(true);
        awaitRelease(worker);
        for (int i = 0; i < 100 && largestWorker() == null; i++) {
            cluster.clock.pass(200_000);
        }
        assertTrue(largestWorker() != null, "started again");
        assertBounded();
    }

    /** The worker's lease expires: it forgets all tasks, and the gang is evicted as a whole. */
    @ParameterizedTest
    @ValueSource(ints = {1_000, 10_000, 100_000})
    void workerOfAGangBeginsANewIncarnation(int tasks) {
        FakeWorker worker = startLargeGang(tasks);
        cluster.cutHeartbeats(worker.machine().name());
        cluster.clock.pass(SimulatedCluster.LEASE_MICROS + 500_000);
        cluster.healMachineLinks(worker.machine().name());
        cluster.clock.passSeconds(8);
        assertTrue(largestWorker() != null, "started again");
        assertBounded();
    }

    @ParameterizedTest
    @ValueSource(ints = {1_000, 10_000, 100_000})
    void gangIsCancelled(int tasks) {
        startLargeGang(tasks);
        assertEquals(200, cluster.cancel(otherNode(), GANG).status());
        cluster.clock.passSeconds(8);
        assertEquals("cancelled", cluster.poll(otherNode(), GANG).state());
        assertEquals(0, cluster.runningTasks());
        assertBounded();
    }

    /** A new leader reads the gang's records and goes on. */
    @ParameterizedTest
    @ValueSource(ints = {1_000, 10_000, 100_000})
    void leaderOfAGangIsReplaced(int tasks) {
        startLargeGang(tasks);
        cluster.killNode(cluster.leader());
        cluster.clock.passSeconds(8);
        assertEquals("running", cluster.poll(cluster.leader(), GANG).state());
        assertBounded();
    }

    /** Each new leader finds that the gang's machine is gone, as in review/4. */
    @ParameterizedTest
    @ValueSource(ints = {1_000, 10_000, 100_000})
    void leaderIsReplacedWhileTheMachineOfAGangIsGone(int tasks) {
        FakeWorker worker = startLargeGang(tasks);
        cluster.cutHeartbeats(worker.machine().name());
        worker.freeze(true);
        cluster.killNode(cluster.leader());
        awaitRelease(worker);
        cluster.clock.passSeconds(1);
        assertBounded();
    }

    /** The admission is decided, but its write is refused: all bookings are released. */
    @ParameterizedTest
    @ValueSource(ints = {1_000, 10_000, 100_000})
    void cancellationMeetsTheAdmissionOfAGang(int tasks) {
        cluster.clock.afterEachEvent(this::countOperations);
        cluster.clock.passSeconds(2);
        cluster.submit(
                cluster.leader(),
                jobBody(
                        GANG,
                        "shape",
                        "ensemble",
                        "beads",
                        tasks,
                        "cpus",
                        0.9 * MACHINE_CPUS / tasks,
                        "mem_gb",
                        0.9 * MACHINE_GB / tasks));
        for (int i = 0; i < 3_000 && cluster.workers.isEmpty(); i++) {
            cluster.clock.pass(10_000);
        }
        cluster.slowStore(300_000);
        cluster.clock.pass(50_000);
        cluster.cancelAsync(otherNode(), GANG);
        cluster.clock.passSeconds(3);
        cluster.slowStore(0);
        cluster.clock.passSeconds(10);
        assertEquals("cancelled", cluster.poll(otherNode(), GANG).state());
        assertEquals(0, cluster.runningTasks());
        assertBounded();
    }

    /** The cloud announces that it takes the machine back: the tasks that wait there are stopped. */
    @ParameterizedTest
    @ValueSource(ints = {1_000, 10_000, 100_000})
    void machineOfAnArrayIsReclaimed(int tasks) {
        FakeWorker worker = startLargeJob(ARRAY, tasks);
        cluster.clock.passSeconds(1);
        worker.announcePreemption(4_000_000);
        cluster.clock.passSeconds(4);
        worker.freeze(true);
        cluster.cutHeartbeats(worker.machine().name());
        awaitRelease(worker);
        cluster.clock.passSeconds(1);
        assertBounded();
    }

    @ParameterizedTest
    @ValueSource(ints = {1_000, 10_000, 100_000})
    void arrayIsPreemptedByAnUrgentJob(int tasks) {
        cluster.cloud.capacity = 1;
        startLargeJob(ARRAY, tasks, "rank", "idle");
        cluster.clock.passSeconds(2);
        cluster.submit(
                cluster.leader(),
                jobBody(URGENT, "rank", "urgent", "beads", 1, "cpus", 0.8 * MACHINE_CPUS, "mem_gb", 0.8 * MACHINE_GB));
        assertTrue(cluster.reaches(otherNode(), URGENT, "done", 40));
        assertBounded();
    }

    /** Short tasks end as fast as they are started, and their ends are persisted while others begin. */
    @ParameterizedTest
    @ValueSource(ints = {1_000, 10_000, 100_000})
    void tasksOfAnArrayEnd(int tasks) {
        startLargeJob(ARRAY, tasks);
        cluster.invariants().fetchMicros.put(ARRAY, 0L);
        cluster.runMicros.put(ARRAY, 300_000L);
        cluster.clock.passSeconds(4);
        assertTrue(tasks < 10_000 || cluster.starts.size() >= 1_000, "tasks started: " + cluster.starts.size());
        assertBounded();
    }

    @ParameterizedTest
    @ValueSource(ints = {1_000, 10_000, 100_000})
    void leaderOfAnArrayIsReplaced(int tasks) {
        startLargeJob(ARRAY, tasks);
        cluster.clock.passSeconds(1);
        cluster.killNode(cluster.leader());
        cluster.clock.passSeconds(8);
        assertEquals("running", cluster.poll(cluster.leader(), ARRAY).state());
        assertBounded();
    }
}
