package org.weldcourse.admission;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.IdentityHashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.weldcourse.cluster.Snapshot;
import org.weldcourse.cluster.Snapshot.JobView;
import org.weldcourse.cluster.Snapshot.MachineView;
import org.weldcourse.cluster.Snapshot.TaskView;
import org.weldcourse.cluster.Snapshot.TeamView;
import org.weldcourse.jobs.JobSpec;
import org.weldcourse.placement.PlacementConstraints;

/** The state of one admission cycle: free capacity of machines, usage of teams, and the decisions made so far. */
final class CycleBookings {
    private final List<FreeCapacity> capacities = new ArrayList<>();
    private final Map<String, TeamUsage> usages = new HashMap<>();
    private final List<CycleDecisions.Admission> admissions = new ArrayList<>();
    private final List<CycleDecisions.Preemption> preemptions = new ArrayList<>();
    private final Map<String, JobSpec> reservations = new HashMap<>();
    private final Set<String> bookedBeyondLimit = new HashSet<>();
    private final int maxAdmissions;

    CycleBookings(Snapshot snapshot, Planner.CycleLimits limits) {
        maxAdmissions = limits.maxAdmissions();
        long nowMicros = snapshot.nowMicros();
        for (MachineView machine : snapshot.machines()) {
            capacities.add(new FreeCapacity(machine, nowMicros + limits.lookaheadMicros(), nowMicros));
        }
        Map<String, TeamUsage.CohortUsage> cohorts = new HashMap<>();
        for (TeamView team : snapshot.teams()) {
            TeamUsage.CohortUsage cohort = team.cohort() == null
                    ? null
                    : cohorts.computeIfAbsent(team.cohort().name(), name -> new TeamUsage.CohortUsage(team.cohort()));
            usages.put(team.team().name(), new TeamUsage(team, cohort));
        }
    }

    /** All machines of the snapshot, in its order. */
    List<FreeCapacity> capacities() {
        return capacities;
    }

    /** The usage by team name; a team without settings has no entry. */
    Map<String, TeamUsage> usages() {
        return usages;
    }

    /** The machines that the job may run on, regardless of their free capacity. */
    List<FreeCapacity> feasible(JobView job) {
        PlacementConstraints constraints = constraints(job);
        List<FreeCapacity> feasible = new ArrayList<>();
        for (FreeCapacity capacity : capacities) {
            if (constraints.allows(capacity)) {
                feasible.add(capacity);
            }
        }
        return feasible;
    }

    /** What decides on which machines the job may run, apart from free capacity. */
    PlacementConstraints constraints(JobView job) {
        TeamUsage usage = usages.get(job.spec().team());
        return new PlacementConstraints(
                job.spec(), job.excludedMachines(), job.zones(), usage != null && usage.hasCpuGuarantee());
    }

    /** Reserves the machine for a gang that does not fit as a whole yet. */
    void reserve(FreeCapacity capacity, JobSpec gang) {
        capacity.reservedFor = gang;
        reservations.put(capacity.machine.name(), gang);
    }

    /**
     * Frees the victim's resources for this cycle, and preempts it for the job unless it is terminating already. If the
     * job's tasks can't be admitted in this cycle, the victim runs on and the resources stay reserved.
     */
    void preempt(JobView job, FreeCapacity capacity, TaskView victim) {
        if (capacity.victims.isEmpty()) {
            capacity.victims = Collections.newSetFromMap(new IdentityHashMap<>());
        }
        if (!capacity.victims.add(victim)) {
            return;
        }
        capacity.allocate(victim.job(), -victim.count());
        if (!victim.terminating() && mayAdmit(job)) {
            preemptions.add(new CycleDecisions.Preemption(
                    victim.job().id(), victim.task(), capacity.machine.name(), victim.count()));
        }
    }

    /** Books this many of the job's pending tasks on each machine, charges the team's usage, and admits the tasks. */
    void book(JobView job, TeamUsage usage, Map<FreeCapacity, Integer> tasksByMachine) {
        Map<String, int[]> tasks = new LinkedHashMap<>();
        for (Map.Entry<FreeCapacity, Integer> entry : tasksByMachine.entrySet()) {
            int[] chosen = takePending(job.pending(), entry.getValue());
            tasks.put(entry.getKey().machine.name(), chosen);
            entry.getKey().allocate(job.spec(), chosen.length);
            usage.charge(job.spec(), chosen.length);
        }
        admit(job, tasks);
    }

    private static int[] takePending(BitSet pending, int count) {
        int[] chosen = new int[count];
        int next = -1;
        for (int i = 0; i < count; i++) {
            next = pending.nextSetBit(next + 1);
            chosen[i] = next;
        }
        if (count > 0) {
            pending.clear(0, next + 1);
        }
        return chosen;
    }

    private void admit(JobView job, Map<String, int[]> tasks) {
        if (!mayAdmit(job)) {
            // Beyond the limit of admissions the capacity stays booked for this cycle and the machines are reserved.
            // Otherwise less important jobs would be admitted instead, and the machines scaled in before a later cycle
            // can admit these tasks.
            bookedBeyondLimit.addAll(tasks.keySet());
        } else if (isLastAdmitted(job)) {
            // Merge tasks placed by preemption with those placed on free capacity: a job has at most one admission a
            // cycle, because its records must not be written twice at the same time.
            admissions.get(admissions.size() - 1).add(tasks);
        } else {
            admissions.add(new CycleDecisions.Admission(job.spec().id(), tasks));
        }
    }

    /** Whether tasks of the job that are booked now are admitted, so that the victims that they need are preempted. */
    private boolean mayAdmit(JobView job) {
        return isLastAdmitted(job) || admissions.size() < maxAdmissions;
    }

    private boolean isLastAdmitted(JobView job) {
        return !admissions.isEmpty()
                && admissions.get(admissions.size() - 1).job().equals(job.spec().id());
    }

    /** The cycle's decisions, with the given tasks as pending. */
    CycleDecisions decisions(List<CycleDecisions.PendingTasks> pending) {
        return new CycleDecisions(admissions, preemptions, pending, reservations, bookedBeyondLimit);
    }
}
