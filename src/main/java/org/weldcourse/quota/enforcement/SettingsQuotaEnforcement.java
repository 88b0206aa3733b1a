package org.weldcourse.quota.enforcement;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.weldcourse.admission.CycleDecisions;
import org.weldcourse.cluster.Booking;
import org.weldcourse.cluster.ClusterState;
import org.weldcourse.cluster.Job;
import org.weldcourse.cluster.Snapshot.TeamView;
import org.weldcourse.quota.QuotaInvariant;
import org.weldcourse.quota.ResourceAmount;
import org.weldcourse.settings.Settings;
import org.weldcourse.store.Transaction;

/**
 * Enforces the limits of this node's settings, which are fixed while the node runs. Only the leader tracks usage
 * against them.
 */
public final class SettingsQuotaEnforcement implements QuotaEnforcement {
    private final ClusterState cluster;
    private final Settings settings;
    private final Map<String, ResourceAmount> limits = new HashMap<>();

    /** Creates the enforcement of the settings' limits against the cluster's quota usage. */
    public SettingsQuotaEnforcement(ClusterState cluster, Settings settings) {
        this.cluster = cluster;
        this.settings = settings;
        for (Settings.Team team : settings.teams()) {
            limits.put(team.name(), ResourceAmount.limit(team.cpusMax(), team.gpusMax()));
        }
    }

    @Override
    public List<TeamView> teamViews(long nowMicros) {
        List<TeamView> teams = new ArrayList<>();
        for (Settings.Team team : settings.teams()) {
            String name = team.name();
            teams.add(TeamView.of(
                    team,
                    isLimited(name) ? cluster.usageOnRecord(name) : cluster.quotaUsage.usedBy(name),
                    isLimited(name) ? cluster.releasedOnRecord(name) : ResourceAmount.ZERO));
        }
        return teams;
    }

    @Override
    public void begin() {}

    @Override
    public int reservedTasks(Job job) {
        return 0;
    }

    @Override
    public void addPreconditions(Transaction admission, Job job) {}

    @Override
    public void preconditionFailed(Job job, List<Object> keys) {}

    @Override
    public void jobLoaded(Job job, Map<String, Object> jobRecord) {}

    @Override
    public void jobEnded(Job job) {}

    @Override
    public void openJobsReadUpTo(long revision) {}

    @Override
    public void cycleEnded(List<CycleDecisions.PendingTasks> waiting, long nowMicros) {}

    @Override
    public List<Booking> bookingsOverQuota() {
        return List.of();
    }

    @Override
    public boolean isOverbooked(String team) {
        return QuotaInvariant.isExceeded(limit(team), cluster.quotaUsage.bookedBy(team));
    }

    @Override
    public boolean isLimitExceeded(String team) {
        return isLimited(team) && QuotaInvariant.isExceeded(limit(team), cluster.usageOnRecord(team));
    }

    @Override
    public boolean isLimited(String team) {
        return !limit(team).isUnlimited();
    }

    @Override
    public Set<String> teamsSharingLimits(Set<String> teams) {
        return teams;
    }

    @Override
    public boolean allowsOnRecord(String team, ResourceAmount less) {
        return !isLimited(team)
                || !QuotaInvariant.isExceeded(
                        limit(team), cluster.usageOnRecord(team).minus(less));
    }

    @Override
    public ResourceAmount limit(String team) {
        return limits.getOrDefault(team, ResourceAmount.NO_LIMIT);
    }

    @Override
    public String status() {
        StringBuilder text = new StringBuilder();
        for (Settings.Team team : settings.teams()) {
            String name = team.name();
            if (isLimitExceeded(name)) {
                text.append(OverQuotaText.ofTeam(name, cluster.usageOnRecord(name), limit(name)))
                        .append("; ");
            }
        }
        return text.toString();
    }

    @Override
    public void end() {}
}
