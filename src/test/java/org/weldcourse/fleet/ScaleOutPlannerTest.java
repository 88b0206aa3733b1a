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
import org.weldcourse.placement.PlacementConstraints;
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
                        new CapacityDemand(
                                PlacementConstraints.ofNewJob(job()),
                                40,
                                10 * SECOND,
                                10 * SECOND,
                                60 * SECOND,
                                Map.of(),
                                0),
                        runningHost(0, 0))
                > 0);
        HostCapacity booting = new HostCapacity(LARGE, "a", true, true, 10 * SECOND, 0, 0, new double[4]);
        assertEquals(0, launched(new CapacityDemand(job("size_gb", 1.0), 20, 10 * SECOND, 45 * SECOND), booting));
        assertTrue(launched(new CapacityDemand(job("size_gb", 30.0), 20, 10 * SECOND, 45 * SECOND), booting) > 0);
        // Machines are launched even if fetching the image makes the tasks miss the deadline.
        assertTrue(launched(new CapacityDemand(job("size_gb", 90.0), 8, 10 * SECOND, 45 * SECOND)) > 0);
    }

    private static HostCapacity host(JobSpec reservedFor, boolean booting, double usedCpuSeconds) {
        return new HostCapacity(
                "m-1", LARGE, "a", true, reservedFor, booting, 0, usedCpuSeconds * SECOND, 0, new double[4]);
    }

    private static CapacityDemand small(PlacementConstraints constraints, long waitedSeconds) {
        return new CapacityDemand(constraints, 1, 10 * SECOND, 0, 60 * SECOND, Map.of(), waitedSeconds * SECOND);
    }

    @Test
    void machinesThatAdmissionRefusesAreNoCapacity() throws Exception {
        JobSpec gang = JobSpecCodec.decode(
                Json.objectOrEmpty(Json.bytes(JobBodies.jobBody("req-000002", "shape", "ensemble"))));
        PlacementConstraints free = PlacementConstraints.ofNewJob(job());
        assertEquals(0, launched(small(free, 0), host(null, false, 0)));
        assertEquals(1, launched(small(free, 0), host(gang, false, 0)));
        PlacementConstraints excluded = new PlacementConstraints(job(), Set.of("m-1"), ZoneCounts.NONE, false);
        assertEquals(1, launched(small(excluded, 0), host(null, false, 0)));
    }

    @Test
    void deferralOfSmallWorkEnds() throws Exception {
        PlacementConstraints constraints = PlacementConstraints.ofNewJob(job());
        HostCapacity full = host(null, false, 10_000);
        assertEquals(0, launched(small(constraints, 44), full));
        assertEquals(1, launched(small(constraints, 45), full));
        // A machine that boots already is enough.
        assertEquals(0, launched(small(constraints, 45), full, host(null, true, 0)));
    }

    @Test
    void overdueWorkDoesNotCountOnRunningMachines() throws Exception {
        PlacementConstraints constraints = PlacementConstraints.ofNewJob(job());
        assertEquals(0, launched(small(constraints, 44), host(null, false, 0)));
        assertEquals(1, launched(small(constraints, 45), host(null, false, 0)));
        assertEquals(0, launched(small(constraints, 45), host(null, false, 0), host(null, true, 0)));
    }

    @Test
    void overdueGangDoesNotCountOnFreeSlotsOfRunningMachines() throws Exception {
        PlacementConstraints constraints =
                PlacementConstraints.ofNewJob(job("shape", "ensemble", "beads", 2, "cpus", 16.0, "together", true));
        for (long waitedSeconds : new long[] {44, 45}) {
            CapacityDemand gang = new CapacityDemand(
                    constraints, 2, 10 * SECOND, 0, 60 * SECOND, Map.of("a", 2), waitedSeconds * SECOND);
            assertEquals(waitedSeconds < 45 ? 0 : 2, launched(gang, host(null, false, 0)));
        }
    }

    /** Guards against launches in a zone that the job's other tasks keep it out of. */
    @Test
    void workOfASingleZoneJobGetsMachinesInTheZoneOfItsOtherTasks() throws Exception {
        PlacementConstraints constraints =
                PlacementConstraints.ofNewJob(job("together", true)).withOtherTasks(new ZoneCounts(Map.of("b", 1), 0));
        MachineType both = new MachineType("large", 16, 0, 64, 100, 1, 1.6, 0.8, 20 * SECOND, List.of("a", "b"));
        List<ScaleOutRequest> launches = ScaleOutPlanner.plan(
                        List.of(small(constraints, 0)), List.of(host(null, false, 0)), List.of(both), Set.of(), 30, 0)
                .requests();
        assertEquals(List.of(new ScaleOutRequest(new Offering("large", "b", true), 1)), launches);
    }
}
