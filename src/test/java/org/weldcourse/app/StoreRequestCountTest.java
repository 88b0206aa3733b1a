package org.weldcourse.app;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import org.weldcourse.http.Server;
import org.weldcourse.simulation.JobBodies;
import org.weldcourse.simulation.SimulatedCluster;

/**
 * Guards against store traffic that grows with the number of machines or of polling users: the store's request rate is
 * limited.
 */
class StoreRequestCountTest {
    private static final int MEASURED_SECONDS = 8;

    private record StoreLoad(int requests, int writes, int knownMachines) {}

    /** Counts the store requests of three controllers without jobs while all machines send heartbeats. */
    private static StoreLoad measureIdleLoad(int machines) {
        SimulatedCluster cluster = SimulatedCluster.settled(3);
        for (int i = 0; i < machines; i++) {
            cluster.cloud.addUnrequested("large", "a", false);
        }
        cluster.clock.passSeconds(12);
        int requests = cluster.store.requests();
        int writes = cluster.store.writes();
        int knownMachines = cluster.workers.size();
        cluster.clock.passSeconds(MEASURED_SECONDS);
        return new StoreLoad(cluster.store.requests() - requests, cluster.store.writes() - writes, knownMachines);
    }

    @Test
    void idleStoreRequestsDoNotGrowWithMachines() {
        StoreLoad few = measureIdleLoad(10);
        StoreLoad many = measureIdleLoad(1_000);
        assertEquals(10, few.knownMachines);
        assertEquals(1_000, many.knownMachines);
        assertEquals(0, few.writes);
        assertEquals(few, new StoreLoad(many.requests, many.writes, few.knownMachines));
        // The leader renews its lease and reopens its watch each second; each standby reads the epoch every two
        // seconds.
        assertTrue(
                few.requests >= MEASURED_SECONDS && few.requests <= 4 * MEASURED_SECONDS, few.requests + " requests");
    }

    @Test
    void concurrentPollsShareOneRead() {
        SimulatedCluster cluster = SimulatedCluster.settled(1);
        cluster.submit("n0", JobBodies.jobBody("req-000001", "cpus", 8.0));
        assertEquals(200, cluster.poll("n0", "req-000001").status());
        cluster.clock.passSeconds(2);
        int requestsBefore = cluster.store.requests();
        int[] answered = new int[1];
        for (int i = 0; i < 100; i++) {
            cluster.controller("n0")
                    .requestHandler()
                    .handle(
                            new Server.Request("GET", "/v1/jobs/req-000001", new byte[0]),
                            (status, body, retryAfterSeconds) -> answered[0] += status == 200 ? 1 : 0);
        }
        cluster.clock.pass(100_000);
        assertEquals(100, answered[0]);
        // One read of the jobs, one of the admissions, and the leader's own requests in that time.
        assertTrue(
                cluster.store.requests() - requestsBefore <= 4,
                cluster.store.requests() - requestsBefore + " requests");
    }
}
