package org.weldcourse.leader;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.weldcourse.simulation.FakeClock;
import org.weldcourse.simulation.SimulatedCluster;

/** Tests that the warm-up of a standby runs the leader's work, only while the node has spare time, and then ends. */
class StandbyWarmUpTest {
    private final FakeClock time = new FakeClock();
    private boolean hasSpareTime = true;
    private StandbyWarmUp warmUp;

    @BeforeEach
    void start() {
        warmUp = new StandbyWarmUp(new SimulatedCluster(1).settings("n0"), time, time, () -> hasSpareTime);
        warmUp.start();
    }

    @Test
    void jobsAreAdmittedStartedAndFinishedInOneRound() {
        // One step per 20 ms: creating the cluster, three passes of 16 heartbeats and a cycle, and restoring the
        // records.
        time.pass(20_000 * 51);
        assertTrue(warmUp.cluster().state().jobs.values().stream()
                .anyMatch(job -> job.spec().isGang() && job.allDone()));
        assertTrue(warmUp.cluster().state().jobs.values().stream()
                .anyMatch(job -> !job.spec().isGang() && job.hasDoneTasks()));
        assertFalse(warmUp.cluster().state().machines.values().stream().anyMatch(machine -> !machine.reconciled));
    }

    @Test
    void warmUpWaitsForSpareTimeAndEnds() {
        hasSpareTime = false;
        time.passSeconds(60);
        assertNull(warmUp.cluster());
        hasSpareTime = true;
        time.passSeconds(60);
        SyntheticCluster last = warmUp.cluster();
        time.passSeconds(600);
        assertSame(last, warmUp.cluster());
        assertFalse(warmUp.isStepScheduled());
    }

    @Test
    void heartbeatsAreSentThroughAConnectionOnceItIsSet() {
        AtomicInteger received = new AtomicInteger();
        warmUp.useConnection(request -> received.incrementAndGet());
        time.pass(20_000 * 17);
        assertEquals(16, received.get());
    }
}
