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

/** Records in the state service: how large, how many writes, and what becomes of lost and unreadable ones. */
class StoredRecordsTest {
    @Test
    void largeArrayFitsSmallValuesAndTransactions() {
        SimulatedCluster world = new SimulatedCluster(1, 4, 1024, List.of(new Settings.Team("core", 0, 0, 0, 0)));
        world.clock.passSeconds(2);
        for (int i = 0; i < 8; i++) {
            world.cloud.addUnrequested("large", i % 2 == 0 ? "a" : "b", false);
        }
        // Uneven run times scatter what is left, which makes for the longest records.
        for (int i = 0; i < 600; i++) {
            world.runMicros.put("req-000032/" + i, 2_000_000L + 700_000L * (i % 7));
        }
        world.submit("n0", jobBody("req-000032", "beads", 600, "cpus", 0.5, "mem_gb", 0.5));
        assertTrue(world.reaches("n0", "req-000032", "done", 200));
        assertEquals(600, world.starts.size());
        world.clock.passSeconds(20);
        assertEquals(List.of(), world.store.keys("done/"));
        assertEquals(List.of(), world.store.keys("slices/"));
    }

    @Test
    void jobWhoseRecordIsGoneIsDroppedInsteadOfTriedForEver() {
        SimulatedCluster world = settled(1);
        world.cloud.capacity = 0;
        world.submit("n0", jobBody("req-000040"));
        world.clock.passSeconds(2);
        world.store.removeWithoutEvent("open/req-000040");
        int writes = world.store.writes();
        world.cloud.capacity = 100;
        world.cloud.addUnrequested("large", "a", false);
        world.clock.passSeconds(60);
        assertEquals(0, world.runningTasks());
        assertTrue(world.store.writes() - writes <= 10, "writes: " + (world.store.writes() - writes));
        assertEquals(0, world.starts.size());
    }

    @Test
    void aJobCostsFewStoreWrites() {
        SimulatedCluster world = settled(1);
        world.cloud.addUnrequested("large", "a", false);
        world.cloud.addUnrequested("large", "b", false);
        world.cloud.capacity = 2;
        world.clock.passSeconds(7);
        int before = world.store.writes();
        // Four rounds of 16 tasks, ending one by one.
        for (int i = 0; i < 64; i++) {
            world.runMicros.put("req-000044/" + i, 6_000_000L + 150_000L * (i % 16));
        }
        world.submit("n0", jobBody("req-000044", "beads", 64, "expected_s", 7.0));
        assertTrue(world.reaches("n0", "req-000044", "done", 90));
        world.clock.passSeconds(10);
        int writes = world.store.writes() - before;
        assertTrue(writes <= 32, "changes: " + writes);
    }

    @Test
    void unreadableRecordStopsItsOwnJobOnly() {
        SimulatedCluster world = settled(2);
        world.runMicros.put("req-000050", 30_000_000L);
        world.submit("n0", jobBody("req-000050"));
        assertTrue(world.reaches("n0", "req-000050", "running", 60));
        world.clock.passSeconds(2);
        world.store.corrupt("slices/req-000050/0", Map.of("machines", Map.of("m-000000", "nonsense")));
        world.killNode(world.leader());
        world.clock.passSeconds(7);
        String next = world.leader();
        world.submit(next, jobBody("req-000051"));
        assertTrue(world.reaches(next, "req-000051", "done", 60));
        assertEquals(200, world.poll(next, "req-000050").status());
        assertTrue(world.starts.values().stream().allMatch(count -> count == 1), world.starts.toString());
    }
}
