package org.weldcourse.app;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.weldcourse.simulation.JobBodies.jobBody;
import static org.weldcourse.simulation.SimulatedCluster.settled;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.weldcourse.settings.Settings;
import org.weldcourse.simulation.SimulatedCluster;

/**
 * Guards against wrong placement: gangs started in part, jobs spread wrongly over zones, exceeded team limits, missing
 * or needless preemption, and needless scale out.
 */
class PlacementAndPreemptionTest {
    @Test
    void gangStartsTogetherInOneZone() {
        SimulatedCluster cluster = settled(1);
        cluster.submit("n0", jobBody("req-000002", "shape", "ensemble", "beads", 6, "cpus", 4.0, "together", true));
        assertTrue(cluster.reaches("n0", "req-000002", "done", 90));
        assertEquals(6, cluster.starts.size());
    }

    @Test
    void spreadJobPlacesAtMostHalfItsTasksInAZone() {
        SimulatedCluster cluster = settled(1);
        cluster.submit("n0", jobBody("req-000003", "shape", "ensemble", "beads", 5, "cpus", 4.0, "apart", true));
        cluster.cloud.addUnrequested("large", "a", false);
        cluster.cloud.addUnrequested("large", "b", false);
        assertTrue(cluster.reaches("n0", "req-000003", "done", 120));
    }

    @Test
    void teamLimitHoldsDespiteFreeCapacity() {
        SimulatedCluster cluster = settled(1);
        cluster.cloud.addUnrequested("large", "a", false);
        cluster.cloud.addUnrequested("large", "b", false);
        cluster.submit("n0", jobBody("req-000004", "crew", "capped", "beads", 12));
        assertTrue(cluster.reaches("n0", "req-000004", "done", 120));
        assertEquals(12, cluster.starts.size());
    }

    @Test
    void jobThatRefusesSpotRunsOnDemandMachinesOnly() {
        SimulatedCluster cluster = settled(1);
        cluster.cloud.addUnrequested("large", "a", true);
        cluster.submit("n0", jobBody("req-000005", "loaners", false, "yard", "b", "rigs", List.of("small")));
        assertTrue(cluster.reaches("n0", "req-000005", "done", 120));
    }

    @Test
    void urgentGangPreemptsIdleWork() {
        SimulatedCluster cluster = settled(1);
        cluster.runMicros.put("req-000024", 300_000_000L);
        cluster.cloud.addUnrequested("large", "a", false);
        cluster.cloud.capacity = 1;
        cluster.submit("n0", jobBody("req-000024", "rank", "idle", "beads", 8));
        assertTrue(cluster.reaches("n0", "req-000024", "running", 60));
        cluster.clock.passSeconds(3);
        cluster.submit("n0", jobBody("req-000025", "rank", "urgent", "shape", "ensemble", "beads", 1, "cpus", 14.0));
        cluster.clock.passSeconds(4);
        assertNotNull(cluster.workerOf("req-000025/0"));
        assertTrue(cluster.reaches("n0", "req-000025", "done", 60));
        // A job does not preempt one of the same priority.
        cluster.submit("n0", jobBody("req-000026", "rank", "idle", "beads", 1, "cpus", 14.0));
        cluster.clock.passSeconds(20);
        assertNull(cluster.workerOf("req-000026/0"));
    }

    @Test
    void guaranteeIsReclaimedFromABorrowerByPreemption() {
        SimulatedCluster cluster = new SimulatedCluster(
                1,
                16,
                32 * 1024,
                List.of(new Settings.Team("core", 8, 0, 0, 0), new Settings.Team("other", 8, 0, 0, 0)));
        cluster.clock.passSeconds(2);
        cluster.runMicros.put("req-000027", 300_000_000L);
        cluster.cloud.addUnrequested("large", "a", false);
        cluster.cloud.capacity = 1;
        cluster.submit("n0", jobBody("req-000027", "rank", "prod", "beads", 8, "crew", "other"));
        assertTrue(cluster.reaches("n0", "req-000027", "running", 60));
        cluster.clock.passSeconds(3);
        cluster.submit("n0", jobBody("req-000028", "rank", "idle", "beads", 8));
        cluster.clock.passSeconds(5);
        long coreTasks = 0;
        for (int i = 0; i < 8; i++) {
            coreTasks += cluster.workerOf("req-000028/" + i) == null ? 0 : 1;
        }
        assertEquals(4, coreTasks, "core preempts up to its guarantee of 8 CPUs and no further");
    }

    @Test
    void smallGangsDoNotStarveALargeOne() {
        SimulatedCluster cluster = settled(1);
        for (int i = 0; i < 4; i++) {
            cluster.cloud.addUnrequested("large", "a", false);
        }
        cluster.cloud.capacity = 4;
        cluster.clock.passSeconds(7);
        Object[] gangChanges = {
            "shape", "ensemble", "rank", "urgent", "cpus", 14.0, "together", true, "expected_s", 30.0
        };
        int nextId = 600;
        long largeSubmittedMicros = 0;
        // Small gangs arrive faster than they finish, and each could take the next machine that becomes free.
        for (int i = 0; i < 45; i++) {
            String id = String.format("req-%06d", nextId++);
            cluster.runMicros.put(id, 30_000_000L);
            Map<String, Object> job = jobBody(id, gangChanges);
            job.put("beads", i == 8 ? 4 : 1);
            cluster.submit("n0", job);
            if (i == 8) {
                largeSubmittedMicros = cluster.clock.nowMicros();
            }
            cluster.clock.passSeconds(6);
            if (cluster.starts.containsKey("req-000608/3")) {
                break;
            }
        }
        assertNotNull(cluster.starts.get("req-000608/3"));
        assertTrue(cluster.clock.nowMicros() - largeSubmittedMicros < 200_000_000);
    }

    @Test
    void startObjectiveOfArraysRentsNoFurtherMachines() {
        // Guards against counting capacity that arrays hold themselves as capacity that other jobs would take from
        // them, which rented machines without need.
        List<Integer> rented = new ArrayList<>();
        Settings.ServiceLevelObjective deadlineObjective =
                new Settings.ServiceLevelObjective(Settings.ServiceLevelObjective.Kind.DEADLINE, "any", 0, 0.9, 1);
        Settings.ServiceLevelObjective startObjective = new Settings.ServiceLevelObjective(
                Settings.ServiceLevelObjective.Kind.START, "any", 200_000_000, 0.9, 1);
        for (List<Settings.ServiceLevelObjective> objectives :
                List.of(List.of(deadlineObjective), List.of(deadlineObjective, startObjective))) {
            SimulatedCluster cluster = new SimulatedCluster(1, objectives);
            cluster.clock.passSeconds(2);
            for (int i = 0; i < 30; i++) {
                cluster.submit("n0", jobBody(String.format("req-%06d", 800 + i), "beads", 8, "due_s", 120.0));
                cluster.clock.passSeconds(4);
            }
            rented.add(cluster.cloud.machines().size() + cluster.cloud.released.size());
        }
        assertTrue(rented.get(1) <= rented.get(0) + 1, rented.toString());
    }
}
