package org.weldcourse.leader;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.weldcourse.admission.CycleDecisions;
import org.weldcourse.cluster.AttemptBookings;
import org.weldcourse.cluster.ClusterState;
import org.weldcourse.cluster.Job;
import org.weldcourse.persistence.RecordWriter;
import org.weldcourse.runtime.Clock;

/**
 * Books and writes the admissions that a cycle has decided. The tasks of an admission may be too many for one event, so
 * they are booked in parts; its record is written once all are booked, and no task starts before. A failed write
 * releases the bookings.
 */
final class AdmissionWriter {
    private static final Logger LOG = LoggerFactory.getLogger(AdmissionWriter.class);
    /** The most tasks that are booked in one event. */
    private static final int MAX_TASKS_PER_PART = 1_000;

    private final ClusterState cluster;
    private final RecordWriter recordWriter;
    private final Clock clock;
    private final Runnable onPersisted;
    private final Deque<AttemptBookings> admissions = new ArrayDeque<>();
    private Runnable whenBooked;

    /** Creates a writer that runs {@code onPersisted} after each admission that was written. */
    AdmissionWriter(ClusterState cluster, RecordWriter recordWriter, Clock clock, Runnable onPersisted) {
        this.cluster = cluster;
        this.recordWriter = recordWriter;
        this.clock = clock;
        this.onPersisted = onPersisted;
    }

    /** Whether admissions are left to be booked. */
    boolean isBooking() {
        return !admissions.isEmpty();
    }

    /** Books the first part of these admissions; {@code callback} runs once all are booked and their writes are sent. */
    void begin(List<CycleDecisions.Admission> decided, Runnable callback) {
        for (CycleDecisions.Admission admission : decided) {
            Job job = cluster.jobs.get(admission.job());
            if (job.spec().hasZoneConstraint()) {
                LOG.debug("{} has tasks in {} before this admission", job.spec().id(), job.zoneCounts());
            }
            admissions.add(new AttemptBookings(cluster, job, admission.tasks()));
        }
        whenBooked = callback;
        bookPart();
    }

    /** Books the next part of the admissions. */
    void bookPart() {
        int left = MAX_TASKS_PER_PART;
        while (left > 0 && !admissions.isEmpty()) {
            AttemptBookings next = admissions.peek();
            if (next.isObsolete()) {
                admissions.remove();
                next.release(clock::nowMicros);
                continue;
            }
            left -= next.bookPart(left, clock.nowMicros());
            if (next.isComplete()) {
                admissions.remove();
                write(next);
            }
        }
        if (admissions.isEmpty()) {
            whenBooked.run();
        }
    }

    private void write(AttemptBookings bookings) {
        Job job = bookings.job();
        recordWriter.admit(job, bookings.admission(), persisted -> {
            if (persisted) {
                if (LOG.isDebugEnabled()) {
                    LOG.debug(
                            "{} attempt {}: {} tasks admitted on {}",
                            job.spec().id(),
                            bookings.admission().attempt(),
                            bookings.taskCount(),
                            bookings.machineNames());
                }
                bookings.markPersisted();
                onPersisted.run();
            } else {
                // No cycle at once: it would decide the same before the job or the quota is read again.
                bookings.release(clock::nowMicros);
            }
        });
    }
}
