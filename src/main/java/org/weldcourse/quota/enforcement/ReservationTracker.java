package org.weldcourse.quota.enforcement;

import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.ToIntFunction;
import org.agrona.collections.Int2ObjectHashMap;
import org.roaringbitmap.RoaringBitmap;
import org.weldcourse.quota.ResourceAmount;
import org.weldcourse.quota.ledger.EffectiveQuota;
import org.weldcourse.quota.ledger.Reservation;

/**
 * Tracks the reservations of open jobs and the spent part of the current budgets. The data comes from the job records,
 * which have been read up to some revision.
 *
 * <p>A budget counts as used until a reservation from it is seen, or until the job records have been read up to a quota
 * version that no longer grants it.
 */
public final class ReservationTracker {
    private final Map<String, TeamState> teams = new HashMap<>();
    private final Map<String, JobReservation> reservationsByJob = new HashMap<>();
    private final Int2ObjectHashMap<JobReservation> reservationsByOrdinal = new Int2ObjectHashMap<>();
    private int lastOrdinal;
    private long readRevision;

    private record JobReservation(
            String job, String team, int ordinal, ResourceAmount perTask, Reservation reservation) {}

    private static final class TeamState {
        /** Ordinals of the open jobs with a reservation, in the order in which the jobs were read. */
        final RoaringBitmap reservedOrdinals = new RoaringBitmap();

        final RecentDemand demand = new RecentDemand();
        /** The amount that each process is known to have reserved, by version of the team's record. */
        final TreeMap<Long, Map<String, ResourceAmount>> spent = new TreeMap<>();

        EffectiveQuota quota;
        /** The budgets of a write in progress, whose outcome is not known yet. */
        Map<String, ResourceAmount> pending = Map.of();
    }

    /**
     * The reservations that fit their limits.
     *
     * @param tasksByJob the number of tasks that may be admitted from their reservations, by job
     * @param allFit whether all reservations fit
     */
    public record AppliedReservations(Map<String, Integer> tasksByJob, boolean allFit) {}

    private TeamState team(String name) {
        return teams.computeIfAbsent(name, unknown -> new TeamState());
    }

    /** Updates the team's quota from the current ledger view. */
    public void updateQuota(EffectiveQuota quota) {
        TeamState team = team(quota.team().name());
        if (team.quota == null || quota.version() > team.quota.version()) {
            team.quota = quota;
            team.spent.headMap(quota.team().version()).clear();
        }
    }

    /** Adds an open job whose record was read for the first time. */
    public void addJob(String job, String teamName, ResourceAmount perTask, Reservation reservation) {
        TeamState team = team(teamName);
        JobReservation jobReservation = new JobReservation(job, teamName, ++lastOrdinal, perTask, reservation);
        reservationsByJob.put(job, jobReservation);
        if (!reservation.isNone()) {
            reservationsByOrdinal.put(jobReservation.ordinal, jobReservation);
            team.reservedOrdinals.add(jobReservation.ordinal);
            countSpent(team, jobReservation);
        }
    }

    /**
     * Records that a controller accepted a job that needs this amount concurrently, as an estimate of the reservation
     * for the next job.
     */
    public void recordDemand(String teamName, String owner, ResourceAmount amount, long nowMicros) {
        team(teamName).demand.add(owner, amount, nowMicros);
    }

    private static void countSpent(TeamState team, JobReservation jobReservation) {
        Reservation reservation = jobReservation.reservation;
        if (team.quota == null
                || reservation.quotaVersion() >= team.quota.team().version()) {
            team.spent
                    .computeIfAbsent(reservation.quotaVersion(), version -> new HashMap<>())
                    .merge(
                            reservation.owner(),
                            jobReservation.perTask.times(reservation.tasks()),
                            ResourceAmount::plus);
        }
    }

