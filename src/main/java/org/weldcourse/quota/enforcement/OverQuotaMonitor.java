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

/** Which teams and cohorts use more than their limits on record, and what has to stop for it. */
final class OverQuotaMonitor {
    private final ClusterState cluster;
    private final Settings settings;
    private final QuotaLedger ledger;

    /** What a team uses, in one of the two senses of {@link QuotaUsage}. */
    interface UsageByTeam {
        ResourceAmount of(String team);
    }

    OverQuotaMonitor(ClusterState cluster, Settings settings, QuotaLedger ledger) {
        this.cluster = cluster;
        this.settings = settings;
        this.ledger = ledger;
    }

    /** The quotas of all teams whose records can be used. */
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

    /** The quotas of the cohort's teams. */
    List<EffectiveQuota> members(CohortQuota cohort) {
        return quotas().stream().filter(quota -> quota.isIn(cohort.name())).toList();
    }

    /** Whether the team is above its own limit or its cohort is above that of all its teams. */
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

    /** Visits each team and each cohort with one of these policies that is above its limit by all that counts against it. */
    private void visitOver(
            Predicate<OverQuotaPolicy> policies, Consumer<TeamQuota> onTeam, Consumer<CohortQuota> onCohort) {
        UsageByTeam usage = cluster.quotaUsage::usedBy;
        Set<String> cohortsSeen = new HashSet<>();
        for (EffectiveQuota quota : quotas()) {
            TeamQuota team = quota.team();
            if (policies.test(team.overQuotaPolicy()) && isOver(team, usage)) {
                onTeam.accept(team);
            }
            CohortQuota cohort = quota.cohort();
            if (cohort != null
                    && cohortsSeen.add(cohort.name())
                    && policies.test(cohort.overQuotaPolicy())
                    && isOver(cohort, usage)) {
                onCohort.accept(cohort);
            }
        }
    }

    /** Bookings to stop of teams and cohorts whose policy is to preempt what is above their limits. */
    List<Booking> bookingsToPreempt() {
        List<Booking> bookings = new ArrayList<>();
        visitOver(
                OverQuotaPolicy.PREEMPT::equals,
                team -> bookings.addAll(OverQuotaPreemption.ofTeam(cluster, team)),
                cohort -> bookings.addAll(OverQuotaPreemption.ofCohort(cluster, cohort, members(cohort))));
        return bookings;
    }

    /** Who is above its limit and by how much, for the status line; empty when nobody is. */
    String status() {
        StringBuilder text = new StringBuilder();
        visitOver(
                policy -> true,
                team -> text.append(
                                OverQuotaText.ofTeam(team.name(), cluster.quotaUsage.usedBy(team.name()), team.limit()))
                        .append(leftTo(team.overQuotaPolicy())),
                cohort -> text.append(OverQuotaText.ofCohort(
                                cohort.name(), usedBy(cohort, cluster.quotaUsage::usedBy), cohort.limit()))
                        .append(leftTo(cohort.overQuotaPolicy())));
        return text.toString();
    }

    private static String leftTo(OverQuotaPolicy policy) {
        return " left to " + policy.externalName() + "; ";
    }
}
