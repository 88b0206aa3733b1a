package org.weldcourse.admission;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.weldcourse.cluster.Snapshot.JobView;

/**
 * The jobs that wait, in a queue for each team. The heads of the queues are weighed: priority first, then teams within their
 * guarantee before teams that borrow, then the order among equals. What a team uses may change from one head to the next.
 */
final class AdmissionQueues {
    /** A class's largest jobs must start within four minutes; from here on they come before their equals. */
    private static final long LARGE_OVERDUE_MICROS = 120_000_000;

    private static final long OVERDUE_MICROS = 180_000_000;
    private static final int OVERDUE = 0;
    private static final int CAN_MEET_SLO = 1;
    private static final int MISSED_SLO = Integer.MAX_VALUE;

    private final Map<String, ArrayDeque<Queued>> queues = new LinkedHashMap<>();
    /** The tasks of each class's largest job that waits. */
    private final Map<String, Integer> largest = new HashMap<>();

    private final Map<String, TeamUsage> usages;
    private final long nowMicros;

    AdmissionQueues(List<JobView> jobs, Map<String, TeamUsage> usages, long nowMicros) {
        this.usages = usages;
        this.nowMicros = nowMicros;
        for (JobView job : jobs) {
            largest.merge(job.spec().jobClass(), job.spec().tasks(), Math::max);
        }
        List<Queued> ordered = new ArrayList<>(jobs.size());
        jobs.forEach(job -> ordered.add(new Queued(job, urgency(job), job.remainingWorkLog2())));
        ordered.sort(Comparator.comparing((Queued queued) -> queued.job.spec().priority())
                .thenComparing(Queued::compareUrgency)
                .thenComparing(queued -> queued.job.spec().id()));
        for (Queued queued : ordered) {
            queues.computeIfAbsent(queued.job.spec().team(), team -> new ArrayDeque<>())
                    .add(queued);
        }
    }

    boolean isEmpty() {
        return queues.isEmpty();
    }

    /** Takes out the job that is to be admitted next. */
    JobView removeHead() {
        JobView head = bestHead().job;
        String team = head.spec().team();
        ArrayDeque<Queued> queue = queues.get(team);
        queue.remove();
        if (queue.isEmpty()) {
            queues.remove(team);
        }
        return head;
    }

    private Queued bestHead() {
        Queued best = null;
        for (ArrayDeque<Queued> queue : queues.values()) {
            Queued head = queue.element();
            if (best == null || before(head, best)) {
                best = head;
            }
        }
        return best;
    }

    private boolean before(Queued a, Queued b) {
        int byPriority = a.job.spec().priority().compareTo(b.job.spec().priority());
        if (byPriority != 0) {
            return byPriority < 0;
        }
        boolean aWithin = isWithinGuarantee(a.job);
        if (aWithin != isWithinGuarantee(b.job)) {
            return aWithin;
        }
        return a.compareUrgency(b) < 0;
    }

    /** A job in its team's queue, with what its place there follows from: worked out once, compared often. */
    private record Queued(JobView job, int urgency, int remainingWorkMagnitude) {
        /**
         * Of equal priorities: first what has waited for so long that its start is overdue, then what can still meet an
         * objective of its class, its first before only a later one, the less work before the more since more of it
         * does, then the rest.
         */
        int compareUrgency(Queued other) {
            int byUrgency = Integer.compare(urgency, other.urgency);
            if (byUrgency == 0 && urgency != OVERDUE && urgency != MISSED_SLO) {
                byUrgency = Integer.compare(remainingWorkMagnitude, other.remainingWorkMagnitude);
            }
            return byUrgency != 0 ? byUrgency : Long.compare(job.latestStartMicros(), other.job.latestStartMicros());
        }
    }

    /** The lower the more urgent: overdue, then by the number of objectives that are missed, then all missed. */
    private int urgency(JobView job) {
        boolean large = 2 * job.spec().tasks() > largest.getOrDefault(job.spec().jobClass(), 0);
        boolean overdue = nowMicros - job.acceptedMicros() > (large ? LARGE_OVERDUE_MICROS : OVERDUE_MICROS);
        if (overdue && !job.started()) {
            return OVERDUE;
        }
        long[] deadlines = job.admissionDeadlinesMicros();
        int missed = 0;
        while (missed < deadlines.length && deadlines[missed] < nowMicros) {
            missed++;
        }
        return missed > 0 && missed == deadlines.length ? MISSED_SLO : CAN_MEET_SLO + missed;
    }

    private boolean isWithinGuarantee(JobView job) {
        TeamUsage usage = usages.get(job.spec().team());
        return usage != null && usage.canStartWithinGuarantee(job.spec());
    }
}
