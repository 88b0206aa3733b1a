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
 * What may still be on a machine counts against its team's limit, whatever became of its job and whoever leads. The world
 * fails a test in which a team uses more than its limit.
 */
class OutstandingTasksTest {
    private static final String FIRST = "req-000001";
    private static final String SECOND = "req-000002";
    private static final int LIMIT = 8;
    private static final List<Settings.Team> TEAMS = List.of(new Settings.Team("capped", 0, LIMIT, 0, 0));

    private FakeWorker hangs;
    private final SimulatedCluster world =
            new SimulatedCluster(3, 16, 32 * 1024, TEAMS, OperatorSettings.TeamLimitSource.SETTINGS);

    /** So many machines that hold one task each, and no others to be had. */
    private void machines(int count) {
        world.clock.passSeconds(2);
        for (int i = 0; i < count; i++) {
            world.cloud.addUnrequested("small", i < count / 2 ? "b" : "a", false);
        }
        world.cloud.capacity = count;
        world.clock.passSeconds(7);
    }

    private void submit(String id, double runSeconds, Object... changes) {
        world.runMicros.put(id, Math.round(runSeconds * 1e6));
        Object[] all = new Object[changes.length + 6];
        System.arraycopy(new Object[] {"crew", "capped", "cpus", 4.0, "beads", 2L}, 0, all, 0, 6);
        System.arraycopy(changes, 0, all, 6, changes.length);
        assertEquals(201, world.submit(world.alive().get(0), jobBody(id, all)).status());
    }

    private void awaitRunning(int tasks) {
        for (int i = 0; i < 200 && world.runningTasks() < tasks; i++) {
            world.clock.pass(50_000);
        }
        assertEquals(tasks, world.runningTasks());
    }

    private void killLeaderAndAwaitNext() {
        world.killNode(world.leader());
        for (int i = 0; i < 200 && world.leader() == null; i++) {
            world.clock.pass(100_000);
        }
        assertNotNull(world.leader());
    }

    /**
     * When one task of a gang is done, all of them are, and the job is over. But one whose machine hangs is on it until it
     * goes on, and a leader that was elected meanwhile has to count it.
     */
    @Test
    void theTaskOfAGangThatIsOverCountsWhileItsMachineHangs() {
        playGangThatIsOverWhileAMachineHangs();
        assertEquals(2, world.runningTasks(), "the one that may be there, and one more");
        hangs.freeze(false);
        assertTrue(world.reaches(world.alive().get(0), SECOND, "done", 60));
        assertFalse(hangs.presentTasks().contains(FIRST + "/1"));
        assertEquals(List.of(), world.store.keys("outstanding/"), "the record goes with the evidence");
    }

    /** The evidence may come while the write of the record is under way. */
    @Test
    void theRecordGoesAlsoWhenTheEvidenceIsThereBeforeIt() {
        hangAMachineOfAGangThatIsAboutToComplete();
        world.clock.passSeconds(1);
        world.slowStore(1_200_000);
        world.clock.passSeconds(1.1);
        assertEquals(List.of(), world.store.keys("outstanding/"), "the write is under way");
        hangs.freeze(false);
        world.clock.passSeconds(0.1);
        world.slowStore(0);
        world.clock.passSeconds(2);
        assertEquals("done", world.poll(world.alive().get(0), FIRST).state());
        world.clock.passSeconds(5);
        assertEquals(List.of(), world.store.keys("outstanding/"));
        assertTrue(world.outstandingWrites() > 0, "there was such a record");
    }

    /** The test above would be worth nothing if it passed without the record that it is about. */
    @Test
    void withoutTheRecordOfWhatIsOutstandingTheLimitIsPassed() {
        world.store.loseWrites("outstanding/");
        AssertionError broken = assertThrows(AssertionError.class, this::playGangThatIsOverWhileAMachineHangs);
        assertTrue(broken.getMessage().startsWith("quota: capped uses 12.0"), broken.getMessage());
    }

    private void hangAMachineOfAGangThatIsAboutToComplete() {
        machines(4);
        submit(FIRST, 20, "shape", "ensemble");
        awaitRunning(2);
        world.clock.passSeconds(19.5);
        hangs = world.workerOf(FIRST + "/1");
        hangs.freeze(true);
    }

    private void playGangThatIsOverWhileAMachineHangs() {
        hangAMachineOfAGangThatIsAboutToComplete();
        world.cloud.down(true);
        assertTrue(world.reaches(world.alive().get(0), FIRST, "done", 3), "the user is told in time");
        assertEquals(List.of(FIRST + "/1"), hangs.presentTasks());
        killLeaderAndAwaitNext();
        submit(SECOND, 20);
        world.clock.passSeconds(30);
    }

