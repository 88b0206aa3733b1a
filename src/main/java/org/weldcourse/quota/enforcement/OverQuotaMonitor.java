package org.weldcourse.quota.enforcement;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Predicate;
import org.weldcourse.cluster.Booking;
import org.weldcourse.cluster.ClusterState;
import org.weldcourse.cluster.QuotaUsage;
import org.weldcourse.quota.QuotaInvariant;
import org.weldcourse.quota.ResourceAmount;
import org.weldcourse.quota.ledger.CohortQuota;
import org.weldcourse.quota.ledger.EffectiveQuota;
import org.weldcourse.quota.ledger.OverQuotaPolicy;
import org.weldcourse.quota.ledger.QuotaLedger;
import org.weldcourse.quota.ledger.TeamQuota;
import org.weldcourse.settings.Settings;

/** Detects teams and cohorts that use more than their limits in the ledger, and selects the bookings to stop. */
final class OverQuotaMonitor {
    private final ClusterState cluster;
    private final Settings settings;
    private final QuotaLedger ledger;

    /** The usage of each team, by one of the two measures of {@link QuotaUsage}. */
    interface UsageByTeam {
        ResourceAmount of(String team);
    }

    OverQuotaMonitor(ClusterState cluster, Settings settings, QuotaLedger ledger) {
        this.cluster = cluster;
        this.settings = settings;
        this.ledger = ledger;
    }

    /** Returns the quotas of all teams whose records are usable. */
    List<EffectiveQuota> quotas() {
        List<EffectiveQuota> quotas = new ArrayList<>();
        for (Settings.Team team : settings.teams()) {
            EffectiveQuota quota = ledger.quota(team.name());
            if (quota != null) {
                quotas.add(quota);
            }
        }
        return quotas;
    }

    /** Returns the quotas of the teams in the cohort. */
    List<EffectiveQuota> members(CohortQuota cohort) {
        return quotas().stream().filter(quota -> quota.isIn(cohort.name())).toList();
    }

    /** Returns whether the team exceeds its own limit or its cohort exceeds the cohort limit. */
    boolean isOver(String team, UsageByTeam usage) {
        EffectiveQuota quota = ledger.quota(team);
        return quota != null
                && (isOver(quota.team(), usage) || quota.cohort() != null && isOver(quota.cohort(), usage));
    }

    private static boolean isOver(TeamQuota team, UsageByTeam usage) {
        return QuotaInvariant.isExceeded(team.limit(), usage.of(team.name()));
    }

    private boolean isOver(CohortQuota cohort, UsageByTeam usage) {
        return QuotaInvariant.isExceeded(cohort.limit(), usedBy(cohort, usage));
    }

    private ResourceAmount usedBy(CohortQuota cohort, UsageByTeam usage) {
        ResourceAmount sum = ResourceAmount.ZERO;
        for (EffectiveQuota member : members(cohort)) {
            sum = sum.plus(usage.of(member.team().name()));
        }
        return sum;
    }

    /** Visits each team and cohort whose policy matches and whose usage exceeds its limit. */
    private void visitExceeded(
            Predicate<OverQuotaPolicy> policies, Consumer<TeamQuota> onTeam, Consumer<CohortQuota> onCohort) {
        UsageByTeam usage = cluster.quotaUsage::usedBy;
        Set<String> visitedCohorts = new HashSet<>();
        for (EffectiveQuota quota : quotas()) {
            TeamQuota team = quota.team();
            if (policies.test(team.overQuotaPolicy()) && isOver(team, usage)) {
                onTeam.accept(team);
            }
            CohortQuota cohort = quota.cohort();
            if (cohort != null
                    && visitedCohorts.add(cohort.name())
                    && policies.test(cohort.overQuotaPolicy())
                    && isOver(cohort, usage)) {
                onCohort.accept(cohort);
            }
        }
    }

    /** Returns the bookings to stop for teams and cohorts over their limits whose policy is preemption. */
    List<Booking> bookingsToPreempt() {
        List<Booking> bookings = new ArrayList<>();
        visitExceeded(
                OverQuotaPolicy.PREEMPT::equals,
                team -> bookings.addAll(OverQuotaPreemption.ofTeam(cluster, team)),
                cohort -> bookings.addAll(OverQuotaPreemption.ofCohort(cluster, cohort, members(cohort))));
        return bookings;
    }

    /**
     * Returns the teams and cohorts over their limits and by how much, for the status line. Empty if there are none.
     */
    String status() {
        StringBuilder text = new StringBuilder();
        visitExceeded(
                policy -> true,
                team -> text.append(
                                OverQuotaText.ofTeam(team.name(), cluster.quotaUsage.usedBy(team.name()), team.limit()))
                        .append(policyText(team.overQuotaPolicy())),
                cohort -> text.append(OverQuotaText.ofCohort(
                                cohort.name(), usedBy(cohort, cluster.quotaUsage::usedBy), cohort.limit()))
                        .append(policyText(cohort.overQuotaPolicy())));
        return text.toString();
    }

    private static String policyText(OverQuotaPolicy policy) {
        return ", policy " + policy.externalName() + "; ";
    }
}
