package org.weldcourse.app;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import org.weldcourse.http.Server;
import org.weldcourse.simulation.JobBodies;
import org.weldcourse.simulation.SimulatedCluster;

/** What nothing new costs, in counts: the state service and the cloud are asked no more for more machines or users. */
class CostTest {
    private static final int SECONDS = 8;

    private record Cost(int requests, int writes, int known) {}

    /** What all three nodes ask of the state service in some idle seconds, with so many machines that report all the while. */
    private static Cost idle(int machines) {
        SimulatedCluster cluster = SimulatedCluster.settled(3);
        for (int i = 0; i < machines; i++) {
            cluster.cloud.addUnrequested("large", "a", false);
        }
        cluster.clock.passSeconds(12);
        int requests = cluster.store.requests();
        int writes = cluster.store.writes();
        int known = cluster.workers.size();
        cluster.clock.passSeconds(SECONDS);
        return new Cost(cluster.store.requests() - requests, cluster.store.writes() - writes, known);
    }

    @Test
    void anIdleSecondCostsTheSameWithTenAndWithAThousandMachines() {
        Cost few = idle(10);
        Cost many = idle(1_000);
        assertEquals(10, few.known);
        assertEquals(1_000, many.known);
        assertEquals(0, few.writes);
        assertEquals(few, new Cost(many.requests, many.writes, few.known));
        // A renewal of the lease and a word from each follower in a second, and now and then a watch opened anew.
        assertTrue(few.requests >= SECONDS && few.requests <= 4 * SECONDS, few.requests + " requests");
    }

    @Test
    void aHundredQuestionsAreOneReadOfTheChanges() {
        SimulatedCluster cluster = SimulatedCluster.settled(1);
        cluster.submit("n0", JobBodies.jobBody("req-000001", "cpus", 8.0));
        assertEquals(200, cluster.poll("n0", "req-000001").status());
        cluster.clock.passSeconds(2);
        int before = cluster.store.requests();
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
        // One read of the jobs, one of the admissions, and what a leader asks of its own in that time.
        assertTrue(cluster.store.requests() - before <= 4, cluster.store.requests() - before + " requests");
    }
}
