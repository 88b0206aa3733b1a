package org.weldcourse.admission;

import java.util.HashMap;
import java.util.Map;
import org.weldcourse.cluster.Snapshot.TaskView;

/**
 * The resources of the victims chosen so far, by team. They show whether a further task of a team is borrowed, so that
 * preempting it leaves the team its whole guarantee.
 */
final class PreemptedByTeam {
    /** CPUs and GPUs of the chosen victims, by team; the null key stands for teams without settings. */
    private final Map<TeamUsage, double[]> chosen = new HashMap<>();

    /** Whether the team would still use its whole guarantee without these tasks and those chosen before. */
    boolean usesGuaranteeWithout(TeamUsage team, TaskView tasks) {
        double[] total = chosen.computeIfAbsent(team, any -> new double[2]);
        double cpus = tasks.job().cpus() * tasks.count();
        double gpus = tasks.job().gpus() * tasks.count();
        return team.usesGuaranteeWithout(total[0] + cpus, total[1] + gpus);
    }

    /** Adds chosen tasks of the team. */
    void add(TeamUsage team, TaskView tasks) {
        double[] total = chosen.computeIfAbsent(team, any -> new double[2]);
        total[0] += tasks.job().cpus() * tasks.count();
        total[1] += tasks.job().gpus() * tasks.count();
    }
}
