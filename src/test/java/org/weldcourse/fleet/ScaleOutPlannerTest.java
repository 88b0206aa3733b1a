package org.weldcourse.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.weldcourse.cluster.ZoneCounts;
import org.weldcourse.http.Json;
import org.weldcourse.jobs.JobSpec;
import org.weldcourse.jobs.JobSpecCodec;
import org.weldcourse.simulation.JobBodies;

/** Tests which machines are planned for a given capacity demand. */
class ScaleOutPlannerTest {
    private static final long SECOND = 1_000_000;
    private static final MachineType LARGE =
            new MachineType("large", 16, 0, 64, 100, 1, 1.6, 0.8, 20 * SECOND, List.of("a"));

    private static JobSpec job(Object... changes) throws Exception {
        return JobSpecCodec.decode(Json.objectOrEmpty(Json.bytes(JobBodies.jobBody("req-000001", changes))));
    }

    private static HostCapacity runningHost(double remainingCpuSeconds, double reservedShare) {
        // The share of higher-priority work applies only to jobs of the lowest priority.
        return new HostCapacity(
                LARGE, "a", true, false, 0, remainingCpuSeconds * SECOND, 0, new double[] {0, 0, 0, reservedShare});
    }

    private static List<ScaleOutRequest> requests(
            List<CapacityDemand> demand, List<HostCapacity> hosts, Set<Offering> unavailable) {
        return ScaleOutPlanner.plan(demand, hosts, List.of(LARGE), unavailable, 30, 0)
                .requests();
    }

    private static int launched(CapacityDemand demand, HostCapacity... hosts) {
        return requests(List.of(demand), List.of(hosts), Set.of()).stream()
                .mapToInt(ScaleOutRequest::count)
                .sum();
    }

    @Test
    void noLaunchWhenExistingMachinesMeetTheDeadline() throws Exception {
        assertEquals(0, launched(new CapacityDemand(job(), 24, 10 * SECOND, 60 * SECOND), runningHost(0, 0)));
        assertTrue(launched(new CapacityDemand(job(), 100, 10 * SECOND, 60 * SECOND), runningHost(0, 0)) > 0);
    }

    @Test
    void onlyWholeRunsBeforeTheDeadlineCount() throws Exception {
        // 85 s allow two runs of 30 s rather than 2 5/6: 15 tasks, while splitting would allow 21.
        assertEquals(0, launched(new CapacityDemand(job(), 15, 30 * SECOND, 85 * SECOND), runningHost(0, 0)));
        assertTrue(launched(new CapacityDemand(job(), 24, 30 * SECOND, 85 * SECOND), runningHost(0, 0)) > 0);
    }

    @Test
    void capacityUsedByHigherPriorityWorkIsExcluded() throws Exception {
        CapacityDemand demand = new CapacityDemand(job("rank", "idle"), 30, 10 * SECOND, 60 * SECOND);
        assertEquals(0, launched(demand, runningHost(0, 0)));
        assertTrue(launched(demand, runningHost(0, 0.8)) > 0);
        assertEquals(
                0,
                launched(new CapacityDemand(job("rank", "normal"), 30, 10 * SECOND, 60 * SECOND), runningHost(0, 0.8)));
    }

    @Test
    void unavailableOfferingsAndSpotConstraintsAreRespected() throws Exception {
        CapacityDemand demand = new CapacityDemand(job("loaners", false), 4, 10 * SECOND, 60 * SECOND);
        List<ScaleOutRequest> plan = requests(List.of(demand), List.of(), Set.of());
        assertEquals(new Offering("large", "a", false), plan.get(0).offering());
        assertEquals(List.of(), requests(List.of(demand), List.of(), Set.of(new Offering("large", "a", false))));
    }

    @Test
    void smallShortfallsAccumulateToOneLaunch() throws Exception {
        // The first demand uses up the existing machine; each of the others alone does not justify a new one.
        CapacityDemand first = new CapacityDemand(job(), 45, 10 * SECOND, 60 * SECOND);
        CapacityDemand small = new CapacityDemand(job(), 4, 10 * SECOND, 60 * SECOND);
        List<HostCapacity> hosts = List.of(runningHost(0, 0));
        assertEquals(0, requests(List.of(first, small), hosts, Set.of()).size());
        assertEquals(
                1,
                requests(List.of(first, small, small, small, small), hosts, Set.of())
                        .get(0)
                        .count());
    }

    @Test
    void bootingMachinesAreNotCountedForTwoGangs() throws Exception {
        CapacityDemand gang = new CapacityDemand(
                job("shape", "ensemble", "beads", 3, "cpus", 16.0, "together", true), 3, 60 * SECOND, 60 * SECOND);
        HostCapacity booting = new HostCapacity(LARGE, "a", true, true, 10 * SECOND, 0, 0, new double[4]);
        List<HostCapacity> hosts = List.of(booting, booting, booting);
        assertEquals(0, requests(List.of(gang), hosts, Set.of()).size());
        assertEquals(3, requests(List.of(gang, gang), hosts, Set.of()).get(0).count());
    }

    @Test
    void gapsAndImageFetchReduceCapacity() throws Exception {
        // 60 s allow six runs of 10 s, but only three with a gap of 10 s after each.
        assertEquals(0, launched(new CapacityDemand(job(), 40, 10 * SECOND, 60 * SECOND), runningHost(0, 0)));
        assertTrue(launched(
                        new CapacityDemand(job(), 40, 10 * SECOND, 10 * SECOND, 60 * SECOND, Map.of(), ZoneCounts.NONE),
                        runningHost(0, 0))
                > 0);
        HostCapacity booting = new HostCapacity(LARGE, "a", true, true, 10 * SECOND, 0, 0, new double[4]);
        assertEquals(0, launched(new CapacityDemand(job("size_gb", 1.0), 20, 10 * SECOND, 45 * SECOND), booting));
        assertTrue(launched(new CapacityDemand(job("size_gb", 30.0), 20, 10 * SECOND, 45 * SECOND), booting) > 0);
        // Machines are launched even if fetching the image makes the tasks miss the deadline.
        assertTrue(launched(new CapacityDemand(job("size_gb", 90.0), 8, 10 * SECOND, 45 * SECOND)) > 0);
    }
}
