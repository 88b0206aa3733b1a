package org.weldcourse.admission;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import org.weldcourse.cluster.Snapshot.JobView;
import org.weldcourse.cluster.Snapshot.TaskView;
import org.weldcourse.fleet.MachineType;
import org.weldcourse.jobs.JobSpec;

/** Chooses tasks to preempt so that a job fits under the limits of its team and of the team's cohort. */
final class QuotaPreemption {
    private final JobView job;
    private final TeamUsage usage;
    private final Map<String, TeamUsage> usages;
    private final long nowMicros;
    private final boolean claimsGuarantee;
    private final Shortfall teamShortfall;
    private final Shortfall cohortShortfall;
    private final List<Candidate> teamCandidates = new ArrayList<>();
    private final List<Candidate> cohortCandidates = new ArrayList<>();

    /** A task that may be preempted, and the machine that it is booked on. */
    record Candidate(FreeCapacity capacity, TaskView task) {}

    /** The amount that has to be freed under one limit. */
    private static final class Shortfall {
        private double cpus;
        private double gpus;

        Shortfall(JobSpec job, int tasks) {
            cpus = job.cpus() * Math.max(0, tasks);
            gpus = job.gpus() * Math.max(0, tasks);
        }

        boolean isCovered() {
            return cpus <= MachineType.EPSILON && gpus <= MachineType.EPSILON;
        }

        void subtract(TaskView victim) {
            cpus -= victim.job().cpus() * victim.count();
            gpus -= victim.job().gpus() * victim.count();
        }
    }

    QuotaPreemption(JobView job, TeamUsage usage, int tasks, Map<String, TeamUsage> usages, long nowMicros) {
        this.job = job;
        this.usage = usage;
        this.usages = usages;
        this.nowMicros = nowMicros;
        this.claimsGuarantee = usage.staysWithinGuarantee(job.spec(), tasks);
        this.teamShortfall = new Shortfall(job.spec(), tasks - usage.tasksWithinTeamLimitOnceReleased(job.spec()));
        this.cohortShortfall = new Shortfall(job.spec(), tasks - usage.tasksWithinCohortLimitOnceReleased(job.spec()));
    }

    /** Adds a booked task to the candidates if it may be preempted for the job. */
    void addCandidate(FreeCapacity capacity, TaskView task) {
        JobSpec spec = task.job();
        boolean lowerPriority = spec.priority().compareTo(job.spec().priority()) > 0;
        if (spec.team().equals(job.spec().team())) {
            if (lowerPriority) {
                teamCandidates.add(new Candidate(capacity, task));
            }
        } else if ((lowerPriority || claimsGuarantee || task.terminating())
                && usage.sharesCohortWith(usages.get(spec.team()))) {
            cohortCandidates.add(new Candidate(capacity, task));
        }
    }

    /**
     * The tasks to preempt: those of the job's own team before those of others, and of each terminating ones first,
     * then the least work lost. Empty if all candidates do not suffice.
     */
    List<Candidate> choose() {
        Comparator<Candidate> order = Comparator.comparing((Candidate victim) -> !victim.task.terminating())
                .thenComparingLong(victim -> victim.task.lostWorkMicros(nowMicros));
        teamCandidates.sort(order);
        cohortCandidates.sort(order);
        List<Candidate> chosen = new ArrayList<>();
        for (Candidate victim : teamCandidates) {
            if (!teamShortfall.isCovered() || !cohortShortfall.isCovered()) {
                chosen.add(victim);
                teamShortfall.subtract(victim.task);
                cohortShortfall.subtract(victim.task);
            }
        }
        chooseBorrowed(chosen);
        return teamShortfall.isCovered() && cohortShortfall.isCovered() ? chosen : List.of();
    }

    /** Chooses tasks of other teams that borrow, and leaves those within their team's guarantee. */
    private void chooseBorrowed(List<Candidate> chosen) {
        PreemptedByTeam chosenByTeam = new PreemptedByTeam();
        for (Candidate victim : cohortCandidates) {
            if (cohortShortfall.isCovered()) {
                return;
            }
            JobSpec spec = victim.task.job();
            TeamUsage borrower = usages.get(spec.team());
            if (victim.task.terminating() || chosenByTeam.usesGuaranteeWithout(borrower, victim.task)) {
                chosenByTeam.add(borrower, victim.task);
                chosen.add(victim);
                cohortShortfall.subtract(victim.task);
            }
        }
    }
}
