package org.weldcourse.leader;

import java.util.List;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.weldcourse.cluster.ClusterState;
import org.weldcourse.quota.ResourceAmount;
import org.weldcourse.quota.enforcement.QuotaEnforcement;
import org.weldcourse.settings.Settings;

/** Logs what a new leader found on record for each team with a limit: one line a team at the start of a term. */
final class RecoveredQuotaLog {
    private static final Logger LOG = LoggerFactory.getLogger(RecoveredQuotaLog.class);

    private RecoveredQuotaLog() {}

    static void log(long fencingToken, List<Settings.Team> teams, ClusterState cluster, QuotaEnforcement quotas) {
        for (Settings.Team team : teams) {
            String name = team.name();
            if (!quotas.isLimited(name)) {
                continue;
            }
            ResourceAmount admitted = cluster.quotaUsage.bookedBy(name);
            if (quotas.isLimitExceeded(name)) {
                LOG.warn(
                        "fencing token {}: team {} has {} admitted on record, limit {}: tasks that no machine lists"
                                + " are released first, and nothing of the team starts meanwhile",
                        fencingToken,
                        name,
                        admitted,
                        quotas.describeLimit(name));
            } else {
                LOG.info(
                        "fencing token {}: team {} has {} admitted on record, limit {}",
                        fencingToken,
                        name,
                        admitted,
                        quotas.describeLimit(name));
            }
        }
    }
}
