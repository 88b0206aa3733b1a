package org.weldcourse.fleet;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import org.weldcourse.cluster.Booking;
import org.weldcourse.cluster.ClusterState;
import org.weldcourse.cluster.Job;
import org.weldcourse.cluster.Machine;
import org.weldcourse.http.Json;
import org.weldcourse.jobs.InvalidJobException;
import org.weldcourse.jobs.JobSpec;
import org.weldcourse.jobs.JobSpecCodec;
import org.weldcourse.simulation.JobBodies;
import org.weldcourse.workers.TaskState;

/**
 * A random fleet: machines of which some are not to be used, tasks on them that never end, and jobs that wait, some of
 * which have failed on some of the machines.
 */
final class RandomFleet {
    static final long SECOND = 1_000_000;
    static final List<MachineType> TYPES = List.of(
            new MachineType("small", 4, 0, 16, 100, 1, 0.4, 0.2, 20 * SECOND, List.of("a", "b", "c")),
            new MachineType("large", 16, 0, 64, 100, 1, 1.6, 0.8, 40 * SECOND, List.of("a", "b")),
            new MachineType("gpu", 8, 2, 32, 100, 1, 3.0, 1.2, 60 * SECOND, List.of("b", "c")));
    /** A class of jobs that has a warm pool. */
    static final String CLASS_WITH_OBJECTIVE = "timely";

    private static final List<String> ZONES = List.of("a", "b", "c");

    final ClusterState cluster = new ClusterState();
    final Set<Offering> unavailable = new HashSet<>();
    private final Set<Failure> failures = new HashSet<>();
    private final Random random;
    private final long nowMicros;
    private int machines;
    private int jobs;

    private record Failure(String job, String machine) {}

    RandomFleet(long seed, long nowMicros) {
        this.random = new Random(seed);
        this.nowMicros = nowMicros;
        drawUnavailableOfferings();
        int machineCount = 1 + random.nextInt(6);
        for (int i = 0; i < machineCount; i++) {
            addRunningMachine();
        }
        int runningJobs = random.nextInt(9);
        for (int i = 0; i < runningJobs; i++) {
            addRunningJob();
        }
        int waitingJobs = 1 + random.nextInt(6);
        while (waitingJobs > 0) {
            waitingJobs -= addWaitingJob() ? 1 : 0;
        }
    }

    private void drawUnavailableOfferings() {
        for (MachineType type : TYPES) {
            for (String zone : type.zones()) {
                for (boolean spot : new boolean[] {true, false}) {
                    if (oneIn(4)) {
                        unavailable.add(new Offering(type.name(), zone, spot));
                    }
                }
            }
        }
    }

    private boolean oneIn(int n) {
        return random.nextInt(n) == 0;
    }

    private <T> T oneOf(List<T> choices) {
        return choices.get(random.nextInt(choices.size()));
    }

    private Machine addMachine(MachineType type, String zone, boolean spot, long rentedMicros) {
        Machine machine = cluster.getOrAddMachine("m-" + machines++, rentedMicros);
        machine.type = type;
        machine.zone = zone;
        machine.spot = spot;
        return machine;
    }

    private void addRunningMachine() {
        MachineType type = oneOf(TYPES);
        Machine machine = addMachine(type, oneOf(type.zones()), random.nextBoolean(), nowMicros - 600 * SECOND);
        reportFirst(machine, nowMicros);
        switch (random.nextInt(8)) {
            case 0 -> {
                machine.recordLostResponse(nowMicros);
                machine.recordLostResponse(nowMicros);
            }
            case 1 -> List.of("req-900001", "req-900002").forEach(machine.failures::add);
            case 2 -> machine.reclaimAtMicros = nowMicros + 3600 * SECOND;
            default -> {}
        }
    }

    /** Adds a machine that boots, and returns its name. */
    String addBootingMachine(Offering offering, long rentedMicros) {
        MachineType type = TYPES.stream()
                .filter(each -> each.name().equals(offering.type()))
                .findFirst()
                .orElseThrow();
        return addMachine(type, offering.zone(), offering.spot(), rentedMicros).name;
    }

    /** Draws whether a machine never comes up. */
    boolean drawBootFailure() {
        return oneIn(10);
    }

    /** Returns whether a task of the job failed on the machine before the start. */
    boolean hasFailedOn(Job job, Machine machine) {
        return failures.contains(new Failure(job.spec().id(), machine.name));
    }

    static void reportFirst(Machine machine, long nowMicros) {
        machine.reconciled = true;
        machine.firstHeartbeatMicros = nowMicros;
        machine.lastHeartbeatMicros = nowMicros;
    }

