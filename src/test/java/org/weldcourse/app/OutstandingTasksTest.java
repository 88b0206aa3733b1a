package org.weldcourse.app;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.weldcourse.simulation.JobBodies.jobBody;

import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.weldcourse.http.Json;
import org.weldcourse.settings.OperatorSettings;
import org.weldcourse.settings.Settings;
import org.weldcourse.simulation.FakeWorker;
import org.weldcourse.simulation.SimulatedCluster;

/**
 * Guards against starts beyond a team's limit while tasks of a finished job may still run on an unreachable machine.
 * They count until evidence shows that they are gone, also under the next leader. The simulated cluster fails a test
 * in which a team exceeds its limit.
 */
class OutstandingTasksTest {
    private static final String FIRST = "req-000001";
    private static final String SECOND = "req-000002";
    private static final int LIMIT = 8;
    private static final List<Settings.Team> TEAMS = List.of(new Settings.Team("capped", 0, LIMIT, 0, 0));

    private FakeWorker hungWorker;
    private final SimulatedCluster cluster =
            new SimulatedCluster(3, 16, 32 * 1024, TEAMS, OperatorSettings.TeamLimitSource.SETTINGS);

    /** Adds machines that hold one task each; the cloud provides no others. */
    private void addMachines(int count) {
        cluster.clock.passSeconds(2);
        for (int i = 0; i < count; i++) {
            cluster.cloud.addUnrequested("small", i < count / 2 ? "b" : "a", false);
        }
        cluster.cloud.capacity = count;
        cluster.clock.passSeconds(7);
    }

    private void submit(String id, double runSeconds, Object... changes) {
        cluster.runMicros.put(id, Math.round(runSeconds * 1e6));
        Object[] allChanges = new Object[changes.length + 6];
        System.arraycopy(new Object[] {"crew", "capped", "cpus", 4.0, "beads", 2L}, 0, allChanges, 0, 6);
        System.arraycopy(changes, 0, allChanges, 6, changes.length);
        assertEquals(
                201,
                cluster.submit(cluster.alive().get(0), jobBody(id, allChanges)).status());
    }

    private void awaitRunning(int tasks) {
        for (int i = 0; i < 200 && cluster.runningTasks() < tasks; i++) {
            cluster.clock.pass(50_000);
        }
        assertEquals(tasks, cluster.runningTasks());
    }

    private void killLeaderAndAwaitNext() {
        cluster.killNode(cluster.leader());
        for (int i = 0; i < 200 && cluster.leader() == null; i++) {
            cluster.clock.pass(100_000);
        }
        assertNotNull(cluster.leader());
    }

    /**
     * A gang job is done as soon as one of its tasks is done. Another task may remain on a machine that hangs, and a
     * leader elected meanwhile has to count it.
     */
    @Test
    void taskOfAFinishedGangCountsWhileItsMachineHangs() {
        finishGangWhileAMachineHangs();
        assertEquals(2, cluster.runningTasks(), "the task that may still run, and one of the second job");
        hungWorker.freeze(false);
        assertTrue(cluster.reaches(cluster.alive().get(0), SECOND, "done", 60));
        assertFalse(hungWorker.presentTasks().contains(FIRST + "/1"));
        assertEquals(
                List.of(),
                cluster.store.keys("outstanding/"),
                "the record is deleted once the task is known to be gone");
    }

    /** The evidence that the task is gone may arrive while the write of the outstanding record is in flight. */
    @Test
    void recordIsDeletedWhenTheEvidenceArrivesBeforeItsWrite() {
        hangMachineOfAGangAboutToFinish();
        cluster.clock.passSeconds(1);
        cluster.slowStore(1_200_000);
        cluster.clock.passSeconds(1.1);
        assertEquals(List.of(), cluster.store.keys("outstanding/"), "the write is in flight");
        hungWorker.freeze(false);
        cluster.clock.passSeconds(0.1);
        cluster.slowStore(0);
        cluster.clock.passSeconds(2);
        assertEquals("done", cluster.poll(cluster.alive().get(0), FIRST).state());
        cluster.clock.passSeconds(5);
        assertEquals(List.of(), cluster.store.keys("outstanding/"));
        assertTrue(cluster.store.puts("outstanding/") > 0, "an outstanding record was written");
    }

    /** Shows that the outstanding record is what upholds the limit: without it, the same scenario exceeds the limit. */
    @Test
    void limitIsExceededWhenTheOutstandingRecordIsMissing() {
        cluster.store.loseWrites("outstanding/");
        AssertionError violation = assertThrows(AssertionError.class, this::finishGangWhileAMachineHangs);
        assertTrue(violation.getMessage().startsWith("quota: capped uses 12.0"), violation.getMessage());
    }

    private void hangMachineOfAGangAboutToFinish() {
        addMachines(4);
        submit(FIRST, 20, "shape", "ensemble");
        awaitRunning(2);
        cluster.clock.passSeconds(19.5);
        hungWorker = cluster.workerOf(FIRST + "/1");
        hungWorker.freeze(true);
    }

    private void finishGangWhileAMachineHangs() {
        hangMachineOfAGangAboutToFinish();
        cluster.cloud.down(true);
        assertTrue(cluster.reaches(cluster.alive().get(0), FIRST, "done", 3), "the user sees the job as done in time");
        assertEquals(List.of(FIRST + "/1"), hungWorker.presentTasks());
        killLeaderAndAwaitNext();
        submit(SECOND, 20);
        cluster.clock.passSeconds(30);
    }

