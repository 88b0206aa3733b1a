package org.weldcourse.admission;

import org.weldcourse.cluster.Snapshot;
import org.weldcourse.cluster.Snapshot.TeamView;
import org.weldcourse.fleet.MachineType;
import org.weldcourse.jobs.JobSpec;

/** A team's usage of its guarantee and limit during one admission cycle. */
final class TeamUsage {
    private final TeamView team;
    private double cpus;
    private double gpus;
    /** The part of the usage that ends once the admission records are rewritten. */
    private double releasedCpus;

    private double releasedGpus;

    /** The part of the guarantee that is claimed for waiting jobs; zero without a cohort. */
    private double claimedCpus;

    private double claimedGpus;
    /** The usage of the team's cohort, or null without a cohort. */
    private final CohortUsage cohort;

    /** The usage of a cohort during one cycle, shared by all of its teams. */
    static final class CohortUsage {
        private final Snapshot.CohortView view;
        private double cpus;
        private double gpus;
        private double releasedCpus;
        private double releasedGpus;
        /**
         * Reserved for jobs that wait for the cohort's limit; not available to jobs that exceed their team's guarantee.
         */
        private double reservedCpus;

        private double reservedGpus;
        /** The sum of the teams' claims on their guarantees for waiting jobs. */
        private double claimedCpus;

        private double claimedGpus;

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
        addReleased(team.released().cpus(), team.released().gpus());
    }

    private void addReleased(double addedCpus, double addedGpus) {
        releasedCpus += addedCpus;
        releasedGpus += addedGpus;
        if (cohort != null) {
            cohort.releasedCpus += addedCpus;
            cohort.releasedGpus += addedGpus;
        }
    }

    /** Adds released tasks of the job that stay on record to the usage; a negative number subtracts them. */
    void chargeReleased(JobSpec job, int tasks) {
        if (tasks != 0) {
            charge(job, tasks);
            addReleased(job.cpus() * tasks, job.gpus() * tasks);
        }
    }

    /** How many tasks of the job fit under the limits of the team and of its cohort. */
    int tasksWithinLimits(JobSpec job) {
        return Math.min(tasksWithinTeamLimit(job), tasksWithinCohortLimit(job));
    }

    /** How many tasks of the job will fit under both limits once the admission records are rewritten. */
    int tasksWithinLimitsOnceReleased(JobSpec job) {
        return Math.min(tasksWithinTeamLimitOnceReleased(job), tasksWithinCohortLimitOnceReleased(job));
    }

    /** How many tasks of the job fit under the team's own limit. */
    int tasksWithinTeamLimit(JobSpec job) {
        return fits(job, team.team().cpusMax() - cpus, team.team().gpusMax() - gpus);
    }

    /** How many tasks of the job will fit under the team's own limit once its records are rewritten. */
    int tasksWithinTeamLimitOnceReleased(JobSpec job) {
        return fits(
                job, team.team().cpusMax() - cpus + releasedCpus, team.team().gpusMax() - gpus + releasedGpus);
    }

    /**
     * How many tasks of the job fit under the cohort's limit. Claimed guarantees are not available to borrowers of any
     * priority: otherwise a preempted borrower could take the quota again before the claiming team uses it.
     */
    int tasksWithinCohortLimit(JobSpec job) {
        return cohort == null
                ? Integer.MAX_VALUE
                : tasksWithinCohortLimit(job, cohort.view.cpusMax() - cohort.cpus, cohort.view.gpusMax() - cohort.gpus);
    }

    /** How many tasks of the job will fit under the cohort's limit once its teams' records are rewritten. */
    int tasksWithinCohortLimitOnceReleased(JobSpec job) {
        return cohort == null
                ? Integer.MAX_VALUE
                : tasksWithinCohortLimit(
                        job,
                        cohort.view.cpusMax() - cohort.cpus + cohort.releasedCpus,
                        cohort.view.gpusMax() - cohort.gpus + cohort.releasedGpus);
    }

