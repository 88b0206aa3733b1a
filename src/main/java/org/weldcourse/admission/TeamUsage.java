package org.weldcourse.admission;

import org.weldcourse.admission.Snapshot.TeamView;
import org.weldcourse.fleet.MachineType;
import org.weldcourse.jobs.JobSpec;

/** What a team uses of its guarantee and limit as a cycle books tasks for it. */
final class TeamUsage {
    final TeamView team;
    double cpus;
    double gpus;

    /** What its cohort uses as a cycle books tasks, or null. */
    private final CohortUsage cohort;

    /** What a cohort's teams use together; one for all of them. */
    static final class CohortUsage {
        private final Snapshot.CohortView view;
        private double cpus;
        private double gpus;

        CohortUsage(Snapshot.CohortView view) {
            this.view = view;
            cpus = view.usedCpus();
            gpus = view.usedGpus();
        }
    }

    TeamUsage(TeamView team, CohortUsage cohort) {
        this.cohort = cohort;
        this.team = team;
        cpus = team.usedCpus();
        gpus = team.usedGpus();
    }

    /** How many tasks of the job fit under the limits of the team and of its cohort. */
    int underLimit(JobSpec job) {
        return Math.min(underOwnLimit(job), underCohortLimit(job));
    }

    int underOwnLimit(JobSpec job) {
        return fits(job, team.team().cpusMax() - cpus, team.team().gpusMax() - gpus);
    }

    int underCohortLimit(JobSpec job) {
        return cohort == null
                ? Integer.MAX_VALUE
                : fits(job, cohort.view.cpusMax() - cohort.cpus, cohort.view.gpusMax() - cohort.gpus);
    }

    private static int fits(JobSpec job, double freeCpus, double freeGpus) {
        double most = Math.floor((freeCpus + MachineType.EPSILON) / job.cpus());
        if (job.gpus() > 0) {
            most = Math.min(most, Math.floor((freeGpus + MachineType.EPSILON) / job.gpus()));
        }
        return (int) Math.max(0, Math.min(most, Integer.MAX_VALUE));
    }

    boolean sharesCohortWith(TeamUsage other) {
        return cohort != null && other != null && cohort == other.cohort;
    }

    boolean withinGuarantee(JobSpec job, int tasks) {
        return cpus + job.cpus() * tasks <= team.team().cpus() + MachineType.EPSILON
                && gpus + job.gpus() * tasks <= team.team().gpus() + MachineType.EPSILON;
    }

    /** Whether the team still has its whole guarantee in use after giving up so much. */
    boolean borrowsWithout(double cpusLess, double gpusLess) {
        return cpus - cpusLess >= team.team().cpus() - MachineType.EPSILON
                && gpus - gpusLess >= Math.min(gpus, team.team().gpus()) - MachineType.EPSILON;
    }

    /** How many tasks of the job the team may claim as part of its guarantee. */
    int underGuarantee(JobSpec job) {
        double most = Math.floor((team.team().cpus() - cpus + MachineType.EPSILON) / job.cpus());
        if (job.gpus() > 0) {
            most = Math.min(most, Math.floor((team.team().gpus() - gpus + MachineType.EPSILON) / job.gpus()));
        }
        return (int) Math.max(0, most);
    }

    void take(JobSpec job, int tasks) {
        cpus += job.cpus() * tasks;
        gpus += job.gpus() * tasks;
        if (cohort != null) {
            cohort.cpus += job.cpus() * tasks;
            cohort.gpus += job.gpus() * tasks;
        }
    }
}
