package org.weldcourse.placement;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.weldcourse.cluster.Machine;
import org.weldcourse.cluster.ZoneCounts;
import org.weldcourse.fleet.MachineType;
import org.weldcourse.http.Json;
import org.weldcourse.jobs.JobSpec;
import org.weldcourse.jobs.JobSpecCodec;
import org.weldcourse.simulation.JobBodies;

/** Tests each reason why a job may not run on a machine. */
class PlacementConstraintsTest {
    private static final MachineType TYPE =
            new MachineType("large", 16, 0, 64, 100, 1, 1.6, 0.8, 20_000_000, List.of("a", "b"));

    private final Machine machine = machine();

    private static Machine machine() {
        Machine machine = new Machine("m-1", 0);
        machine.type = TYPE;
        machine.zone = "a";
        machine.reconciled = true;
        return machine;
    }

    private static JobSpec job(Object... changes) throws Exception {
        return JobSpecCodec.decode(Json.objectOrEmpty(Json.bytes(JobBodies.jobBody("req-000001", changes))));
    }

    private Feasibility check(Object... changes) throws Exception {
        return PlacementConstraints.ofNewJob(job(changes)).check(machine);
    }

    private Feasibility checkWithTasksIn(String zone, int tasks, Object... changes) throws Exception {
        ZoneCounts others = new ZoneCounts(Map.of(zone, tasks), 0);
        return PlacementConstraints.ofNewJob(job(changes))
                .withOtherTasks(others)
                .check(machine);
    }

    private Feasibility checkReservedFor(JobSpec gang, boolean hasGuarantee, Object... changes) throws Exception {
        machine.reservedFor = gang;
        return new PlacementConstraints(job(changes), Set.of(), ZoneCounts.NONE, hasGuarantee).check(machine);
    }

    @Test
    void conditionOfTheMachine() throws Exception {
        assertEquals(Feasibility.FEASIBLE, check());
        machine.reconciled = false;
        assertEquals(Feasibility.NOT_REPORTED, check());
        machine.recordLostResponse(0);
        machine.recordLostResponse(1);
        assertEquals(Feasibility.CORDONED, check());
        List.of("req-000002", "req-000003").forEach(machine.failures::add);
        assertEquals(Feasibility.FAULTY, check());
        machine.deleting = true;
        assertEquals(Feasibility.DRAINING, check());
    }

    @Test
    void announcedReclaimAndFailureDrain() throws Exception {
        machine.reclaimAtMicros = 1;
        assertEquals(Feasibility.DRAINING, check());
        machine.reclaimAtMicros = Long.MAX_VALUE;
        machine.reportedFailed = true;
        assertEquals(Feasibility.DRAINING, check());
    }

    @Test
    void typeZoneAndSpot() throws Exception {
        assertEquals(Feasibility.MACHINE_TYPE, check("rigs", List.of("small")));
        assertEquals(Feasibility.MACHINE_TYPE, check("mem_gb", 65.0));
        assertEquals(Feasibility.ZONE, check("yard", "b"));
        machine.spot = true;
        assertEquals(Feasibility.FEASIBLE, check());
        assertEquals(Feasibility.SPOT, check("loaners", false));
    }

    @Test
    void otherTasksOfTheJobBindItsZones() throws Exception {
        assertEquals(Feasibility.ZONE, checkWithTasksIn("b", 1, "together", true));
        assertEquals(Feasibility.FEASIBLE, checkWithTasksIn("a", 1, "together", true));
        assertEquals(Feasibility.ZONE, checkWithTasksIn("a", 2, "apart", true));
        assertEquals(Feasibility.FEASIBLE, checkWithTasksIn("a", 1, "apart", true));
    }

    @Test
    void excludedAfterAFailure() throws Exception {
        PlacementConstraints constraints = new PlacementConstraints(job(), Set.of("m-1"), ZoneCounts.NONE, false);
        assertEquals(Feasibility.EXCLUDED, constraints.check(machine));
        assertEquals(Feasibility.EXCLUDED, constraints.checkUse(machine));
        assertEquals(Feasibility.FEASIBLE, constraints.checkKind(machine));
    }

    @Test
    void reservedForAGangUnlessItCanPreemptTheJob() throws Exception {
        JobSpec gang = JobSpecCodec.decode(
                Json.objectOrEmpty(Json.bytes(JobBodies.jobBody("req-000009", "shape", "ensemble", "rank", "normal"))));
        assertEquals(Feasibility.RESERVED, checkReservedFor(gang, false));
        assertEquals(Feasibility.FEASIBLE, checkReservedFor(gang, false, "rank", "idle"));
        assertEquals(Feasibility.FEASIBLE, checkReservedFor(gang, true, "rank", "idle"));
        assertEquals(Feasibility.RESERVED, checkReservedFor(gang, true, "rank", "idle", "crew", "capped"));
        assertEquals(Feasibility.FEASIBLE, checkReservedFor(job(), false));
    }
}
