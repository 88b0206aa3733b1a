package org.weldcourse.leader;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.weldcourse.admission.CycleDecisions;
import org.weldcourse.cluster.ClusterState;
import org.weldcourse.cluster.Job;
import org.weldcourse.persistence.RecordWriter;
import org.weldcourse.quota.enforcement.QuotaEnforcement;

/**
 * Takes released tasks off the admission records where their quota is needed. Until then that quota counts as used,
 * because a later leader may start what is on record.
 */
final class ReleasedTaskCleanup {
    private final ClusterState cluster;
    private final QuotaEnforcement quotas;
    private final RecordWriter recordWriter;

    ReleasedTaskCleanup(ClusterState cluster, QuotaEnforcement quotas, RecordWriter recordWriter) {
        this.cluster = cluster;
        this.quotas = quotas;
        this.recordWriter = recordWriter;
    }

    /** Rewrites records after a cycle: those of teams that wait for quota, or whose records exceed their limit. */
    void run(List<CycleDecisions.PendingTasks> pending) {
        Set<String> teams = new HashSet<>();
        for (CycleDecisions.PendingTasks item : pending) {
            if (item.blockedByQuota()) {
                teams.add(item.spec().team());
            }
        }
        teams.addAll(teamsOverLimit());
        if (teams.isEmpty()) {
            return;
        }
        Set<String> sharing = quotas.teamsSharingLimits(teams);
        for (Job job : cluster.jobs.values()) {
            if (job.releasedTaskCount() > 0 && sharing.contains(job.spec().team())) {
                recordWriter.removeReleasedTasks(job);
            }
        }
    }

    private Set<String> teamsOverLimit() {
        Set<String> released = new HashSet<>();
        for (Job job : cluster.jobs.values()) {
            if (!job.releasedTasks().isEmpty()) {
                released.add(job.spec().team());
            }
        }
        released.removeIf(team -> !quotas.isLimitExceeded(team));
        return released;
    }
}