    private JobSpec drawJob() {
        Map<String, Object> body = JobBodies.jobBody(
                String.format("req-%06d", ++jobs),
                "course",
                oneIn(4) ? CLASS_WITH_OBJECTIVE : "any",
                "crew",
                oneOf(List.of("core", "guaranteed")),
                "shape",
                oneOf(List.of("array", "array", "array", "ensemble", "service")),
                "rank",
                oneOf(List.of("urgent", "normal", "idle")),
                "beads",
                1 + random.nextInt(oneIn(3) ? 12 : 3));
        body.putAll(Json.of(
                "cpus",
                oneOf(List.of(0.5, 1.0, 2.0, 4.0, 12.0)),
                "gpus",
                oneIn(6) ? 1.0 : 0.0,
                "mem_gb",
                oneOf(List.of(1.0, 4.0, 16.0, 30.0)),
                "rigs",
                oneIn(3) ? List.of(oneOf(TYPES).name()) : null,
                "yard",
                oneIn(3) ? oneOf(ZONES) : null,
                "together",
                oneIn(5),
                "apart",
                oneIn(8),
                "loaners",
                !oneIn(3)));
        boolean isService = body.get("shape").equals("service");
        body.put("expected_s", isService ? 0.0 : oneOf(List.of(1.0, 10.0, 100.0, 600.0)));
        body.put("due_s", isService ? null : oneOf(Arrays.asList(null, 60.0, 900.0)));
        try {
            return JobSpecCodec.decode(Json.objectOrEmpty(Json.bytes(body)));
        } catch (InvalidJobException unexpected) {
            throw new IllegalStateException(unexpected);
        }
    }

    /** Adds a job whose tasks run on one machine, as many as fit there; or none. */
    private void addRunningJob() {
        JobSpec spec = drawJob();
        Machine machine = oneOf(new ArrayList<>(cluster.machines.values()));
        double cpus = machine.allocation(cluster.runTimes).cpus();
        double memoryGb = machine.allocation(cluster.runTimes).memoryGb();
        double gpus = machine.allocation(cluster.runTimes).gpus();
        int fits = MachineType.tasksThatFit(
                spec, machine.type.cpus() - cpus, machine.type.gpus() - gpus, machine.type.memoryGb() - memoryGb);
        if (spec.spreadAcrossZones() || spec.isGang() || !mayRunOn(spec, machine) || fits < spec.tasks()) {
            return;
        }
        Job job = addJob(spec);
        for (int task = 0; task < spec.tasks(); task++) {
            Booking booking = cluster.book(job, task, 1, machine, nowMicros - 300 * SECOND);
            booking.markPersisted();
            booking.updateState(TaskState.RUNNING, nowMicros - 300 * SECOND);
        }
        job.recordAttempt(1);
    }

    private boolean addWaitingJob() {
        JobSpec spec = drawJob();
        if (!canRunOnNewMachines(spec)) {
            return false;
        }
        Job job = addJob(spec);
        for (Machine machine : cluster.machines.values()) {
            if (oneIn(3)) {
                job.runHistory().exclusions().add(machine.name, nowMicros);
                failures.add(new Failure(spec.id(), machine.name));
            }
        }
        return true;
    }

    private Job addJob(JobSpec spec) {
        Job job = new Job(spec, 1, nowMicros);
        cluster.jobs.put(spec.id(), job);
        return job;
    }

    private boolean canRunOnNewMachines(JobSpec spec) {
        Set<String> zones = zonesWithOffering(spec);
        boolean needsTwoZones = spec.spreadAcrossZones() && spec.tasks() > 1;
        return needsTwoZones ? zones.size() > 1 && !spec.singleZone() : !zones.isEmpty();
    }

    /** Returns the zones in which the cloud has machines that the job's specification allows. */
    Set<String> zonesWithOffering(JobSpec spec) {
        Set<String> zones = new HashSet<>();
        for (MachineType type : TYPES) {
            for (String zone : type.zones()) {
                for (boolean spot : new boolean[] {true, false}) {
                    boolean isAvailable = !unavailable.contains(new Offering(type.name(), zone, spot));
                    if (isAvailable && mayRunOn(spec, type, zone, spot)) {
                        zones.add(zone);
                    }
                }
            }
        }
        return zones;
    }

    /** Returns whether the job's specification allows the machine, by rules of the test's own. */
    static boolean mayRunOn(JobSpec spec, Machine machine) {
        return mayRunOn(spec, machine.type, machine.zone, machine.spot);
    }

    private static boolean mayRunOn(JobSpec spec, MachineType type, String zone, boolean spot) {
        return (spec.machineTypes() == null || spec.machineTypes().contains(type.name()))
                && (spec.zone() == null || spec.zone().equals(zone))
                && (spec.allowsSpot() || !spot)
                && spec.cpus() <= type.cpus()
                && spec.gpus() <= type.gpus()
                && spec.memoryGb() <= type.memoryGb();
    }
}