    /**
     * A task that no record explains, as an earlier version could leave one behind, is there until evidence says otherwise:
     * here its machine hangs right after it has said so.
     */
    @Test
    void aTaskWithoutABookingCountsUntilItIsGone() {
        machines(4);
        submit(FIRST, 60, "yard", "a");
        awaitRunning(2);
        hangs = world.workerOf(FIRST + "/1");
        submit(SECOND, 20, "rank", "urgent", "yard", "b");
        world.clock.passSeconds(2);
        assertEquals(2, world.runningTasks(), "the limit is reached");
        world.store.putRecord("slices/" + FIRST + "/0", Map.of("last", 1, "n", 9, "machines", Map.of()));
        long token = hangs.fencingToken();
        List<String> withFirst = List.of(
                hangs.machine().name(), world.workerOf(FIRST + "/0").machine().name());
        List<String> others = world.workers.keySet().stream()
                .filter(machine -> !withFirst.contains(machine))
                .toList();
        withFirst.forEach(world::cutHeartbeats);
        killLeaderAndAwaitNext();
        for (int i = 0; i < 400 && world.store.keys("slices/" + SECOND).isEmpty(); i++) {
            world.clock.pass(10_000);
        }
        others.forEach(world::cutHeartbeats);
        withFirst.forEach(world::healMachineLinks);
        for (int i = 0; i < 10_000 && !saysToken(hangs, token + 1); i++) {
            world.clock.pass(500);
        }
        hangs.freeze(true);
        world.cloud.down(true);
        others.forEach(world::healMachineLinks);
        world.clock.passSeconds(6);
        assertEquals(List.of(FIRST + "/1"), hangs.presentTasks(), "it is there still");
        assertTrue(world.runningTasks() <= 2, "and no more than one task besides");
        hangs.freeze(false);
        world.cloud.down(false);
        assertTrue(world.reaches(world.alive().get(0), SECOND, "done", 90));
        assertTrue(world.reaches(world.alive().get(0), FIRST, "done", 200));
    }

    private static boolean saysToken(FakeWorker worker, long token) {
        List<Map<String, Object>> reports = worker.heartbeats();
        return Json.integer(reports.get(reports.size() - 1), "torch", 0) >= token;
    }

    /** Where an admission can't be read, what it admitted may be anywhere: all of its job counts. */
    @Test
    void aJobWhoseAdmissionCanNotBeReadCountsWhole() {
        machines(4);
        submit(FIRST, 60);
        awaitRunning(2);
        hangs = world.workerOf(FIRST + "/1");
        hangs.freeze(true);
        world.cloud.down(true);
        world.store.corrupt("slices/" + FIRST + "/0", Map.of("machines", Map.of("m-000000", "nonsense")));
        killLeaderAndAwaitNext();
        submit(SECOND, 20);
        world.clock.passSeconds(8);
        assertEquals(List.of(FIRST + "/1"), hangs.presentTasks(), "it is there still");
        assertEquals("queued", world.poll(world.alive().get(0), SECOND).state());
    }

    /**
     * An earlier version, which does not know of the record, leaves it alone: it may be there long after all is gone. The
     * next leader counts what it says until the cloud has confirmed that the machine is gone, and takes it away.
     */
    @Test
    void whatAnEarlierVersionLeftOutstandingIsClearedAway() {
        machines(4);
        String leader = world.leader();
        Map<String, Object> left = jobBody("req-000009", "crew", "capped", "cpus", 4.0, "shape", "ensemble");
        left.put("last", 3);
        left.put("machines", Map.of("m-000901", "3:0"));
        world.store.putRecord("outstanding/req-000009", left);
        killLeaderAndAwaitNext();
        submit(FIRST, 60);
        awaitRunning(1);
        assertTrue(world.controller(world.leader()).metrics().contains("weldcourse_outstanding_jobs 1.0"));
        world.clock.passSeconds(20);
        awaitRunning(2);
        assertEquals(List.of(), world.store.keys("outstanding/"));
        world.startNode(leader);
        assertTrue(world.reaches(leader, FIRST, "done", 90));
    }

    /** What can't be read of a job that is over counts as room taken, and says so in the metrics. */
    @Test
    void anUnreadableRecordOfWhatIsOutstandingTakesAllRoomOfItsTeam() {
        machines(4);
        world.store.putRecord("outstanding/req-000009", Map.of("crew", "capped", "machines", 7));
        killLeaderAndAwaitNext();
        submit(FIRST, 10);
        world.clock.passSeconds(30);
        assertEquals("queued", world.poll(world.alive().get(0), FIRST).state());
        assertEquals(0, world.runningTasks());
        String metrics = world.controller(world.leader()).metrics();
        assertTrue(metrics.contains("weldcourse_team_unbooked_cpus{team=\"capped\"} 1.0E9"), metrics);
        assertTrue(metrics.contains("weldcourse_team_limit_cpus{team=\"capped\"} 8.0"), metrics);
    }
}
