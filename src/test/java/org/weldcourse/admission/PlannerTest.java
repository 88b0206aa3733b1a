package org.weldcourse.admission;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.weldcourse.cluster.Snapshot;
import org.weldcourse.cluster.Snapshot.Allocation;
import org.weldcourse.cluster.Snapshot.JobView;
import org.weldcourse.cluster.Snapshot.MachineView;
import org.weldcourse.cluster.Snapshot.TaskView;
import org.weldcourse.cluster.Snapshot.TeamView;
import org.weldcourse.cluster.ZoneCounts;
import org.weldcourse.fleet.MachineType;
import org.weldcourse.http.Json;
import org.weldcourse.jobs.JobSpec;
import org.weldcourse.jobs.JobSpecCodec;
import org.weldcourse.quota.ResourceAmount;
import org.weldcourse.settings.Settings;
import org.weldcourse.simulation.JobBodies;

/** Tests which jobs an admission cycle admits, in which order and on which machines. */
class PlannerTest {
    private static final long SECOND = 1_000_000;
    private static final long NOW = 1_000 * SECOND;
    private static final MachineType LARGE =
            new MachineType("large", 16, 0, 64, 100, 1, 1.6, 0.8, 20 * SECOND, List.of("a"));
    private static final Planner.CycleLimits AMPLE_LIMITS = new Planner.CycleLimits(1_000, 100, 3 * SECOND);

    private static JobSpec spec(String id, Object... changes) throws Exception {
        return JobSpecCodec.decode(Json.objectOrEmpty(Json.bytes(JobBodies.jobBody(id, changes))));
    }

    private static JobView gang(int number, int tasks, long waitedSeconds) throws Exception {
        JobSpec spec = spec(
                String.format("req-%06d", number),
                "shape",
                "ensemble",
                "rank",
                "urgent",
                "beads",
                tasks,
                "cpus",
                14.0,
                "together",
                true);
        long accepted = NOW - waitedSeconds * SECOND;
        return new JobView(
                spec,
                pending(tasks),
                accepted,
                false,
                new long[] {accepted + 15 * SECOND, accepted + 60 * SECOND},
                accepted + 100 * SECOND,
                30 * SECOND,
                ZoneCounts.NONE,
                Set.of(),
                0,
                0);
    }

    private static BitSet pending(int tasks) {
        BitSet pending = new BitSet();
        pending.set(0, tasks);
        return pending;
    }

    private static MachineView machine(String name, TaskView... tasks) {
        double cpus = 0;
        double memoryGb = 0;
        for (TaskView task : tasks) {
            cpus += task.job().cpus();
            memoryGb += task.job().memoryGb();
        }
        return new MachineView(
                name, LARGE, "a", false, null, new Allocation(cpus, 0, memoryGb, Set.of(), List.of(tasks)));
    }

    private static CycleDecisions decide(Planner.CycleLimits cycleLimits, List<MachineView> machines, JobView... jobs) {
        List<TeamView> teams = List.of(new TeamView(new Settings.Team("core", 0, 0, 0, 0), 0, 0));
        return Planner.decide(new Snapshot(NOW, machines, List.of(jobs), teams), cycleLimits);
    }

    private static List<String> admitted(CycleDecisions decisions) {
        List<String> jobs = new ArrayList<>();
        decisions.admissions().forEach(admission -> jobs.add(admission.job()));
        return jobs;
    }

    private static JobView withExcluded(JobView job, String machine) {
        return new JobView(
                job.spec(),
                job.pending(),
                job.acceptedMicros(),
                job.started(),
                job.admissionDeadlinesMicros(),
                job.latestStartMicros(),
                job.expectedRunMicros(),
                job.zones(),
                Set.of(machine),
                job.quotaReservedTasks(),
                job.releasedTasks());
    }

    /** Guards against a gang that keeps others off the machine that it has failed on itself. */
    @Test
    void gangThatFailedOnAMachineDoesNotHoldUpOthersOfItsShape() throws Exception {
        JobView failed = withExcluded(gang(1, 1, 10), "m-1");
        assertEquals(
                List.of("req-000002"), admitted(decide(AMPLE_LIMITS, List.of(machine("m-1")), failed, gang(2, 1, 10))));
    }