    private int tasksWithinCohortLimit(JobSpec job, double freeCpus, double freeGpus) {
        return canStartWithinGuarantee(job)
                ? fits(job, freeCpus, freeGpus)
                : fits(
                        job,
                        freeCpus - cohort.reservedCpus - (cohort.claimedCpus - claimedCpus),
                        freeGpus - cohort.reservedGpus - (cohort.claimedGpus - claimedGpus));
    }

    /** Claims the part of the guarantee that a waiting job's tasks need. */
    void claimGuarantee(JobSpec job, int tasks) {
        if (cohort != null) {
            double addedCpus =
                    Math.min(job.cpus() * tasks, Math.max(0, team.team().cpus() - cpus - claimedCpus));
            double addedGpus =
                    Math.min(job.gpus() * tasks, Math.max(0, team.team().gpus() - gpus - claimedGpus));
            claimedCpus += addedCpus;
            claimedGpus += addedGpus;
            cohort.claimedCpus += addedCpus;
            cohort.claimedGpus += addedGpus;
        }
    }

    /** Reserves quota for a job that waits for a limit, so that later jobs do not overtake it. */
    void reserve(JobSpec job, int tasks) {
        boolean waitsForCohort = tasksWithinTeamLimit(job) >= tasks;
        cpus += job.cpus() * tasks;
        gpus += job.gpus() * tasks;
        if (cohort != null && waitsForCohort) {
            cohort.reservedCpus += job.cpus() * tasks;
            cohort.reservedGpus += job.gpus() * tasks;
        }
    }

    /** Releases the claim for tasks that are now booked. */
    private void releaseClaim(JobSpec job, int tasks) {
        if (cohort != null && tasks > 0) {
            double releasedCpus = Math.min(claimedCpus, job.cpus() * tasks);
            double releasedGpus = Math.min(claimedGpus, job.gpus() * tasks);
            claimedCpus -= releasedCpus;
            claimedGpus -= releasedGpus;
            cohort.claimedCpus -= releasedCpus;
            cohort.claimedGpus -= releasedGpus;
        }
    }

    private static int fits(JobSpec job, double freeCpus, double freeGpus) {
        double max = Math.floor((freeCpus + MachineType.EPSILON) / job.cpus());
        if (job.gpus() > 0) {
            max = Math.min(max, Math.floor((freeGpus + MachineType.EPSILON) / job.gpus()));
        }
        return (int) Math.max(0, Math.min(max, Integer.MAX_VALUE));
    }

    boolean sharesCohortWith(TeamUsage other) {
        return cohort != null && other != null && cohort == other.cohort;
    }

    /** Whether the smallest unit that can be admitted, a whole gang or one task, stays within the guarantee. */
    boolean canStartWithinGuarantee(JobSpec job) {
        return staysWithinGuarantee(job, job.isGang() ? job.tasks() : 1);
    }

    /** Whether the team stays within its guarantee with this many more tasks of the job. */
    boolean staysWithinGuarantee(JobSpec job, int tasks) {
        return cpus + job.cpus() * tasks <= team.team().cpus() + MachineType.EPSILON
                && gpus + job.gpus() * tasks <= team.team().gpus() + MachineType.EPSILON;
    }

    /**
     * Whether the team still uses its whole guarantee after losing this amount. If it uses fewer GPUs than guaranteed,
     * it must not lose any.
     */
    boolean usesGuaranteeWithout(double cpusLess, double gpusLess) {
        return cpus - cpusLess >= team.team().cpus() - MachineType.EPSILON
                && gpus - gpusLess >= Math.min(gpus, team.team().gpus()) - MachineType.EPSILON;
    }

    /** How many more tasks of the job fit within the team's guarantee. */
    int tasksWithinGuarantee(JobSpec job) {
        return fits(job, team.team().cpus() - cpus, team.team().gpus() - gpus);
    }

    boolean hasCpuGuarantee() {
        return team.team().cpus() > 0;
    }

    /** Adds tasks of the job to the usage; a negative number subtracts them. */
    void charge(JobSpec job, int tasks) {
        releaseClaim(job, tasks);
        cpus += job.cpus() * tasks;
        gpus += job.gpus() * tasks;
        if (cohort != null) {
            cohort.cpus += job.cpus() * tasks;
            cohort.gpus += job.gpus() * tasks;
        }
    }
}
