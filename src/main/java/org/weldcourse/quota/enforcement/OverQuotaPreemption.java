package org.weldcourse.quota.enforcement;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.weldcourse.cluster.Booking;
import org.weldcourse.cluster.ClusterState;
import org.weldcourse.cluster.Job;
import org.weldcourse.quota.ResourceAmount;
import org.weldcourse.quota.ledger.CohortQuota;
import org.weldcourse.quota.ledger.EffectiveQuota;
import org.weldcourse.quota.ledger.TeamQuota;

/**
 * Selects the tasks to preempt when a team or cohort uses more than its limit: lowest priority first, then the most
 * recently booked. A gang is stopped as a whole and represented by one of its bookings.
 */
final class OverQuotaPreemption {
    private final ResourceAmount limit;
    /**
     * The amount that each team keeps: zero when its own limit is enforced, its guarantee when the cohort's limit is
     * enforced.
     */
    private final Map<String, ResourceAmount> guaranteedByTeam;

    private final Map<String, ResourceAmount> remainingByTeam = new HashMap<>();
    private final List<Booking> candidates = new ArrayList<>();

    private OverQuotaPreemption(
            ResourceAmount limit, Map<String, ResourceAmount> guaranteedByTeam, ClusterState cluster) {
        this.limit = limit;
        this.guaranteedByTeam = guaranteedByTeam;
        for (Job job : cluster.jobs.values()) {
            if (guaranteedByTeam.containsKey(job.spec().team())) {
                job.bookings().forEach(this::addCandidate);
            }
        }
    }

    /** Returns the bookings to stop so that the rest of the team's bookings fit its limit. */
    static List<Booking> ofTeam(ClusterState cluster, TeamQuota team) {
        return new OverQuotaPreemption(team.limit(), Map.of(team.name(), ResourceAmount.ZERO), cluster).selectVictims();
    }

    /** Returns the bookings to stop so that the rest of the members' bookings fit the cohort's limit. */
    static List<Booking> ofCohort(ClusterState cluster, CohortQuota cohort, List<EffectiveQuota> members) {
        Map<String, ResourceAmount> guarantees = new HashMap<>();
        members.forEach(
                member -> guarantees.put(member.team().name(), member.team().guarantee()));
        return new OverQuotaPreemption(cohort.limit(), guarantees, cluster).selectVictims();
    }

    private void addCandidate(Booking booking) {
        if (!booking.isStopRequested()) {
            candidates.add(booking);
            remainingByTeam.merge(
                    booking.job().spec().team(), booking.job().spec().quotaPerTask(), ResourceAmount::plus);
        }
    }

    private List<Booking> selectVictims() {
        candidates.sort(
                Comparator.comparing((Booking booking) -> booking.job().spec().priority())
                        .thenComparingLong(booking -> booking.bookedMicros())
                        .thenComparing(booking -> booking.job().spec().id())
                        .thenComparingInt(booking -> booking.task())
                        .reversed());
        List<Booking> victims = new ArrayList<>();
        Set<Job> stoppedGangs = new HashSet<>();
        for (Booking booking : candidates) {
            if (ResourceAmount.sum(remainingByTeam.values()).fitsInto(limit)) {
                break;
            }
            Job job = booking.job();
            boolean gang = job.spec().isGang();
            ResourceAmount perTask = job.spec().quotaPerTask();
            ResourceAmount freed = gang ? perTask.times(job.bookings().size()) : perTask;
            if (keepsGuarantee(job.spec().team(), freed) && (!gang || stoppedGangs.add(job))) {
                victims.add(booking);
                remainingByTeam.computeIfPresent(job.spec().team(), (team, remaining) -> remaining.minus(freed));
            }
        }
        return victims;
    }

    private boolean keepsGuarantee(String team, ResourceAmount freed) {
        return guaranteedByTeam.get(team).fitsInto(remainingByTeam.get(team).minus(freed));
    }
}
