package org.weldcourse.app;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.weldcourse.simulation.JobBodies.jobBody;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.weldcourse.settings.OperatorSettings;
import org.weldcourse.settings.Settings;
import org.weldcourse.simulation.RecordReplayingLeader;
import org.weldcourse.simulation.SimulatedCluster;

/** Guards against admission records that a later leader of any version can't start without exceeding a team's limit. */
class RecordedAdmissionsTest {
    private static final String ARRAY = "req-000001";
    private static final String GANG = "req-000002";
    private static final List<Settings.Team> TEAMS = List.of(new Settings.Team("capped", 0, 8, 0, 0));

    private final SimulatedCluster cluster =
            new SimulatedCluster(3, 16, 32 * 1024, TEAMS, OperatorSettings.TeamLimitSource.SETTINGS);

    private String addMachine() {
        cluster.clock.passSeconds(2);
        cluster.cloud.addUnrequested("large", "a", false);
        cluster.cloud.capacity = 1;
        cluster.clock.passSeconds(7);
        cluster.runMicros.put(ARRAY, 60_000_000L);
        cluster.runMicros.put(GANG, 20_000_000L);
        return cluster.workers.keySet().iterator().next();
    }

    private void submitGang() {
        cluster.submit("n1", jobBody(GANG, "crew", "capped", "rank", "urgent", "shape", "ensemble"));
    }

    private void awaitAdmission(String id) {
        for (int i = 0; i < 5_000 && cluster.store.keys("slices/" + id).isEmpty(); i++) {
            cluster.clock.pass(1_000);
        }
        assertFalse(cluster.store.keys("slices/" + id).isEmpty(), id + " was admitted");
    }

    /** The array is preempted before its machine hears of it, so that no machine lists an exit. */
    private void preemptArrayBeforeItStarts() {
        String machine = addMachine();
        cluster.submitAsync("n0", jobBody(ARRAY, "crew", "capped"), answer -> {});
        awaitAdmission(ARRAY);
        cluster.cutHeartbeats(machine);
        submitGang();
        cluster.clock.pass(300_000);
        cluster.healMachineLinks(machine);
        awaitAdmission(GANG);
    }

    @Test
    void preemptedTasksDoNotStayOnRecordBesideTheGangThatPreemptedThem() {
        addMachine();
        cluster.submit("n0", jobBody(ARRAY, "crew", "capped"));
        cluster.clock.passSeconds(4);
        assertEquals(4, cluster.runningTasks());
        submitGang();
        awaitAdmission(GANG);
        assertTrue(cluster.reaches("n0", GANG, "done", 200));
        assertTrue(cluster.reaches("n0", ARRAY, "done", 300));
    }

    @Test
    void leaderThatStartsAllRecordedTasksDoesNotExceedTheLimit() {
        preemptArrayBeforeItStarts();
        assertEquals(0, cluster.starts.getOrDefault(ARRAY + "/0", 0), "the array was never started");
        cluster.alive().forEach(cluster::killNode);
        new RecordReplayingLeader(cluster).startRecordedTasks();
        cluster.clock.passSeconds(5);
        assertEquals(4, cluster.runningTasks());
    }

    @Test
    void finishedTasksDoNotStayOnRecordBesideTheJobThatTookTheirQuota() {
        addMachine();
        cluster.runMicros.put(ARRAY, 2_000_000L);
        cluster.submit("n0", jobBody(ARRAY, "crew", "capped", "beads", 3));
        cluster.runMicros.put(ARRAY + "/2", 30_000_000L);
        cluster.submit("n0", jobBody("req-000003", "crew", "capped", "beads", 2));
        awaitAdmission("req-000003");
        assertTrue(cluster.reaches("n0", "req-000003", "done", 100));
        assertTrue(cluster.reaches("n0", ARRAY, "done", 100));
    }
}
