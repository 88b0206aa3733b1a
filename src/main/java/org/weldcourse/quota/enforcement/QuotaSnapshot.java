package org.weldcourse.quota.enforcement;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.weldcourse.cluster.ClusterState;
import org.weldcourse.cluster.Job;
import org.weldcourse.cluster.Snapshot.CohortView;
import org.weldcourse.cluster.Snapshot.TeamView;
import org.weldcourse.quota.ResourceAmount;
import org.weldcourse.quota.ledger.CohortQuota;
import org.weldcourse.quota.ledger.EffectiveQuota;
import org.weldcourse.quota.ledger.QuotaLedger;
import org.weldcourse.settings.Settings;

/**
 * The usage that counts against each limit at one moment: bookings whose tasks may still be running, reservations
 * without bookings, and budgets. If any of it is unknown, nothing may be admitted for that team, and possibly for all
 * teams in its cohort.
 */
final class QuotaSnapshot {
    private final ClusterState cluster;
    private final Settings settings;
    private final QuotaLedger ledger;
    private final ReservationTracker reservations;
    private final boolean ledgerIsCurrent;
    private final Map<String, QuotaHeadroom> teamHeadrooms = new HashMap<>();
    private final Map<String, QuotaHeadroom> cohortHeadrooms = new HashMap<>();
    private final Map<String, ReservationTracker.AppliedReservations> appliedByTeam = new HashMap<>();
    private final Set<String> blockedCohorts = new HashSet<>();

    /**
     * Computes the snapshot.
     *
     * @param ledgerIsCurrent whether the ledger view includes everything that was written before this leader's election
     */
    QuotaSnapshot(
            ClusterState cluster,
            Settings settings,
            QuotaLedger ledger,
            ReservationTracker reservations,
            boolean ledgerIsCurrent) {
        this.ledgerIsCurrent = ledgerIsCurrent;
        this.cluster = cluster;
        this.settings = settings;
        this.ledger = ledger;
        this.reservations = reservations;
        if (ledgerIsCurrent) {
            settings.teams().forEach(team -> createHeadrooms(team.name()));
            settings.teams().forEach(team -> applyReservations(team.name()));
        }
    }

    private void createHeadrooms(String team) {
        EffectiveQuota quota = ledger.quota(team);
        if (quota == null) {
            return;
        }
        ResourceAmount used = cluster.usageOnRecord(team).plus(reservations.outstandingBudgets(team));
        teamHeadrooms.put(team, new QuotaHeadroom(quota.team().limit(), used));
        CohortQuota cohort = quota.cohort();
        if (cohort == null) {
            return;
        }
        cohortHeadrooms
                .computeIfAbsent(cohort.name(), name -> new QuotaHeadroom(cohort.limit(), usageOfUnreadableTeams(name)))
                .use(used);
        if (!reservations.isUpToDate(team)) {
            blockedCohorts.add(cohort.name());
        }
    }

    /** Returns the usage of teams that may belong to the cohort but whose records are unreadable. */
    private ResourceAmount usageOfUnreadableTeams(String cohort) {
        ResourceAmount sum = ResourceAmount.ZERO;
        for (Settings.Team team : settings.teams()) {
            if (ledger.quota(team.name()) == null && ledger.mayBelongTo(team.name(), cohort)) {
                sum = sum.plus(cluster.usageOnRecord(team.name()));
            }
        }
        return sum;
    }

    private void applyReservations(String team) {
        if (isUsageKnown(team)) {
            appliedByTeam.put(
                    team,
                    reservations.applyReservations(
                            team, teamHeadrooms.get(team), cohortHeadroom(team), this::unusedTasks));
        }
    }

    /**
     * Returns how many reserved tasks of a job wait and are not booked. A reservation covers only the first admission.
     * Otherwise a job that was preempted by a higher-priority job of its own team would repeatedly reclaim the quota
     * from that job.
     */
    private int unusedTasks(String id) {
        Job job = cluster.jobs.get(id);
        if (job == null || job.isCancelled() || job.isClosed() || !job.records().isEmpty()) {
            return 0;
        }
        int unused = Math.max(0, reservations.reservedTasks(id) - job.bookings().size());
        return Math.min(unused, job.pendingCount());
    }

    private QuotaHeadroom cohortHeadroom(String team) {
        EffectiveQuota quota = ledger.quota(team);
        return quota == null || quota.cohort() == null
                ? null
                : cohortHeadrooms.get(quota.cohort().name());
    }

    /** Returns whether everything that counts against the team's limits is known. */
    boolean isUsageKnown(String team) {
        EffectiveQuota quota = ledger.quota(team);
        return ledgerIsCurrent
                && quota != null
                && reservations.isUpToDate(team)
                && (quota.cohort() == null
                        || !blockedCohorts.contains(quota.cohort().name()));
    }

    /** Returns whether all reservations of the team fit its limits. */
    boolean allReservationsFit(String team) {
        ReservationTracker.AppliedReservations applied = appliedByTeam.get(team);
        return applied != null && applied.allFit();
    }

    /** Returns the free part of the team's limits, not counting its own budgets as used. */
    ResourceAmount freeExcludingBudgets(String team) {
        ResourceAmount budgets = reservations.outstandingBudgets(team);
        ResourceAmount free = teamHeadrooms.get(team).freeExcluding(budgets);
        QuotaHeadroom cohort = cohortHeadroom(team);
        return cohort == null ? free : free.min(cohort.freeExcluding(budgets));
    }

    /** Returns how many of the job's waiting tasks are counted as reserved. */
    int reservedTasks(Job job) {
        ReservationTracker.AppliedReservations applied =
                appliedByTeam.get(job.spec().team());
        return applied == null
                ? 0
                : applied.tasksByJob().getOrDefault(job.spec().id(), 0);
    }

    /** Returns the teams as seen by the admission cycle. */
    List<TeamView> teamViews() {
        List<TeamView> views = new ArrayList<>(settings.teams().size());
        for (Settings.Team team : settings.teams()) {
            views.add(view(team));
        }
        return views;
    }

    private TeamView view(Settings.Team team) {
        String name = team.name();
        if (isUsageKnown(name)) {
            EffectiveQuota quota = ledger.quota(name);
            Settings.Team teamQuota = new Settings.Team(
                    name,
                    quota.team().guarantee().cpus(),
                    quota.team().limit().cpuLimit(),
                    quota.team().guarantee().gpus(),
                    quota.team().limit().gpuLimit());
            ResourceAmount used = teamHeadrooms.get(name).used();
            return new TeamView(teamQuota, used.cpus(), used.gpus(), cluster.releasedOnRecord(name), cohortView(quota));
        }
        boolean isUnrecorded = ledgerIsCurrent && ledger.quota(name) == null && !ledger.isUnreadable(name);
        return isUnrecorded
                ? TeamView.of(team, cluster.usageOnRecord(name), cluster.releasedOnRecord(name))
                : new TeamView(team, Double.POSITIVE_INFINITY, Double.POSITIVE_INFINITY);
    }

    private CohortView cohortView(EffectiveQuota quota) {
        if (quota.cohort() == null) {
            return null;
        }
        QuotaHeadroom headroom = cohortHeadrooms.get(quota.cohort().name());
        return new CohortView(
                quota.cohort().name(),
                orInfinity(headroom.limit().cpuLimit()),
                orInfinity(headroom.limit().gpuLimit()),
                headroom.used().cpus(),
                headroom.used().gpus());
    }

    private static double orInfinity(double limit) {
        return limit > 0 ? limit : Double.POSITIVE_INFINITY;
    }
}
