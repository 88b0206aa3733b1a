package org.weldcourse.admission;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.weldcourse.quota.Amount;

/** Which tasks of a team are stopped when it runs more than its limit: low priority first, then the latest. */
final class OverLimitStops {
    private OverLimitStops() {}

    /** Bookings to stop so that what stays fits the limit. A gang is stopped whole, by one of its tasks. */
    static List<Booking> choose(ClusterState cluster, String team, Amount limit) {
        List<Booking> candidates = new ArrayList<>();
        Amount staying = Amount.ZERO;
        for (Job job : cluster.jobs.values()) {
            if (!job.spec.team().equals(team)) {
                continue;
            }
            for (Booking booking : job.bookings.values()) {
                if (!booking.stop) {
                    candidates.add(booking);
                    staying = staying.plus(amount(booking));
                }
            }
        }
        candidates.sort(Comparator.comparing((Booking booking) -> booking.job.spec.rank())
                .thenComparingLong(booking -> booking.bookedMicros)
                .thenComparing(booking -> booking.job.spec.id())
                .thenComparingInt(booking -> booking.task)
                .reversed());
        List<Booking> stops = new ArrayList<>();
        Set<Job> stoppedGangs = new HashSet<>();
        for (Booking booking : candidates) {
            if (staying.fitsInto(limit)) {
                break;
            }
            Job job = booking.job;
            if (!job.spec.gang()) {
                stops.add(booking);
                staying = staying.minus(amount(booking));
            } else if (stoppedGangs.add(job)) {
                stops.add(booking);
                staying = staying.minus(amount(booking).times(job.bookings.size()));
            }
        }
        return stops;
    }

    private static Amount amount(Booking booking) {
        return Amount.of(booking.job.spec.cpus(), booking.job.spec.gpus());
    }
}