    /** Removes a job that has ended and whose tasks can no longer be running. The budget that it spent stays spent. */
    public void removeJob(String job) {
        JobReservation jobReservation = reservationsByJob.remove(job);
        if (jobReservation != null && reservationsByOrdinal.remove(jobReservation.ordinal) != null) {
            team(jobReservation.team).reservedOrdinals.remove(jobReservation.ordinal);
        }
    }

    /** Records that all records of open jobs up to this revision have been read. */
    public void openJobsReadUpTo(long revision) {
        readRevision = Math.max(readRevision, revision);
    }

    /**
     * Returns whether all reservations made under earlier versions of the team's quota are known. No more can be made
     * under those versions. Until all are known, nothing may be admitted for the team and no budget granted.
     */
    public boolean isUpToDate(String teamName) {
        TeamState team = team(teamName);
        return team.quota != null && readRevision >= team.quota.version();
    }

    /** Sets the budgets of a write in progress, which count in addition to the stored ones. */
    public void setPendingBudgets(String teamName, Map<String, ResourceAmount> budgets) {
        team(teamName).pending = budgets;
    }

    /** Returns the amount that may still be reserved for the team, including the budgets of a write in progress. */
    public ResourceAmount outstandingBudgets(String teamName) {
        return ResourceAmount.sum(unspentBudgets(teamName).values())
                .plus(ResourceAmount.sum(team(teamName).pending.values()));
    }

    /** Returns the amount that each process may still reserve under the current version. */
    public Map<String, ResourceAmount> unspentBudgets(String teamName) {
        TeamState team = team(teamName);
        Map<String, ResourceAmount> unspent = new TreeMap<>();
        if (team.quota != null) {
            Map<String, ResourceAmount> spent =
                    team.spent.getOrDefault(team.quota.team().version(), Map.of());
            team.quota
                    .budgets()
                    .forEach((owner, budget) ->
                            unspent.put(owner, budget.minus(spent.getOrDefault(owner, ResourceAmount.ZERO))));
        }
        return unspent;
    }

    /** Returns the recent demand for the team's quota by controller process. */
    Map<String, RecentDemand.Count> demand(String teamName, long nowMicros) {
        return team(teamName).demand.recent(nowMicros);
    }

    /**
     * Adds the team's reservations to the usage of its limit and of its cohort's limit. Reservations are applied one by
     * one while they fit. Some may not fit after the limit was lowered; their jobs wait like jobs without a
     * reservation.
     *
     * @param cohortHeadroom the headroom of the cohort, or null
     * @param unusedTasks returns the number of reserved tasks of a job that wait and are not booked
     */
    public AppliedReservations applyReservations(
            String teamName,
            QuotaHeadroom teamHeadroom,
            QuotaHeadroom cohortHeadroom,
            ToIntFunction<String> unusedTasks) {
        TeamState team = team(teamName);
        Map<String, Integer> tasksByJob = new HashMap<>();
        boolean allFit = true;
        var ordinals = team.reservedOrdinals.getIntIterator();
        while (ordinals.hasNext()) {
            JobReservation jobReservation = reservationsByOrdinal.get(ordinals.next());
            int unused = unusedTasks.applyAsInt(jobReservation.job);
            ResourceAmount amount = jobReservation.perTask.times(unused);
            if (!teamHeadroom.hasRoomFor(amount) || cohortHeadroom != null && !cohortHeadroom.hasRoomFor(amount)) {
                allFit = false;
            } else if (unused > 0) {
                teamHeadroom.use(amount);
                if (cohortHeadroom != null) {
                    cohortHeadroom.use(amount);
                }
                tasksByJob.put(jobReservation.job, unused);
            }
        }
        return new AppliedReservations(tasksByJob, allFit);
    }

    /** Returns the number of reserved tasks of a job. */
    public int reservedTasks(String job) {
        JobReservation jobReservation = reservationsByJob.get(job);
        return jobReservation == null ? 0 : jobReservation.reservation.tasks();
    }
}