    @Test
    void overdueJobsPrecedeJobsThatCanMeetAnObjectiveAndThosePrecedeTheRest() throws Exception {
        List<MachineView> one = List.of(machine("m-1"));
        assertEquals(List.of("req-000002"), admitted(decide(AMPLE_LIMITS, one, gang(1, 1, 60), gang(2, 1, 2))));
        assertEquals(List.of("req-000002"), admitted(decide(AMPLE_LIMITS, one, gang(1, 1, 61), gang(2, 1, 2))));
        // Jobs that can only meet a later objective come in between, those with less work first.
        assertEquals(List.of("req-000002"), admitted(decide(AMPLE_LIMITS, one, gang(1, 1, 30), gang(2, 1, 2))));
        assertEquals(List.of("req-000002"), admitted(decide(AMPLE_LIMITS, one, gang(1, 1, 90), gang(2, 1, 30))));
        assertEquals(
                List.of("req-000003"),
                admitted(decide(AMPLE_LIMITS, one, gang(1, 2, 40), gang(2, 2, 59), gang(3, 1, 20))));
        assertEquals(List.of("req-000001"), admitted(decide(AMPLE_LIMITS, one, gang(1, 1, 160), gang(2, 1, 2))));
        assertEquals(
                List.of("req-000002"),
                admitted(decide(AMPLE_LIMITS, List.of(machine("m-1"), machine("m-2")), gang(1, 2, 2), gang(2, 1, 1))));
    }

    @Test
    void machinesReservedForAGangAreClosedToEqualPrioritiesButOpenToLowerOnes() throws Exception {
        JobSpec running = spec("req-000009", "shape", "ensemble", "rank", "urgent", "cpus", 14.0);
        List<MachineView> machines = List.of(
                machine("m-1"),
                machine("m-2"),
                machine("m-3", new TaskView(running, 0, false, NOW - SECOND, 60 * SECOND)));
        JobSpec idle = spec("req-000008", "rank", "idle", "beads", 2);
        JobView array = new JobView(
                idle, pending(2), NOW, false, new long[0], NOW + SECOND, SECOND, ZoneCounts.NONE, Set.of(), 0, 0);
        // The large gang is overdue: the small gang behind it must not take the machines that it waits for.
        CycleDecisions decisions = decide(AMPLE_LIMITS, machines, gang(1, 3, 160), gang(2, 1, 160 - 1), array);
        assertEquals(List.of("req-000008"), admitted(decisions));
        assertEquals(Set.of("m-1", "m-2", "m-3"), decisions.reservedMachines());
        assertEquals(Map.of("a", 2), decisions.pending().get(0).freeSlotsByZone());
        // After 225 s the reservation pauses, in case the missing machines never become available.
        assertTrue(decide(AMPLE_LIMITS, machines, gang(1, 3, 240))
                .reservedMachines()
                .isEmpty());
    }

    @Test
    void admissionsStayWithinTheLimitOfTheCycle() throws Exception {
        List<MachineView> machines = List.of(machine("m-1"), machine("m-2"));
        Planner.CycleLimits cycleLimits = new Planner.CycleLimits(1_000, 1, 0);
        assertEquals(
                1,
                decide(cycleLimits, machines, gang(1, 1, 1), gang(2, 1, 2))
                        .admissions()
                        .size());
    }

    @Test
    void machinesBookedBeyondTheAdmissionLimitAreReservedAgainstScaleIn() throws Exception {
        List<MachineView> machines = List.of(machine("m-1"), machine("m-2"));
        CycleDecisions decisions = decide(new Planner.CycleLimits(1_000, 1, 0), machines, gang(1, 1, 1), gang(2, 1, 2));
        assertEquals(
                1,
                decisions.reservedMachines().size(),
                decisions.reservedMachines().toString());
        assertTrue(decisions.admissions().get(0).tasks().keySet().stream()
                .noneMatch(decisions.reservedMachines()::contains));
        assertEquals(
                Set.of(),
                decide(AMPLE_LIMITS, machines, gang(1, 1, 1), gang(2, 1, 2)).reservedMachines());
    }

