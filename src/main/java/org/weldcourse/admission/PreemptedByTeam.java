package org.weldcourse.admission;

import java.util.HashMap;
import java.util.Map;
import org.weldcourse.jobs.JobSpec;

/**
 * The resources of the victims chosen so far, by team. They show whether a further task of a team is borrowed, so that
 * preempting it leaves the team its whole guarantee.
 */
final class PreemptedByTeam {
    /** CPUs and GPUs of the chosen victims, by team; the null key stands for teams without settings. */
    private final Map<TeamUsage, double[]> chosen = new HashMap<>();

    /** Whether the team would still use its whole guarantee without this task and those chosen before. */
    boolean usesGuaranteeWithout(TeamUsage team, JobSpec task) {
        double[] total = chosen.computeIfAbsent(team, any -> new double[2]);
        return team.usesGuaranteeWithout(total[0] + task.cpus(), total[1] + task.gpus());
    }

    /** Adds a chosen task of the team. */
    void add(TeamUsage team, JobSpec task) {
        double[] total = chosen.computeIfAbsent(team, any -> new double[2]);
        total[0] += task.cpus();
        total[1] += task.gpus();
    }
}
