package org.weldcourse.admission;

import org.weldcourse.admission.Snapshot.TeamView;
import org.weldcourse.fleet.MachineType;
import org.weldcourse.jobs.JobSpec;

/** What a team uses of its guarantee and limit as a cycle books tasks for it. */
final class TeamUsage {
    final TeamView team;
    double cpus;
    double gpus;

    TeamUsage(TeamView team) {
        this.team = team;
        cpus = team.usedCpus();
        gpus = team.usedGpus();
    }

    int underLimit(JobSpec job) {
        double most = Math.floor((team.team().cpusMax() - cpus + MachineType.EPSILON) / job.cpus());
        if (job.gpus() > 0) {
            most = Math.min(most, Math.floor((team.team().gpusMax() - gpus + MachineType.EPSILON) / job.gpus()));
        }
        return (int) Math.max(0, Math.min(most, Integer.MAX_VALUE));
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
    }
}
