package org.weldcourse.admission;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.weldcourse.cluster.Snapshot.JobView;
import org.weldcourse.cluster.Snapshot.TaskView;
import org.weldcourse.fleet.MachineType;
import org.weldcourse.jobs.JobSpec;

/** Preemption on a single machine: which tasks may be stopped for a job, and how many of its tasks fit then. */
final class MachinePreemption {
    private final Map<String, TeamUsage> usages;
    private final long nowMicros;

    MachinePreemption(Map<String, TeamUsage> usages, long nowMicros) {
        this.usages = usages;
        this.nowMicros = nowMicros;
    }

    /**
     * A way to place tasks of a job on one machine, if necessary by preempting tasks there.
     *
     * @param tasks how many of the job's tasks fit once the victims have exited, at least 1
     * @param victims the tasks to preempt, in the order in which they were chosen
     * @param cost CPU-seconds: the work lost by the victims, plus the job's own cost on this machine
     */
    record PlacementOption(FreeCapacity capacity, int tasks, List<TaskView> victims, double cost) {
        double costPerTask() {
            return cost / tasks;
        }
    }

    /** A cheap check whether the machine may have tasks that the job can preempt. */
    boolean mayHaveVictims(JobView job, boolean claimsGuarantee, FreeCapacity capacity) {
        return claimsGuarantee
                || capacity.machine.allocation().hasVictimFor(job.spec().priority());
    }

    /**
     * Whether the smallest unit that can be admitted, a gang's pending tasks or one task, stays within the team's
     * guarantee, so that the job may preempt tasks of teams that borrow.
     */
    boolean claimsGuarantee(JobView job, TeamUsage usage) {
        return usage.staysWithinGuarantee(
                job.spec(), job.spec().isGang() ? job.pending().cardinality() : 1);
    }

    /**
     * The option to place {@code tasks} tasks of the job on the machine, or as many as possible, with few victims.
     *
     * @param baseCost the cost without victims
     * @return null if no task fits
     */
    PlacementOption optionOn(JobView job, TeamUsage usage, FreeCapacity capacity, int tasks, double baseCost) {
        JobSpec spec = job.spec();
        int bestFits = capacity.fits(spec);
        int chosen = 0;
        double bestCost = baseCost;
        List<TaskView> candidates = List.of();
        if (bestFits < tasks) {
            candidates = preemptible(job, usage, capacity);
            double cpus = capacity.cpus;
            double gpus = capacity.gpus;
            double memoryGb = capacity.memoryGb;
            double cost = baseCost;
            for (int i = 0; i < candidates.size() && bestFits < tasks; i++) {
                TaskView victim = candidates.get(i);
                cpus += victim.job().cpus() * victim.count();
                gpus += victim.job().gpus() * victim.count();
                memoryGb += victim.job().memoryGb() * victim.count();
                cost += victim.terminating()
                        ? 0
                        : (victim.lostWorkMicros(nowMicros) / 1e6 + 1)
                                * victim.job().cpus()
                                * victim.count();
                int fits = MachineType.tasksThatFit(spec, cpus, gpus, memoryGb);
                if (fits > bestFits) {
                    bestFits = fits;
                    chosen = i + 1;
                    bestCost = cost;
                }
            }
        }
        return bestFits == 0 ? null : new PlacementOption(capacity, bestFits, candidates.subList(0, chosen), bestCost);
    }

    /**
     * Tasks on the machine that may be stopped for this job, in preemption order. Tasks within their team's guarantee
     * are preempted by another team only if they have lower priority and the other team claims its own guarantee.
     * Otherwise a high-priority borrower and a low-priority guaranteed team would preempt each other forever.
     */
    private List<TaskView> preemptible(JobView job, TeamUsage usage, FreeCapacity capacity) {
        boolean claimsGuarantee = claimsGuarantee(job, usage);
        List<TaskView> candidates = new ArrayList<>();
        PreemptedByTeam chosenByTeam = new PreemptedByTeam();
        for (TaskView task : capacity.machine.allocation().tasks()) {
            if (capacity.victims.contains(task)
                    || task.job().id().equals(job.spec().id())) {
                continue;
            }
            boolean ownTeam = task.job().team().equals(job.spec().team());
            boolean lowerPriority = task.job().priority().compareTo(job.spec().priority()) > 0;
            TeamUsage owner = usages.get(task.job().team());
            boolean borrowed = !ownTeam && owner != null && chosenByTeam.usesGuaranteeWithout(owner, task);
            if (task.terminating()
                    || lowerPriority && (ownTeam || borrowed || claimsGuarantee)
                    || claimsGuarantee && borrowed) {
                candidates.add(task);
                chosenByTeam.add(owner, task);
            }
        }
        return candidates;
    }
}
