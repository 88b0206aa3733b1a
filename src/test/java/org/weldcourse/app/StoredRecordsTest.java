package org.weldcourse.app;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.weldcourse.simulation.JobBodies.jobBody;
import static org.weldcourse.simulation.SimulatedCluster.settled;

import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.weldcourse.settings.Settings;
import org.weldcourse.simulation.SimulatedCluster;

/**
 * Guards against records that exceed the limits of the store, cost too many writes, or affect other jobs when they are
 * missing or unreadable.
 */
class StoredRecordsTest {
    @Test
    void largeArrayFitsSmallValueAndTransactionLimits() {
        SimulatedCluster cluster = new SimulatedCluster(1, 4, 1024, List.of(new Settings.Team("core", 0, 0, 0, 0)));
        cluster.clock.passSeconds(2);
        for (int i = 0; i < 8; i++) {
            cluster.cloud.addUnrequested("large", i % 2 == 0 ? "a" : "b", false);
        }
        // Uneven run times scatter the unfinished tasks, which gives the longest records.
        for (int i = 0; i < 600; i++) {
            cluster.runMicros.put("req-000032/" + i, 2_000_000L + 700_000L * (i % 7));
        }
        cluster.submit("n0", jobBody("req-000032", "beads", 600, "cpus", 0.5, "mem_gb", 0.5));
        assertTrue(cluster.reaches("n0", "req-000032", "done", 200));
        assertEquals(600, cluster.starts.size());
        cluster.clock.passSeconds(20);
        assertEquals(List.of(), cluster.store.keys("done/"));
        assertEquals(List.of(), cluster.store.keys("slices/"));
    }

    @Test
    void jobWhoseRecordIsMissingIsNotRetriedForever() {
        SimulatedCluster cluster = settled(1);
        cluster.cloud.capacity = 0;
        cluster.submit("n0", jobBody("req-000040"));
        cluster.clock.passSeconds(2);
        cluster.store.removeWithoutEvent("open/req-000040");
        int writes = cluster.store.writes();
        cluster.cloud.capacity = 100;
        cluster.cloud.addUnrequested("large", "a", false);
        cluster.clock.passSeconds(60);
        assertEquals(0, cluster.runningTasks());
        assertTrue(cluster.store.writes() - writes <= 10, "writes: " + (cluster.store.writes() - writes));
        assertEquals(0, cluster.starts.size());
    }

    @Test
    void jobCostsFewStoreWrites() {
        SimulatedCluster cluster = settled(1);
        cluster.cloud.addUnrequested("large", "a", false);
        cluster.cloud.addUnrequested("large", "b", false);
        cluster.cloud.capacity = 2;
        cluster.clock.passSeconds(7);
        int before = cluster.store.writes();
        // Four rounds of 16 tasks, ending one by one.
        for (int i = 0; i < 64; i++) {
            cluster.runMicros.put("req-000044/" + i, 6_000_000L + 150_000L * (i % 16));
        }
        cluster.submit("n0", jobBody("req-000044", "beads", 64, "expected_s", 7.0));
        assertTrue(cluster.reaches("n0", "req-000044", "done", 90));
        cluster.clock.passSeconds(10);
        int writes = cluster.store.writes() - before;
        assertTrue(writes <= 32, "writes: " + writes);
    }

    @Test
    void unreadableRecordStopsItsOwnJobOnly() {
        SimulatedCluster cluster = settled(2);
        cluster.runMicros.put("req-000050", 30_000_000L);
        cluster.submit("n0", jobBody("req-000050"));
        assertTrue(cluster.reaches("n0", "req-000050", "running", 60));
        cluster.clock.passSeconds(2);
        cluster.store.corrupt("slices/req-000050/0", Map.of("machines", Map.of("m-000000", "nonsense")));
        cluster.killNode(cluster.leader());
        cluster.clock.passSeconds(7);
        String next = cluster.leader();
        cluster.submit(next, jobBody("req-000051"));
        assertTrue(cluster.reaches(next, "req-000051", "done", 60));
        assertEquals(200, cluster.poll(next, "req-000050").status());
        assertTrue(cluster.starts.values().stream().allMatch(count -> count == 1), cluster.starts.toString());
    }
}
