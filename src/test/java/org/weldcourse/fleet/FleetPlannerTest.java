package org.weldcourse.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.weldcourse.fleet.FleetPlanner.Host;
import org.weldcourse.fleet.FleetPlanner.Need;
import org.weldcourse.fleet.FleetPlanner.Offer;
import org.weldcourse.fleet.FleetPlanner.Rental;
import org.weldcourse.http.Json;
import org.weldcourse.jobs.JobCodec;
import org.weldcourse.jobs.JobSpec;
import org.weldcourse.simulation.SimulatedCluster;

/** What is rented for which needs. */
class FleetPlannerTest {
    private static final long SECOND = 1_000_000;
    private static final MachineType LARGE =
            new MachineType("large", 16, 0, 64, 100, 1, 1.6, 0.8, 20 * SECOND, List.of("a"));

    private static JobSpec job(Object... changes) throws Exception {
        return JobCodec.spec(Json.objectOrEmpty(Json.bytes(SimulatedCluster.jobBody("req-000001", changes))));
    }

    private static Host up(double busyCpuSeconds, double takenShare) {
        // What is more important than the least takes its part from that alone.
        return new Host(LARGE, "a", true, false, 0, busyCpuSeconds * SECOND, 0, new double[] {0, 0, 0, takenShare});
    }

    private static int rented(Need need, Host... hosts) {
        return FleetPlanner.plan(List.of(need), List.of(hosts), List.of(LARGE), Set.of(), 30, 0).stream()
                .mapToInt(Rental::count)
                .sum();
    }

    @Test
    void workThatMachinesCanDoInTimeRentsNothing() throws Exception {
        assertEquals(0, rented(new Need(job(), 24, 10 * SECOND, 60 * SECOND), up(0, 0)));
        assertTrue(rented(new Need(job(), 100, 10 * SECOND, 60 * SECOND), up(0, 0)) > 0);
    }

    @Test
    void tasksThatDoNotFitTheWindowAreNotSplit() throws Exception {
        // 85 s hold two runs of 30 s, not two and five sixths: 15 tasks, where splitting would do 21.
        assertEquals(0, rented(new Need(job(), 15, 30 * SECOND, 85 * SECOND), up(0, 0)));
        assertTrue(rented(new Need(job(), 24, 30 * SECOND, 85 * SECOND), up(0, 0)) > 0);
    }

    @Test
    void whatGangsTakeIsNotCountedOn() throws Exception {
        Need need = new Need(job("rank", "idle"), 30, 10 * SECOND, 60 * SECOND);
        assertEquals(0, rented(need, up(0, 0)));
        assertTrue(rented(need, up(0, 0.8)) > 0);
        assertEquals(0, rented(new Need(job("rank", "normal"), 30, 10 * SECOND, 60 * SECOND), up(0, 0.8)));
    }

    @Test
    void refusedOffersAndSpotRulesAreKept() throws Exception {
        Need need = new Need(job("loaners", false), 4, 10 * SECOND, 60 * SECOND);
        List<Rental> plan = FleetPlanner.plan(List.of(need), List.of(), List.of(LARGE), Set.of(), 30, 0);
        assertEquals(new Offer("large", "a", false), plan.get(0).offer());
        assertEquals(
                List.of(),
                FleetPlanner.plan(
                        List.of(need), List.of(), List.of(LARGE), Set.of(new Offer("large", "a", false)), 30, 0));
    }

    @Test
    void manySmallShortfallsAreWorthAMachineTogether() throws Exception {
        // The first takes what the machine that is there can do; each of the others is little on its own.
        Need first = new Need(job(), 45, 10 * SECOND, 60 * SECOND);
        Need small = new Need(job(), 4, 10 * SECOND, 60 * SECOND);
        List<Host> hosts = List.of(up(0, 0));
        assertEquals(
                0,
                FleetPlanner.plan(List.of(first, small), hosts, List.of(LARGE), Set.of(), 30, 0)
                        .size());
        assertEquals(
                1,
                FleetPlanner.plan(List.of(first, small, small, small, small), hosts, List.of(LARGE), Set.of(), 30, 0)
                        .get(0)
                        .count());
    }

    @Test
    void aGangDoesNotCountOnWhatAnotherWaitsFor() throws Exception {
        Need gang = new Need(
                job("shape", "ensemble", "beads", 3, "cpus", 16.0, "together", true), 3, 60 * SECOND, 60 * SECOND);
        Host booting = new Host(LARGE, "a", true, true, 10 * SECOND, 0, 0, new double[4]);
        List<Host> hosts = List.of(booting, booting, booting);
        assertEquals(
                0,
                FleetPlanner.plan(List.of(gang), hosts, List.of(LARGE), Set.of(), 30, 0)
                        .size());
        assertEquals(
                3,
                FleetPlanner.plan(List.of(gang, gang), hosts, List.of(LARGE), Set.of(), 30, 0)
                        .get(0)
                        .count());
    }

    @Test
    void gapsBetweenTasksAndTheFirstFetchTakeTheirTime() throws Exception {
        // 60 s hold six runs of 10 s, but three when each waits as long for the next.
        assertEquals(0, rented(new Need(job(), 40, 10 * SECOND, 60 * SECOND), up(0, 0)));
        assertTrue(
                rented(new Need(job(), 40, 10 * SECOND, 10 * SECOND, 60 * SECOND, Map.of(), Map.of()), up(0, 0)) > 0);
        Host booting = new Host(LARGE, "a", true, true, 10 * SECOND, 0, 0, new double[4]);
        assertEquals(0, rented(new Need(job("size_gb", 1.0), 20, 10 * SECOND, 45 * SECOND), booting));
        assertTrue(rented(new Need(job("size_gb", 30.0), 20, 10 * SECOND, 45 * SECOND), booting) > 0);
        // An image that takes longer than there is time is no reason to rent nothing: late is better than never.
        assertTrue(rented(new Need(job("size_gb", 90.0), 8, 10 * SECOND, 45 * SECOND)) > 0);
    }
}
