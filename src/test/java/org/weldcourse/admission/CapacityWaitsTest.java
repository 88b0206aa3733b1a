package org.weldcourse.admission;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.weldcourse.cluster.ClusterState;
import org.weldcourse.cluster.Job;
import org.weldcourse.http.Json;
import org.weldcourse.jobs.JobSpecCodec;
import org.weldcourse.placement.PlacementConstraints;
import org.weldcourse.simulation.JobBodies;

/** Tests how long jobs have waited for capacity. */
class CapacityWaitsTest {
    private static final String ID = "req-000001";

    private final ClusterState cluster = new ClusterState();
    private final CapacityWaits waits = new CapacityWaits();
    private Job job;

    @BeforeEach
    void addJob() throws Exception {
        job = new Job(JobSpecCodec.decode(Json.objectOrEmpty(Json.bytes(JobBodies.jobBody(ID)))), 1, 0);
        cluster.jobs.put(ID, job);
    }

    private CycleDecisions.PendingTasks pending(boolean blockedByQuota) {
        return new CycleDecisions.PendingTasks(PlacementConstraints.ofNewJob(job.spec()), 1, blockedByQuota);
    }

    private void endCycle(
            long nowMicros, List<CycleDecisions.Admission> admissions, List<CycleDecisions.PendingTasks> pending) {
        waits.cycleEnded(
                new CycleDecisions(admissions, List.of(), pending, Map.of(), Set.of()), cluster.jobs, nowMicros);
    }

    @Test
    void waitBeginsWithTheFirstCycleWithoutCapacity() {
        endCycle(10, List.of(), List.of(pending(true)));
        assertEquals(0, waits.waitedMicros(ID, 15), "only quota was missing");
        endCycle(20, List.of(), List.of(pending(false)));
        endCycle(30, List.of(), List.of(pending(false)));
        assertEquals(15, waits.waitedMicros(ID, 35));
    }

    /** Guards against a deferral without an end in a team at its limit, whose jobs have quota now and again only. */
    @Test
    void waitGoesOnWhileQuotaIsMissingOrTheJobBacksOff() {
        endCycle(10, List.of(), List.of(pending(false)));
        endCycle(20, List.of(), List.of(pending(true)));
        endCycle(30, List.of(), List.of());
        assertEquals(30, waits.waitedMicros(ID, 40));
    }

    @Test
    void bookingBeginsTheWaitAnew() {
        endCycle(10, List.of(), List.of(pending(false)));
        endCycle(20, List.of(new CycleDecisions.Admission(ID, Map.of("m-1", new int[] {0}))), List.of(pending(false)));
        assertEquals(5, waits.waitedMicros(ID, 25));
    }

    @Test
    void waitEndsWithTheLastPendingTask() {
        endCycle(10, List.of(), List.of(pending(false)));
        for (int task = 0; task < job.spec().tasks(); task++) {
            cluster.book(job, task, 1, cluster.getOrAddMachine("m-1", 0), 0);
        }
        endCycle(20, List.of(), List.of());
        assertEquals(0, waits.waitedMicros(ID, 30));
    }
}