    /**
     * A running task without a record (earlier versions could leave one behind) counts until evidence shows that it is
     * gone. Here its machine hangs right after it reported the task to the new leader.
     */
    @Test
    void unbookedTaskCountsUntilItIsGone() {
        addMachines(4);
        submit(FIRST, 60, "yard", "a");
        awaitRunning(2);
        hungWorker = cluster.workerOf(FIRST + "/1");
        submit(SECOND, 20, "rank", "urgent", "yard", "b");
        cluster.clock.passSeconds(2);
        assertEquals(2, cluster.runningTasks(), "the limit is reached");
        cluster.store.putRecord("slices/" + FIRST + "/0", Map.of("last", 1, "n", 9, "machines", Map.of()));
        long token = hungWorker.fencingToken();
        List<String> machinesOfFirst = List.of(
                hungWorker.machine().name(),
                cluster.workerOf(FIRST + "/0").machine().name());
        List<String> otherMachines = cluster.workers.keySet().stream()
                .filter(machine -> !machinesOfFirst.contains(machine))
                .toList();
        machinesOfFirst.forEach(cluster::cutHeartbeats);
        killLeaderAndAwaitNext();
        for (int i = 0; i < 400 && cluster.store.keys("slices/" + SECOND).isEmpty(); i++) {
            cluster.clock.pass(10_000);
        }
        otherMachines.forEach(cluster::cutHeartbeats);
        machinesOfFirst.forEach(cluster::healMachineLinks);
        for (int i = 0; i < 10_000 && !hasReportedToken(hungWorker, token + 1); i++) {
            cluster.clock.pass(500);
        }
        hungWorker.freeze(true);
        cluster.cloud.down(true);
        otherMachines.forEach(cluster::healMachineLinks);
        cluster.clock.passSeconds(6);
        assertEquals(List.of(FIRST + "/1"), hungWorker.presentTasks(), "the task is still present");
        assertTrue(cluster.runningTasks() <= 2, "at most one task runs beside it");
        hungWorker.freeze(false);
        cluster.cloud.down(false);
        assertTrue(cluster.reaches(cluster.alive().get(0), SECOND, "done", 90));
        assertTrue(cluster.reaches(cluster.alive().get(0), FIRST, "done", 200));
    }

    private static boolean hasReportedToken(FakeWorker worker, long token) {
        List<Map<String, Object>> heartbeats = worker.heartbeats();
        return Json.integer(heartbeats.get(heartbeats.size() - 1), "torch", 0) >= token;
    }

    /** An admission that can't be read may have admitted any task of its job, so that the whole job counts. */
    @Test
    void jobWithAnUnreadableAdmissionCountsInFull() {
        addMachines(4);
        submit(FIRST, 60);
        awaitRunning(2);
        hungWorker = cluster.workerOf(FIRST + "/1");
        hungWorker.freeze(true);
        cluster.cloud.down(true);
        cluster.store.corrupt("slices/" + FIRST + "/0", Map.of("machines", Map.of("m-000000", "nonsense")));
        killLeaderAndAwaitNext();
        submit(SECOND, 20);
        cluster.clock.passSeconds(8);
        assertEquals(List.of(FIRST + "/1"), hungWorker.presentTasks(), "the task is still present");
        assertEquals("queued", cluster.poll(cluster.alive().get(0), SECOND).state());
    }

    /**
     * An earlier version does not know the outstanding record and never deletes it, so that it may outlive its tasks.
     * The next leader counts its tasks until the cloud has confirmed that the machine is gone, then deletes the
     * record.
     */
    @Test
    void outstandingRecordOfAnEarlierVersionIsDeleted() {
        addMachines(4);
        String leader = cluster.leader();
        Map<String, Object> staleRecord = jobBody("req-000009", "crew", "capped", "cpus", 4.0, "shape", "ensemble");
        staleRecord.put("last", 3);
        staleRecord.put("machines", Map.of("m-000901", "3:0"));
        cluster.store.putRecord("outstanding/req-000009", staleRecord);
        killLeaderAndAwaitNext();
        submit(FIRST, 60);
        awaitRunning(1);
        assertTrue(cluster.controller(cluster.leader()).metrics().contains("weldcourse_outstanding_jobs 1.0"));
        cluster.clock.passSeconds(20);
        awaitRunning(2);
        assertEquals(List.of(), cluster.store.keys("outstanding/"));
        cluster.startNode(leader);
        assertTrue(cluster.reaches(leader, FIRST, "done", 90));
    }

    /** An unreadable outstanding record leaves its team no quota headroom, and the metrics show it. */
    @Test
    void unreadableOutstandingRecordUsesUpItsTeamsLimit() {
        addMachines(4);
        cluster.store.putRecord("outstanding/req-000009", Map.of("crew", "capped", "machines", 7));
        killLeaderAndAwaitNext();
        submit(FIRST, 10);
        cluster.clock.passSeconds(30);
        assertEquals("queued", cluster.poll(cluster.alive().get(0), FIRST).state());
        assertEquals(0, cluster.runningTasks());
        String metrics = cluster.controller(cluster.leader()).metrics();
        assertTrue(metrics.contains("weldcourse_team_unbooked_cpus{team=\"capped\"} 1.0E9"), metrics);
        assertTrue(metrics.contains("weldcourse_team_limit_cpus{team=\"capped\"} 8.0"), metrics);
    }
}
