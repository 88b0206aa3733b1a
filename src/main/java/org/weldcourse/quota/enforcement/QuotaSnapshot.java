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
 * What counts against each limit at one moment: bookings without evidence of their end, reservations that are not booked
 * yet, and budgets. Where something of it is not known, nothing may be admitted: for the team alone, or for all teams of
 * the cohort that it belongs to.
 */
final class QuotaSnapshot {
    private final ClusterState cluster;
    private final Settings settings;
    private final QuotaLedger ledger;
    private final ReservationTracker reservations;
    private final boolean ledgerIsRead;
    private final Map<String, QuotaHeadroom> teamHeadrooms = new HashMap<>();
    private final Map<String, QuotaHeadroom> cohortHeadrooms = new HashMap<>();
    private final Map<String, ReservationTracker.Honoured> honoured = new HashMap<>();
    private final Set<String> blockedCohorts = new HashSet<>();

    /** {@code ledgerIsRead}: the ledger shows all that was written before this leader's election. */
    QuotaSnapshot(
            ClusterState cluster,
            Settings settings,
            QuotaLedger ledger,
            ReservationTracker reservations,
            boolean ledgerIsRead) {
        this.ledgerIsRead = ledgerIsRead;
        this.cluster = cluster;
        this.settings = settings;
        this.ledger = ledger;
        this.reservations = reservations;
        if (ledgerIsRead) {
            settings.teams().forEach(team -> openHeadrooms(team.name()));
            settings.teams().forEach(team -> honourReservations(team.name()));
        }
    }

    private void openHeadrooms(String team) {
        EffectiveQuota quota = ledger.quota(team);
        if (quota == null) {
            return;
        }
        ResourceAmount certain = cluster.quotaUsage.usedBy(team).plus(reservations.budgets(team));
        teamHeadrooms.put(team, new QuotaHeadroom(quota.team().limit(), certain));
        CohortQuota cohort = quota.cohort();
        if (cohort == null) {
            return;
        }
        cohortHeadrooms
                .computeIfAbsent(cohort.name(), name -> new QuotaHeadroom(cohort.limit(), ofUnreadable(name)))
                .use(certain);
        if (!reservations.isUpToDate(team)) {
            blockedCohorts.add(cohort.name());
        }
    }

    /** What teams use whose records can't be read, and that may belong to the cohort. */
    private ResourceAmount ofUnreadable(String cohort) {
        ResourceAmount sum = ResourceAmount.ZERO;
        for (Settings.Team team : settings.teams()) {
            if (ledger.quota(team.name()) == null && ledger.mayBelongTo(team.name(), cohort)) {
                sum = sum.plus(cluster.quotaUsage.usedBy(team.name()));
            }
        }
        return sum;
    }

    private void honourReservations(String team) {
        if (isKnown(team)) {
            honoured.put(
                    team, reservations.honour(team, teamHeadrooms.get(team), cohortHeadroom(team), this::unusedTasks));
        }
    }

    /**
     * Reserved tasks of a job that wait and are not booked. A reservation is good for the first admission: a job that was
     * preempted by its own team's higher priority would else take the room back from what preempted it, again and again.
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

    /** Whether all is known that counts against the limits of the team. */
    boolean isKnown(String team) {
        EffectiveQuota quota = ledger.quota(team);
        return ledgerIsRead
                && quota != null
                && reservations.isUpToDate(team)
                && (quota.cohort() == null
                        || !blockedCohorts.contains(quota.cohort().name()));
    }

    /** Whether all reservations of the team fit under its limits. */
    boolean honoursAll(String team) {
        ReservationTracker.Honoured of = honoured.get(team);
        return of != null && of.all();
    }

    /** What the team's limits leave besides its own budgets. */
    ResourceAmount freeBesideBudgets(String team) {
        ResourceAmount budgets = reservations.budgets(team);
        ResourceAmount free = teamHeadrooms.get(team).freeWithout(budgets);
        QuotaHeadroom cohort = cohortHeadroom(team);
        return cohort == null ? free : free.least(cohort.freeWithout(budgets));
    }

    /** How many of the job's waiting tasks are counted as reserved. */
    int reservedTasks(Job job) {
        ReservationTracker.Honoured of = honoured.get(job.spec().team());
        return of == null ? 0 : of.tasksByJob().getOrDefault(job.spec().id(), 0);
    }

    /** The teams as the planner sees them. */
    List<TeamView> views() {
        List<TeamView> views = new ArrayList<>(settings.teams().size());
        for (Settings.Team team : settings.teams()) {
            views.add(view(team));
        }
        return views;
    }

    private TeamView view(Settings.Team team) {
        String name = team.name();
        if (isKnown(name)) {
            EffectiveQuota quota = ledger.quota(name);
            Settings.Team terms = new Settings.Team(
                    name,
                    quota.team().guarantee().cpus(),
                    quota.team().limit().cpuLimit(),
                    quota.team().guarantee().gpus(),
                    quota.team().limit().gpuLimit());
            ResourceAmount used = teamHeadrooms.get(name).used();
            return new TeamView(terms, used.cpus(), used.gpus(), cohortView(quota));
        }
        boolean awaitsRecord = ledgerIsRead && ledger.quota(name) == null && !ledger.isUnreadable(name);
        return awaitsRecord
                ? TeamView.of(team, cluster.quotaUsage.usedBy(name))
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
