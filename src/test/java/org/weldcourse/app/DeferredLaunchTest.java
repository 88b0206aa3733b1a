package org.weldcourse.app;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.weldcourse.simulation.JobBodies.jobBody;

import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.weldcourse.http.Json;
import org.weldcourse.simulation.SimulatedCluster;

/**
 * Guards against small jobs that wait for good, because they do not justify a machine of their own and some machine is up
 * (review/5), or because a machine seems to have room that it never has.
 */
class DeferredLaunchTest {
    private static final String OTHER = "req-000001";
    private static final String JOB = "req-000002";
    /** To launch a machine at once, boot it and run a task of 5 s. */
    private static final double LAUNCH_SECONDS = 25;
    /** To wait in vain for running machines first. */
    private static final double DEFERRED_LAUNCH_SECONDS = 45 + LAUNCH_SECONDS;

    private final SimulatedCluster cluster = SimulatedCluster.settled(1);

    /** Starts a job that keeps one large machine in zone a up for the rest of the test. */
    private void startOther(Object... changes) {
        cluster.runMicros.put(OTHER, Long.MAX_VALUE);
        Map<String, Object> job = jobBody(OTHER, "rigs", List.of("large"), "yard", "a", "size_gb", 0.0);
        job.putAll(Json.of(changes));
        cluster.submit("n0", job);
        assertTrue(cluster.reaches("n0", OTHER, "running", 30));
        cluster.clock.passSeconds(3);
        assertEquals(1, cluster.cloud.machines().size());
    }

    private void assertDoneWithin(double seconds, Object... changes) {
        cluster.runMicros.put(JOB, 5_000_000L);
        cluster.submit("n0", jobBody(JOB, changes));
        assertTrue(cluster.reaches("n0", JOB, "done", seconds));
        assertEquals(1, cluster.starts.get(OTHER + "/0"), "the other job runs on");
    }

    @Test
    void machineInAnotherZoneDefersNothing() {
        startOther("expected_s", 300.0);
        assertDoneWithin(LAUNCH_SECONDS, "beads", 1, "yard", "b");
    }

    @Test
    void spotMachineDefersNothingForAJobThatDoesNotAllowIt() {
        startOther("expected_s", 300.0);
        assertDoneWithin(LAUNCH_SECONDS, "beads", 1, "loaners", false);
    }

    @Test
    void machineOfAnotherTypeDefersNothing() {
        startOther("expected_s", 300.0);
        assertDoneWithin(LAUNCH_SECONDS, "beads", 1, "rigs", List.of("small"));
    }

    @Test
    void deferralEndsWhileTheMachineStaysFull() {
        startOther("beads", 8, "expected_s", 300.0);
        assertDoneWithin(DEFERRED_LAUNCH_SECONDS, "beads", 1);
    }

    /** The other tasks have overrun their estimate by far, so that each moment the machine seems to be free soon. */
    @Test
    void tasksThatOverrunTheirEstimateHoldNobodyUpForGood() {
        startOther("beads", 8, "expected_s", 1.0);
        assertDoneWithin(DEFERRED_LAUNCH_SECONDS, "beads", 1);
    }

    @Test
    void machineWithoutFreeMemoryHoldsNobodyUpForGood() {
        startOther("beads", 1, "shape", "service", "expected_s", 0.0, "mem_gb", 64.0);
        assertDoneWithin(DEFERRED_LAUNCH_SECONDS, "beads", 1);
    }
}
