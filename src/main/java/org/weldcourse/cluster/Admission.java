package org.weldcourse.cluster;

import org.weldcourse.jobs.AdmittedTasks;

/**
 * One admission of a job's tasks, shared by their bookings: whether it is in the store is noted once for all of them,
 * however many there are.
 */
public final class Admission {
    private final Job job;
    private final int attempt;
    /** The booked tasks, until the admission is persisted. */
    private AdmittedTasks unpersistedTasks = new AdmittedTasks();

    /** Creates an admission that is not persisted yet. */
    Admission(Job job, int attempt) {
        this.job = job;
        this.attempt = attempt;
    }

    /** The attempt number of all tasks of the admission. */
    public int attempt() {
        return attempt;
    }

    /** Whether the admission is in the store; until then its tasks must not start. */
    public boolean isPersisted() {
        return unpersistedTasks == null;
    }

    /** The tasks that were booked for the admission and are booked still; only until it is persisted. */
    public AdmittedTasks unpersistedTasks() {
        return unpersistedTasks;
    }

    /** Records that the admission is in the store. */
    public void markPersisted() {
        if (!isPersisted()) {
            job.bookings().markPersisted(unpersistedTasks);
            unpersistedTasks = null;
        }
    }

    void booked(Booking booking) {
        if (!isPersisted()) {
            unpersistedTasks.add(booking.machine().name, attempt, booking.task());
        }
    }

    void released(Booking booking) {
        if (!isPersisted()) {
            unpersistedTasks.remove(booking.machine().name, attempt, booking.task());
        }
    }
}
