package org.weldcourse.app;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.weldcourse.simulation.JobBodies.jobBody;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.weldcourse.simulation.FakeWorker;
import org.weldcourse.simulation.SimulatedCluster;

/**
 * Guards against sound tasks that are killed with their machine because jobs submitted with a mistake fail on it
 * (review/6), and against faulty machines that are used on since mistaken jobs fail everywhere.
 */
class MistakenJobsTest {
    private static final String SOUND = "req-000001";
    private static final long FAILURE = -1;
    private static final int MISTAKEN_JOBS = 12;

    private final SimulatedCluster cluster = SimulatedCluster.settled(1);
    private final List<String> mistaken = new ArrayList<>();

    private void submitMistaken() {
        String id = String.format("req-%06d", 100 + mistaken.size());
        mistaken.add(id);
        cluster.runMicros.put(id, FAILURE);
        cluster.submit("n0", jobBody(id, "beads", 4, "cpus", 1.0));
    }

    /** Starts a job of long tasks, one on each of as many machines. */
    private void startSound(int machines, long runMicros) {
        cluster.runMicros.put(SOUND, runMicros);
        cluster.submit(
                "n0",
                jobBody(
                        SOUND,
                        "beads",
                        machines,
                        "cpus",
                        2.0,
                        "mem_gb",
                        10.0,
                        "rigs",
                        List.of("small"),
                        "expected_s",
                        runMicros / 1e6,
                        "due_s",
                        runMicros / 1e6 + 30));
        assertTrue(cluster.reaches("n0", SOUND, "running", 30));
        for (int i = 0; i < 60 && cluster.runningTasks() < machines; i++) {
            cluster.clock.passSeconds(1);
        }
        assertEquals(machines, cluster.runningTasks());
    }

    private void assertNoSoundTaskWasKilled(int tasks) {
        for (int task = 0; task < tasks; task++) {
            assertEquals(1, cluster.starts.get(SOUND + "/" + task), "starts of task " + task);
        }
    }

    @Test
    void soundTasksOutliveMistakenJobs() {
        startSound(3, 120_000_000);
        for (int i = 0; i < MISTAKEN_JOBS; i++) {
            submitMistaken();
            cluster.clock.passSeconds(4);
        }
        assertTrue(cluster.reaches("n0", SOUND, "done", 150));
        assertNoSoundTaskWasKilled(3);
    }

    /** A machine that fails everything is found among twenty, beside mistaken jobs. */
    @Test
    void faultyMachineIsOutOfUseWithinSecondsBesideMistakenJobs() {
        startSound(20, 240_000_000);
        FakeWorker faulty = cluster.workerOf(SOUND + "/7");
        faulty.failTasks(true);
        for (int i = 0; i < MISTAKEN_JOBS; i++) {
            submitMistaken();
            submitShort(200 + i);
            cluster.clock.passSeconds(4);
        }
        int failures = faulty.failedTasks();
        submitShort(300);
        submitShort(301);
        cluster.clock.passSeconds(20);
        assertEquals(failures, faulty.failedTasks(), "tasks are started on the faulty machine");
        assertTrue(cluster.reaches("n0", SOUND, "done", 400));
        assertNoSoundTaskWasKilledExceptOn(faulty);
    }

    private void submitShort(int number) {
        String id = String.format("req-%06d", number);
        cluster.runMicros.put(id, 2_000_000L);
        cluster.submit("n0", jobBody(id, "beads", 4, "cpus", 1.0));
    }

    private void assertNoSoundTaskWasKilledExceptOn(FakeWorker faulty) {
        Map<String, Integer> starts = cluster.starts;
        for (int task = 0; task < 20; task++) {
            if (task != 7) {
                assertEquals(1, starts.get(SOUND + "/" + task), "starts of task " + task);
            }
        }
        assertFalse(cluster.cloud.machines().contains(faulty.machine().name()) && faulty.failedTasks() == 0);
    }
}
