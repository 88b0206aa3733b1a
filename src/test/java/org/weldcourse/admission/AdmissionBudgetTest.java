package org.weldcourse.admission;

import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.weldcourse.simulation.JobBodies.jobBody;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
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
import org.weldcourse.settings.Settings;

/**
 * Guards against tasks that are booked in the place of others which nobody stops: they would wait for ever. Whatever
 * number of admissions a cycle may make, a booking and the stops that it needs are decided together.
 */
class AdmissionBudgetTest {
    private static final long SECOND = 1_000_000;
    private static final long NOW = 1_000 * SECOND;
    private static final int SCENARIOS = 400;
    private static final int MAX_JOBS = 8;
    private static final MachineType TYPE =
            new MachineType("large", 8, 0, 64, 50, 0.4, 2.0, 0.8, 30 * SECOND, List.of("a", "b"));
    private static final String[] PRIORITIES = {"prod", "urgent", "normal", "idle"};

    private static JobSpec spec(String id, Object... changes) throws Exception {
        return JobSpecCodec.decode(Json.objectOrEmpty(Json.bytes(jobBody(id, changes))));
    }

    private static MachineView machine(Random random, int number) throws Exception {
        List<TaskView> tasks = new ArrayList<>();
        int running = random.nextInt(9);
        JobSpec spec = spec(
                String.format("req-9%05d", number), "rank", PRIORITIES[2 + random.nextInt(2)], "beads", 8, "cpus", 1.0);
        for (int task = 0; task < running; task++) {
            tasks.add(new TaskView(spec, task, random.nextInt(10) == 0, NOW - 60 * SECOND, 3_600 * SECOND));
        }
        String zone = random.nextBoolean() ? "a" : "b";
        Allocation allocation = new Allocation(running, 0, running * spec.memoryGb(), Set.of(), tasks);
        return new MachineView("m-" + number, TYPE, zone, false, null, allocation);
    }

    private static JobView job(Random random, int number) throws Exception {
        String shape = List.of("array", "service", "ensemble").get(random.nextInt(3));
        int tasks = 1 + random.nextInt(8);
        JobSpec spec = spec(
                String.format("req-%06d", number),
                "shape",
                shape,
                "rank",
                PRIORITIES[random.nextInt(3)],
                "beads",
                tasks,
                "cpus",
                1.0 + random.nextInt(2),
                "expected_s",
                shape.equals("service") ? 0.0 : 10.0,
                random.nextBoolean() ? "together" : "apart",
                random.nextInt(3) == 0);
        BitSet pending = new BitSet();
        pending.set(0, tasks);
        return new JobView(
                spec, pending, NOW, false, new long[0], NOW + SECOND, 10 * SECOND, ZoneCounts.NONE, Set.of(), 0, 0);
    }

    /** Fails if a machine would hold more than fits once all tasks that are stopped have exited. */
    private static void assertNoBookingWithoutItsStops(
            List<MachineView> machines, Map<String, JobView> jobs, CycleDecisions decisions, String scenario) {
        Set<String> stopped = new HashSet<>();
        decisions.preemptions().forEach(preemption -> stopped.add(preemption.job() + "/" + preemption.task()));
        Map<String, Double> cpus = new HashMap<>();
        for (MachineView machine : machines) {
            for (TaskView task : machine.allocation().tasks()) {
                if (!task.terminating() && !stopped.contains(task.job().id() + "/" + task.task())) {
                    cpus.merge(machine.name(), task.job().cpus(), Double::sum);
                }
            }
        }
        for (CycleDecisions.Admission admission : decisions.admissions()) {
            double perTask = jobs.get(admission.job()).spec().cpus();
            admission.tasks().forEach((machine, tasks) -> cpus.merge(machine, perTask * tasks.length, Double::sum));
        }
        cpus.forEach((machine, used) ->
                assertTrue(used <= TYPE.cpus() + MachineType.EPSILON, scenario + ": " + used + " CPUs on " + machine));
    }

    @Test
    void everyBudgetOfAdmissionsStopsWhatItsBookingsReplace() throws Exception {
        int preemptions = 0;
        for (int seed = 0; seed < SCENARIOS; seed++) {
            for (int budget = 0; budget <= MAX_JOBS; budget++) {
                Random random = new Random(seed);
                List<MachineView> machines = new ArrayList<>();
                for (int i = 1 + random.nextInt(5); i > 0; i--) {
                    machines.add(machine(random, i));
                }
                Map<String, JobView> jobs = new HashMap<>();
                List<JobView> queue = new ArrayList<>();
                for (int i = 1 + random.nextInt(MAX_JOBS); i > 0; i--) {
                    JobView job = job(random, i);
                    jobs.put(job.spec().id(), job);
                    queue.add(job);
                }
                List<TeamView> teams = List.of(new TeamView(new Settings.Team("core", 0, 0, 0, 0), 0, 0));
                CycleDecisions decisions = Planner.decide(
                        new Snapshot(NOW, machines, queue, teams), new Planner.CycleLimits(2_000, budget, 0));
                assertTrue(decisions.admissions().size() <= budget);
                assertNoBookingWithoutItsStops(machines, jobs, decisions, "seed " + seed + ", budget " + budget);
                preemptions += decisions.preemptions().size();
            }
        }
        assertTrue(preemptions > SCENARIOS, preemptions + " preemptions");
    }
}
