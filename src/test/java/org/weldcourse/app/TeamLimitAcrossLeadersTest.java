package org.weldcourse.app;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.weldcourse.simulation.JobBodies.jobBody;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.weldcourse.settings.OperatorSettings;
import org.weldcourse.settings.Settings;
import org.weldcourse.simulation.SimulatedCluster;

/**
 * Guards against exceeded team limits after leader changes. The simulated cluster fails a test in which that occurs.
 */
class TeamLimitAcrossLeadersTest {
    private static final double LIMIT = 8;
    private static final List<Settings.Team> TEAMS = List.of(new Settings.Team("capped", 0, LIMIT, 0, 0));

    /**
     * Preempted tasks stay recorded until their job is admitted again. When their machine no longer reported that they
     * had exited, a new leader took them for admitted tasks that were never started, and started them beside the gang
     * that had preempted them.
     */
    @ParameterizedTest
    @EnumSource(OperatorSettings.TeamLimitSource.class)
    void preemptedTasksAreNotStartedBesideTheGangThatPreemptedThem(OperatorSettings.TeamLimitSource teamLimits) {
        SimulatedCluster cluster = new SimulatedCluster(3, 16, 32 * 1024, TEAMS, teamLimits);
        cluster.clock.passSeconds(2);
        cluster.cloud.addUnrequested("large", "a", false);
        cluster.cloud.capacity = 1;
        cluster.clock.passSeconds(7);
        cluster.runMicros.put("req-000001", 60_000_000L);
        cluster.runMicros.put("req-000002", 20_000_000L);
        cluster.submit("n0", jobBody("req-000001", "crew", "capped", "rank", "normal"));
        cluster.clock.passSeconds(4);
        assertEquals(4, cluster.runningTasks());
        cluster.submit("n1", jobBody("req-000002", "crew", "capped", "rank", "urgent", "shape", "ensemble"));
        for (int i = 0; i < 100 && cluster.workerOf("req-000002/0") == null; i++) {
            cluster.clock.pass(100_000);
        }
        assertNotNull(cluster.workerOf("req-000002/0"), "the gang has preempted the array");
        assertEquals(4, cluster.runningTasks());
        String machine = cluster.workerOf("req-000002/0").machine().name();
        cluster.workers.get(machine).freeze(true);
        cluster.killNode(cluster.leader());
        cluster.clock.pass(SimulatedCluster.LEASE_MICROS + 1_000_000);
        cluster.workers.get(machine).freeze(false);
        assertEquals(0, cluster.runningTasks(), "the worker's lease has expired");
        String node = cluster.alive().get(0);
        assertTrue(cluster.reaches(node, "req-000002", "done", 200));
        assertTrue(cluster.reaches(node, "req-000001", "done", 300));
    }

    @Test
    void limitIsReachedButNotExceededWhileLeadersChange() {
        SimulatedCluster cluster =
                new SimulatedCluster(3, 16, 32 * 1024, TEAMS, OperatorSettings.TeamLimitSource.RECORDED);
        cluster.clock.passSeconds(2);
        int maxRunningTasks = 0;
        for (int i = 1; i <= 6; i++) {
            String id = String.format("req-%06d", i);
            assertEquals(
                    201,
                    cluster.submit(cluster.alive().get(0), jobBody(id, "crew", "capped"))
                            .status());
        }
        for (int i = 0; i < 600; i++) {
            cluster.clock.pass(200_000);
            maxRunningTasks = Math.max(maxRunningTasks, cluster.runningTasks());
            if (i == 100) {
                cluster.killNode(cluster.leader());
            }
        }
        assertEquals(LIMIT / 2, maxRunningTasks);
        for (int i = 1; i <= 6; i++) {
            assertTrue(cluster.reaches(cluster.alive().get(0), String.format("req-%06d", i), "done", 100));
        }
    }
}
