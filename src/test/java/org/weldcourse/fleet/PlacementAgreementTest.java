package org.weldcourse.fleet;

import static org.junit.jupiter.api.Assertions.fail;
import static org.weldcourse.fleet.RandomFleet.SECOND;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.weldcourse.admission.CapacityDemandEstimator;
import org.weldcourse.admission.CapacityWaits;
import org.weldcourse.admission.CycleDecisions;
import org.weldcourse.admission.Planner;
import org.weldcourse.admission.SnapshotBuilder;
import org.weldcourse.cluster.AttemptBookings;
import org.weldcourse.cluster.Booking;
import org.weldcourse.cluster.ClusterState;
import org.weldcourse.cluster.Job;
import org.weldcourse.cluster.Machine;
import org.weldcourse.cluster.ReleaseReason;
import org.weldcourse.jobs.JobSpec;
import org.weldcourse.quota.enforcement.SettingsQuotaEnforcement;
import org.weldcourse.settings.OperatorSettings;
import org.weldcourse.settings.Settings;
import org.weldcourse.workers.TaskState;

/**
 * Guards against jobs that wait for good because admission and scale-out disagree about the same room. Random fleets,
 * exclusions and jobs; tasks never end. A job with pending tasks must have a machine under way at once if no machine that
 * is up may run it, and otherwise after the longest deferral, whatever else is up.
 */
class PlacementAgreementTest {
    private static final int SEEDS = Integer.getInteger("weldcourse.placement-seeds", 400);
    private static final int STEPS = 150;
    private static final long START_MICROS = 1000 * SECOND;
    /** The longest deferral, and two steps to notice. */
    private static final long MAX_WAIT_MICROS = 47 * SECOND;
    /** To notice that no machine may run the job. */
    private static final long MAX_WAIT_WITHOUT_MACHINE_MICROS = 2 * SECOND;

    private static final long EXCLUSION_MICROS = 60 * SECOND;
    private static final Planner.CycleLimits LIMITS = new Planner.CycleLimits(100, 100, SECOND);

    @Test
    void waitingJobsAreBookedOrHaveAMachineUnderWay() {
        for (int seed = 0; seed < SEEDS; seed++) {
            new Run(seed).play();
        }
    }

    private static Settings settings() {
        return new Settings(
                "n0",
                "a",
                "n0:80",
                "n0:81",
                List.of(),
                "cloud:1",
                "state:1",
                List.of("a", "b", "c"),
                List.of(new Settings.Team("core", 0, 0, 0, 0), new Settings.Team("guaranteed", 20, 0, 0, 0)),
                List.of(),
                new Settings.Workers(SECOND, 10 * SECOND, 40 * SECOND, 4 * SECOND, 35 * SECOND),
                new Settings.StoreLimits(250, 50, 32 * 1024, 16, null),
                new Settings.CloudLimits(3, 8 * SECOND),
                500);
    }

    /** One fleet over time. */
    private static final class Run {
        private final int seed;
        private final RandomFleet fleet;
        private final ClusterState cluster;
        private final SnapshotBuilder snapshots;
        private final CapacityDemandEstimator demandEstimator;
        private final CapacityWaits waits = new CapacityWaits();
        private final WarmPools warmPools;
        private final Map<String, Integer> attemptsBefore = new HashMap<>();
        private final Map<String, Long> waitingSince = new HashMap<>();
        private final Map<String, Long> withoutMachineSince = new HashMap<>();
        private final Set<String> neverUp = new HashSet<>();
        private long nowMicros = START_MICROS;

        Run(int seed) {
            this.seed = seed;
            fleet = new RandomFleet(seed, START_MICROS);
            cluster = fleet.cluster;
            Settings settings = settings();
            snapshots = new SnapshotBuilder(cluster, settings, new SettingsQuotaEnforcement(cluster, settings));
            demandEstimator = new CapacityDemandEstimator(cluster, settings);
            warmPools = new WarmPools(
                    cluster,
                    List.of(new Settings.ServiceLevelObjective(
                            Settings.ServiceLevelObjective.Kind.START,
                            RandomFleet.CLASS_WITH_OBJECTIVE,
                            30 * SECOND,
                            0.9,
                            1)),
                    OperatorSettings.DEFAULT);
            cluster.jobs.values().forEach(job -> warmPools.jobSeen(job.spec(), nowMicros));
        }

        void play() {
            for (int step = 0; step < STEPS; step++) {
                reportMachines();
                admitAndScaleOut();
                cluster.jobs.values().forEach(this::check);
                nowMicros += SECOND;
            }
        }

        private void reportMachines() {
            for (Machine machine : new ArrayList<>(cluster.machines.values())) {
                if (machine.isUp()) {
                    machine.lastHeartbeatMicros = nowMicros;
                } else if (!neverUp.contains(machine.name)
                        && nowMicros - machine.rentedMicros >= machine.type.bootMicros()) {
                    RandomFleet.reportFirst(machine, nowMicros);
                } else if (BootTimeouts.isBootTimedOut(machine, nowMicros)) {
                    cluster.removeMachine(machine, nowMicros);
                }
            }
        }

