package org.weldcourse.app;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.weldcourse.simulation.JobBodies.jobBody;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.weldcourse.simulation.FakeWorker;
import org.weldcourse.simulation.SimulatedCluster;

/**
 * Guards against jobs that wait for good after a failure, because the machine that their task failed on is taken for room
 * that they may use (review/8). Another job keeps that machine up and busy all the time.
 */
class FailedTaskPlacementTest {
    private static final String OTHER = "req-000001";
    private static final String JOB = "req-000002";
    private static final long FAILURE = -1;
    private static final long RUN_MICROS = 5_000_000;
    /** To notice a failure, launch a machine, boot it and run the task there. */
    private static final double REPLACEMENT_SECONDS = 25;
    /** The first exclusion of a machine, and the run after it. */
    private static final double EXCLUSION_SECONDS = 75;

    private final SimulatedCluster cluster = SimulatedCluster.settled(3);

    /** Starts a job that runs on one large machine in zone a for the rest of the test and leaves 6 CPUs free there. */
    private FakeWorker startOther() {
        cluster.runMicros.put(OTHER, Long.MAX_VALUE);
        cluster.submit(
                "n0",
                jobBody(OTHER, "beads", 5, "rigs", List.of("large"), "yard", "a", "expected_s", 300.0, "size_gb", 0.0));
        assertTrue(cluster.reaches("n0", OTHER, "running", 30));
        cluster.clock.passSeconds(3);
        assertEquals(1, cluster.cloud.machines().size());
        return cluster.workerOf(OTHER + "/0");
    }

    private void submit(Object... changes) {
        cluster.runMicros.put(JOB, RUN_MICROS);
        cluster.submit("n0", jobBody(JOB, changes));
    }

    /** Lets a task fail until it has been started this many times. */
    private void failRuns(String task, int runs) {
        cluster.runMicros.put(task, FAILURE);
        for (int i = 0; i < 4000 && cluster.starts.getOrDefault(task, 0) < runs; i++) {
            cluster.clock.pass(50_000);
        }
        assertEquals(runs, cluster.starts.get(task));
        cluster.clock.pass(1);
        cluster.runMicros.put(task, RUN_MICROS);
    }

    private void assertDoneWithin(double seconds) {
        assertTrue(
                cluster.reaches("n0", JOB, "done", seconds),
                cluster.poll("n0", JOB).body().toString());
        assertEquals(1, cluster.starts.get(OTHER + "/0"), "the other job runs on");
    }

    @Test
    void taskRunsElsewhereWhileItsMachineIsBusy() {
        startOther();
        submit("beads", 3);
        failRuns(JOB + "/1", 1);
        assertDoneWithin(REPLACEMENT_SECONDS);
        assertEquals(2, cluster.starts.get(JOB + "/1"));
    }

    @Test
    void taskRunsAfterFailuresOnTwoMachines() {
        startOther();
        submit("beads", 3);
        failRuns(JOB + "/1", 2);
        assertDoneWithin(REPLACEMENT_SECONDS);
    }

    /** The job's zone has no other machine; one in another zone is up. */
    @Test
    void taskThatIsBoundToItsZoneRunsElsewhereThere() {
        startOther();
        cluster.runMicros.put("req-000003", Long.MAX_VALUE);
        cluster.submit("n0", jobBody("req-000003", "yard", "b", "expected_s", 300.0));
        assertTrue(cluster.reaches("n0", "req-000003", "running", 30));
        submit("beads", 3, "yard", "a");
        failRuns(JOB + "/1", 1);
        assertDoneWithin(REPLACEMENT_SECONDS);
    }

    @Test
    void gangRunsElsewhere() {
        FakeWorker machine = startOther();
        submit("shape", "ensemble", "beads", 3, "together", true);
        failRuns(JOB + "/1", 1);
        assertDoneWithin(60);
        assertFalse(machine.presentTasks().contains(JOB + "/1"));
    }

    @Test
    void replicaRunsElsewhere() {
        FakeWorker machine = startOther();
        submit("shape", "service", "beads", 2, "expected_s", 0.0);
        failRuns(JOB + "/1", 1);
        cluster.runMicros.put(JOB + "/1", Long.MAX_VALUE);
        cluster.clock.passSeconds(REPLACEMENT_SECONDS);
        FakeWorker replacement = cluster.workerOf(JOB + "/1");
        assertTrue(replacement != null && replacement != machine);
    }

    /** An exclusion ends, as there may be no other machine to be had. */
    @Test
    void taskRunsOnTheSameMachineWhenNoOtherCanBeHad() {
        startOther();
        cluster.cloud.capacity = 1;
        submit("beads", 3);
        failRuns(JOB + "/1", 1);
        cluster.clock.passSeconds(REPLACEMENT_SECONDS);
        assertEquals(1, cluster.starts.get(JOB + "/1"), "not on the machine that it failed on a moment ago");
        assertDoneWithin(EXCLUSION_SECONDS - REPLACEMENT_SECONDS);
    }

    @Test
    void taskRunsUnderANewLeader() {
        startOther();
        submit("beads", 3);
        failRuns(JOB + "/1", 1);
        cluster.clock.passSeconds(2);
        cluster.killNode(cluster.leader());
        String alive = cluster.alive().get(0);
        assertTrue(cluster.reaches(alive, JOB, "done", 60));
    }

    /** The cloud does not carry out its deletion at first. */
    @Test
    void machineThatFailsAllTasksStaysOutOfUse() {
        FakeWorker faulty = startOther();
        faulty.failTasks(true);
        cluster.cloud.down(true);
        submit("beads", 1);
        submitShort("req-000003");
        cluster.clock.passSeconds(5);
        assertEquals(2, faulty.failedTasks());
        submitShort("req-000004");
        cluster.clock.passSeconds(EXCLUSION_SECONDS);
        assertEquals(2, faulty.failedTasks());
        cluster.cloud.down(false);
        for (String job : List.of(JOB, "req-000003", "req-000004")) {
            assertTrue(cluster.reaches("n0", job, "done", REPLACEMENT_SECONDS));
        }
        cluster.clock.passSeconds(2);
        assertTrue(cluster.cloud.released.contains(faulty.machine().name()));
    }

    private void submitShort(String id) {
        cluster.runMicros.put(id, RUN_MICROS);
        cluster.submit("n0", jobBody(id, "beads", 1));
    }
}