    @Test
    void quotaThatIsStillOnRecordCausesNoSecondPreemptionAndGoesToTheFirstJob() throws Exception {
        JobSpec preempted = spec("req-000009", "rank", "idle", "beads", 2, "cpus", 14.0);
        JobView waiting = new JobView(
                preempted, pending(1), NOW, true, new long[0], NOW, SECOND, ZoneCounts.NONE, Set.of(), 0, 1);
        TaskView running = new TaskView(preempted, 1, false, NOW - SECOND, 60 * SECOND);
        List<MachineView> machines = List.of(machine("m-1"), machine("m-2", running));
        List<TeamView> teams = List.of(TeamView.of(
                new Settings.Team("core", 0, 28, 0, 0), ResourceAmount.of(28, 0), ResourceAmount.of(14, 0)));
        CycleDecisions decisions =
                Planner.decide(new Snapshot(NOW, machines, List.of(waiting, gang(1, 1, 1)), teams), AMPLE_LIMITS);
        assertEquals(List.of(), decisions.preemptions());
        assertEquals(List.of(), admitted(decisions));
        assertEquals(2, decisions.pending().size());
    }

    @Test
    void replacementReplicaAvoidsAMachineThatRunsAThirdOfItsService() throws Exception {
        JobSpec service =
                spec("req-000001", "shape", "service", "rank", "prod", "beads", 6, "cpus", 1.0, "expected_s", 0.0);
        TaskView first = new TaskView(service, 0, false, NOW - 60 * SECOND, Long.MAX_VALUE / 2);
        TaskView second = new TaskView(service, 1, false, NOW - 60 * SECOND, Long.MAX_VALUE / 2);
        BitSet lost = new BitSet();
        lost.set(4, 6);
        JobView waiting = new JobView(
                service, lost, NOW, true, new long[0], NOW, SECOND, new ZoneCounts(Map.of("a", 4), 0), Set.of(), 0, 0);
        // The fullest machine would come first, but it already runs a third of this service.
        List<MachineView> machines = List.of(machine("m-1", first, second), machine("m-2", first), machine("m-3"));
        Map<String, int[]> tasks =
                decide(AMPLE_LIMITS, machines, waiting).admissions().get(0).tasks();
        assertEquals(Set.of("m-2", "m-3"), tasks.keySet());
    }

    private static JobView apartService(ZoneCounts zones) throws Exception {
        JobSpec spec =
                spec("req-000001", "shape", "service", "beads", 6, "cpus", 1.0, "expected_s", 0.0, "apart", true);
        return new JobView(spec, pending(6), NOW, true, new long[0], NOW, SECOND, zones, Set.of(), 0, 0);
    }

    private static int admittedTasks(CycleDecisions decisions) {
        return decisions.admissions().stream()
                .flatMap(admission -> admission.tasks().values().stream())
                .mapToInt(tasks -> tasks.length)
                .sum();
    }

    /** Guards against too many replicas in a zone because those on machines not heard of yet counted in no zone. */
    @Test
    void tasksInUnknownZonesCountInEveryZone() throws Exception {
        List<MachineView> machines = List.of(machine("m-1"), machine("m-2"));
        assertEquals(3, admittedTasks(decide(AMPLE_LIMITS, machines, apartService(ZoneCounts.NONE))));
        assertEquals(0, admittedTasks(decide(AMPLE_LIMITS, machines, apartService(new ZoneCounts(Map.of(), 3)))));
        assertEquals(
                1,
                admittedTasks(decide(AMPLE_LIMITS, machines, apartService(new ZoneCounts(Map.of("a", 1, "b", 3), 1)))));
        assertEquals(3, admittedTasks(decide(AMPLE_LIMITS, machines, apartService(new ZoneCounts(Map.of("b", 3), 0)))));
    }