        private void admitAndScaleOut() {
            CycleDecisions decisions =
                    Planner.decide(snapshots.snapshot(nowMicros, warmPools::highestPriority), LIMITS);
            decisions.preemptions().forEach(this::preempt);
            decisions.admissions().forEach(this::book);
            waits.cycleEnded(decisions, cluster.jobs, nowMicros);
            cluster.machines
                    .values()
                    .forEach(machine ->
                            machine.reservedFor = decisions.reservations().get(machine.name));
            List<CapacityDemand> demand =
                    new ArrayList<>(demandEstimator.demand(decisions.pending(), waits, nowMicros));
            demand.addAll(warmPools.shortfall(demand, nowMicros));
            ScaleOutPlan plan = ScaleOutPlanner.plan(
                    demand,
                    AvailableHosts.capacities(cluster, warmPools, nowMicros),
                    RandomFleet.TYPES,
                    fleet.unavailable,
                    200,
                    nowMicros);
            plan.requests().forEach(this::launch);
        }

        private void preempt(CycleDecisions.Preemption preemption) {
            Job job = cluster.jobs.get(preemption.job());
            for (int task = 0; task < job.spec().tasks(); task++) {
                Booking booking = job.booking(task);
                if (booking != null && (job.spec().isGang() || task == preemption.task())) {
                    cluster.release(booking, ReleaseReason.EXITED, nowMicros);
                }
            }
        }

        private void book(CycleDecisions.Admission admission) {
            Job job = cluster.jobs.get(admission.job());
            AttemptBookings bookings = new AttemptBookings(cluster, job, admission.tasks());
            bookings.bookPart(Integer.MAX_VALUE, nowMicros);
            bookings.markPersisted();
            for (int task = 0; task < job.spec().tasks(); task++) {
                if (job.booking(task) != null) {
                    job.booking(task).updateState(TaskState.RUNNING, nowMicros);
                }
            }
        }

        private void launch(ScaleOutRequest request) {
            for (int i = 0; i < request.count(); i++) {
                String name = fleet.addBootingMachine(request.offering(), nowMicros);
                if (fleet.drawBootFailure()) {
                    neverUp.add(name);
                }
            }
        }

        private void check(Job job) {
            String id = job.spec().id();
            // The number of tasks may stay the same when some are preempted and others booked.
            int attempts = job.lastAttempt();
            boolean progressed = attempts > attemptsBefore.getOrDefault(id, 0);
            attemptsBefore.put(id, attempts);
            if (progressed || job.pendingCount() == 0) {
                waitingSince.remove(id);
                withoutMachineSince.remove(id);
            }
            if (job.pendingCount() == 0 || isMachineUnderWay(job) || !isAnyMachineToBeHad(job)) {
                withoutMachineSince.remove(id);
                waitingSince.putIfAbsent(id, nowMicros);
                return;
            }
            long waited = nowMicros - waitingSince.computeIfAbsent(id, unused -> nowMicros);
            if (waited > MAX_WAIT_MICROS) {
                fail(describe(job, waited));
            }
            if (isAnyMachineUsable(job)) {
                withoutMachineSince.remove(id);
                return;
            }
            long without = nowMicros - withoutMachineSince.computeIfAbsent(id, unused -> nowMicros);
            if (without > MAX_WAIT_WITHOUT_MACHINE_MICROS) {
                fail("no machine may run it: " + describe(job, without));
            }
        }

        private String describe(Job job, long waitedMicros) {
            return "seed " + seed + ", step " + (nowMicros - START_MICROS) / SECOND + ": nothing under way for "
                    + job.pendingCount() + " tasks after " + waitedMicros / SECOND + " s, " + job.spec();
        }

        private boolean isMachineUnderWay(Job job) {
            return cluster.machines.values().stream()
                    .anyMatch(machine -> !machine.isUp()
                            && !BootTimeouts.isBootOverdue(machine, nowMicros)
                            && RandomFleet.mayRunOn(job.spec(), machine)
                            && keepsZones(job, machine.zone));
        }

        /** The zones of a job's other tasks may be such that the cloud has no machine for the rest. */
        private boolean isAnyMachineToBeHad(Job job) {
            return fleet.zonesWithOffering(job.spec()).stream().anyMatch(zone -> keepsZones(job, zone));
        }

        private boolean isAnyMachineUsable(Job job) {
            return cluster.machines.values().stream()
                    .anyMatch(machine -> machine.isUp()
                            && !machine.isCordoned()
                            && !machine.failures.isSuspected()
                            && machine.reclaimAtMicros == Long.MAX_VALUE
                            && RandomFleet.mayRunOn(job.spec(), machine)
                            && keepsZones(job, machine.zone)
                            && !isExcluded(job, machine));
        }

        private boolean isExcluded(Job job, Machine machine) {
            return fleet.hasFailedOn(job, machine) && nowMicros - START_MICROS < EXCLUSION_MICROS;
        }

        private static boolean keepsZones(Job job, String zone) {
            int inZone = 0;
            JobSpec spec = job.spec();
            for (int task = 0; task < spec.tasks(); task++) {
                Booking booking = job.booking(task);
                inZone += booking != null && booking.machine().zone.equals(zone) ? 1 : 0;
            }
            int booked = job.bookings().size();
            return (!spec.singleZone() || inZone == booked)
                    && (!spec.spreadAcrossZones() || inZone < (spec.tasks() + 1) / 2);
        }
    }
}
