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
 * The waiting jobs, in a queue per team. The next job is the best of the queue heads: by priority, then teams within
 * their guarantee before teams that borrow, then by urgency. The heads are compared again each time, because admissions
 * change the teams' usage.
 */
final class AdmissionQueues {
    /** The largest jobs of a class must start within 4 minutes, so they become overdue earlier than the others. */
    private static final long LARGE_OVERDUE_MICROS = 120_000_000;

    /** A job without any booked or finished task is overdue after this wait. */
    private static final long OVERDUE_MICROS = 180_000_000;

    private static final int OVERDUE = 0;
    /** The urgency of a job that has missed no objective; each missed one adds 1. */
    private static final int CAN_MEET_SLO = 1;

    private static final int MISSED_SLO = Integer.MAX_VALUE;

    private final Map<String, ArrayDeque<QueuedJob>> queues = new LinkedHashMap<>();
    /** The number of tasks of the largest waiting job, by job class. */
    private final Map<String, Integer> maxTasksByClass = new HashMap<>();

    private final Map<String, TeamUsage> usages;
    private final long nowMicros;

    AdmissionQueues(List<JobView> jobs, Map<String, TeamUsage> usages, long nowMicros) {
        this.usages = usages;
        this.nowMicros = nowMicros;
        for (JobView job : jobs) {
            maxTasksByClass.merge(job.spec().jobClass(), job.spec().tasks(), Math::max);
        }
        List<QueuedJob> ordered = new ArrayList<>(jobs.size());
        jobs.forEach(job -> ordered.add(new QueuedJob(job, urgency(job), job.remainingWorkLog2())));
        ordered.sort(
                Comparator.comparing((QueuedJob queued) -> queued.job.spec().priority())
                        .thenComparing(QueuedJob::compareUrgency)
                        .thenComparing(queued -> queued.job.spec().id()));
        for (QueuedJob queued : ordered) {
            queues.computeIfAbsent(queued.job.spec().team(), team -> new ArrayDeque<>())
                    .add(queued);
        }
    }

    boolean isEmpty() {
        return queues.isEmpty();
    }

    /** Removes and returns the job that is to be admitted next. */
    JobView removeHead() {
        JobView head = bestHead().job;
        String team = head.spec().team();
        ArrayDeque<QueuedJob> queue = queues.get(team);
        queue.remove();
        if (queue.isEmpty()) {
            queues.remove(team);
        }
        return head;
    }

    private QueuedJob bestHead() {
        QueuedJob best = null;
        for (ArrayDeque<QueuedJob> queue : queues.values()) {
            QueuedJob head = queue.element();
            if (best == null || precedes(head, best)) {
                best = head;
            }
        }
        return best;
    }

    private boolean precedes(QueuedJob a, QueuedJob b) {
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

    /** A job in its team's queue, with its sort keys precomputed. */
    private record QueuedJob(JobView job, int urgency, int remainingWorkLog2) {
        /**
         * Order among jobs of equal priority: overdue jobs first, then those that can still meet an objective of their
         * class, then the rest. Of the jobs that can meet an objective, those that have missed fewer come first, and
         * among equals those with less remaining work, because more jobs then meet their objectives. Otherwise the
         * earlier latest start decides.
         */
        int compareUrgency(QueuedJob other) {
            int byUrgency = Integer.compare(urgency, other.urgency);
            if (byUrgency == 0 && urgency != OVERDUE && urgency != MISSED_SLO) {
                byUrgency = Integer.compare(remainingWorkLog2, other.remainingWorkLog2);
            }
            return byUrgency != 0 ? byUrgency : Long.compare(job.latestStartMicros(), other.job.latestStartMicros());
        }
    }

    /**
     * The urgency, where lower is more urgent: overdue, then by the number of missed objectives, then all missed. A job
     * without objectives ranks as one that has missed none.
     */
    private int urgency(JobView job) {
        boolean large =
                2 * job.spec().tasks() > maxTasksByClass.getOrDefault(job.spec().jobClass(), 0);
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