    /** Guards against a second zone for a job whose other tasks are, or may be, in another one. */
    @Test
    void singleZoneJobWaitsWhileTheZoneOfItsTasksIsNotKnown() throws Exception {
        JobSpec spec = spec("req-000001", "beads", 6, "cpus", 1.0, "together", true);
        List<MachineView> machines = List.of(machine("m-1"));
        for (ZoneCounts elsewhere : List.of(
                new ZoneCounts(Map.of(), 1),
                new ZoneCounts(Map.of("a", 1), 1),
                new ZoneCounts(Map.of("a", 1, "b", 1), 0))) {
            JobView job = new JobView(spec, pending(2), NOW, true, new long[0], NOW, SECOND, elsewhere, Set.of(), 0, 0);
            assertEquals(0, admittedTasks(decide(AMPLE_LIMITS, machines, job)), elsewhere.toString());
        }
        JobView job = new JobView(
                spec,
                pending(2),
                NOW,
                true,
                new long[0],
                NOW,
                SECOND,
                new ZoneCounts(Map.of("a", 4), 0),
                Set.of(),
                0,
                0);
        assertEquals(2, admittedTasks(decide(AMPLE_LIMITS, machines, job)));
    }

    private static JobView service(int replicas) throws Exception {
        JobSpec spec = spec(
                "req-000001", "shape", "service", "rank", "prod", "beads", replicas, "cpus", 1.0, "expected_s", 0.0);
        return new JobView(
                spec, pending(replicas), NOW, false, new long[0], NOW, SECOND, ZoneCounts.NONE, Set.of(), 0, 0);
    }

    @Test
    void replicasOfDifferentServicesShareMachinesUpToAMaximumShare() throws Exception {
        JobSpec other = spec("req-000009", "shape", "service", "rank", "prod", "cpus", 1.0, "expected_s", 0.0);
        JobSpec array = spec("req-000008", "rank", "idle", "cpus", 8.0);
        TaskView replica = new TaskView(other, 0, false, NOW - 60 * SECOND, Long.MAX_VALUE / 2);
        TaskView task = new TaskView(array, 0, false, NOW - SECOND, 30 * SECOND);
        List<MachineView> machines = List.of(
                machine("m-1", task),
                machine("m-2", replica),
                machine("m-3", replica),
                machine("m-4", task),
                machine("m-5"),
                machine("m-6", replica, replica, replica, replica, replica, replica));
        Map<String, int[]> tasks =
                decide(AMPLE_LIMITS, machines, service(6)).admissions().get(0).tasks();
        assertEquals(
                Set.of("m-1", "m-2", "m-3"),
                tasks.keySet(),
                "machines with replicas, then the fullest; m-6 has reached its share");
        assertTrue(tasks.values().stream().allMatch(some -> some.length == 2), "a third of the service on each");
    }

    @Test
    void replicasPreemptArraysRatherThanGangs() throws Exception {
        JobSpec gang = spec("req-000009", "shape", "ensemble", "rank", "urgent", "cpus", 16.0);
        JobSpec array = spec("req-000008", "rank", "idle", "cpus", 16.0);
        List<MachineView> machines = List.of(
                machine("m-1", new TaskView(gang, 0, false, NOW - SECOND, 60 * SECOND)),
                machine("m-2", new TaskView(array, 0, false, NOW - 50 * SECOND, 60 * SECOND)));
        CycleDecisions decisions = decide(AMPLE_LIMITS, machines, service(1));
        assertEquals(Set.of("m-2"), decisions.admissions().get(0).tasks().keySet());
        assertEquals("req-000008", decisions.preemptions().get(0).job());
    }

    @Test
    void arraysAreBookedAheadOnCapacityThatIsFreeSoon() throws Exception {
        JobSpec other = spec("req-000009", "cpus", 8.0);
        MachineView ending = machine(
                "m-1",
                new TaskView(other, 0, false, NOW - 29 * SECOND, 30 * SECOND),
                new TaskView(other, 1, false, NOW, 30 * SECOND));
        JobSpec idle = spec("req-000008", "beads", 20, "cpus", 4.0);
        JobView array =
                new JobView(idle, pending(20), NOW, false, new long[0], NOW, SECOND, ZoneCounts.NONE, Set.of(), 0, 0);
        CycleDecisions decisions = decide(AMPLE_LIMITS, List.of(ending), array);
        assertEquals(2, decisions.admissions().get(0).tasks().get("m-1").length);
        assertEquals(18, decisions.pending().get(0).tasks());
    }
}
