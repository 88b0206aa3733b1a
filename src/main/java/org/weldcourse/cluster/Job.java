package org.weldcourse.cluster;

import java.util.BitSet;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import org.weldcourse.jobs.JobSpec;

/**
 * A job as the leader knows it: its finished, booked and pending tasks, each identified by its index. Times are in
 * microseconds of the event loop's clock.
 */
public final class Job {
    private static final long NEVER = -1;

    private final JobSpec spec;
    private final long acceptedMicros;
    private final JobRecords records;
    private final ReleasedTasks releasedTasks = new ReleasedTasks();
    private final RunHistory runHistory = new RunHistory();
    private final BitSet done = new BitSet();
    private final BitSet persistedDone = new BitSet();
    /**
     * Finished tasks that only admission records list, as an earlier version of the scheduler with larger records wrote
     * them. The next admission record would not contain them.
     */
    private final BitSet doneOnlyInAdmissions = new BitSet();
    /** Tasks that are neither finished nor booked. */
    private final BitSet pending = new BitSet();

    private final TaskBookings bookings = new TaskBookings();
    /** The number of tasks that machines report without a booking, by machine. */
    private final Map<Machine, Integer> unbookedTasksByMachine = new HashMap<>();

    private long doneSinceMicros = NEVER;
    private boolean cancelled;
    private int lastAttempt;
    private boolean closing;
    private boolean closed;
    private boolean outstandingPersisted;
    private boolean stale;
    private boolean admissionUnderWay;

    /**
     * Creates an accepted job without booked or finished tasks; {@code modRevision} is the revision of its job record.
     */
    public Job(JobSpec spec, long modRevision, long acceptedMicros) {
        this.spec = spec;
        this.acceptedMicros = acceptedMicros;
        this.records = new JobRecords(modRevision);
        pending.set(0, spec.tasks());
    }

    /** The job as its user submitted it. */
    public JobSpec spec() {
        return spec;
    }

    /** When the job was accepted. The clock of the accepting node may differ from this one's. */
    public long acceptedMicros() {
        return acceptedMicros;
    }

    /** The job's records in the store. */
    public JobRecords records() {
        return records;
    }

    // Released tasks

    /** The tasks without a booking that admission records still contain. */
    public ReleasedTasks releasedTasks() {
        return releasedTasks;
    }

    /**
     * The number of released tasks that count as used: those that no record shows as finished and that are not booked
     * again. The record contains either the tasks that a write in flight takes off or those that it admits instead,
     * which count as bookings.
     */
    public int releasedTaskCount() {
        int leaving = releasedTasks.leavingTasks();
        int replaced = leaving == 0 ? 0 : Math.min(leaving, countBookingsNotOnRecord());
        return Math.max(0, releasedTaskCountAfterWriteOf(Set.of(), false) - replaced);
    }

    /** A task that is booked again while a record still contains it is on record before and after the write. */
    private int countBookingsNotOnRecord() {
        return bookings.unpersistedCountWithout(releasedTasks.tasksOutside(Set.of()));
    }

    /**
     * The released tasks that remain on record after a write of the records with these keys.
     *
     * @param savesFinished whether that write contains all finished tasks too
     */
    public int releasedTaskCountAfterWriteOf(Set<String> keys, boolean savesFinished) {
        if (releasedTasks.isEmpty()) {
            return 0;
        }
        BitSet tasks = releasedTasks.tasksOutside(keys);
        tasks.andNot(finishedOrBooked(savesFinished));
        return tasks.cardinality();
    }

    /** The keys of the records that a write has to contain so that no released task remains on record. */
    public Set<String> keysOfReleasedTasks(boolean savesFinished) {
        return releasedTasks.isEmpty() ? Set.of() : releasedTasks.keysOfTasksOtherThan(finishedOrBooked(savesFinished));
    }

    private BitSet finishedOrBooked(boolean savesFinished) {
        BitSet tasks = (BitSet) (savesFinished ? done : persistedDone).clone();
        tasks.or(doneOnlyInAdmissions);
        bookings.addTo(tasks);
        return tasks;
    }

    // Finished tasks

    /** Whether the task has finished. */
    public boolean isDone(int task) {
        return done.get(task);
    }

    /** Whether any task has finished. */
    public boolean hasDoneTasks() {
        return !done.isEmpty();
    }

    /** The number of finished tasks. */
    public int doneCount() {
        return done.cardinality();
    }

    /** A copy of the set of finished tasks. */
    public BitSet doneTasks() {
        return (BitSet) done.clone();
    }

    /** Whether all tasks have finished. */
    public boolean allDone() {
        return done.cardinality() == spec.tasks();
    }

    /** When all tasks were first found to be done. The first call sets it to {@code nowMicros}. */
    public long doneSinceMicros(long nowMicros) {
        if (doneSinceMicros == NEVER) {
            doneSinceMicros = nowMicros;
        }
        return doneSinceMicros;
    }

    /** Marks a task as finished. */
    void markDone(int task) {
        done.set(task);
        pending.clear(task);
    }

    /** Marks all tasks as finished, also those that are no longer needed. */
    public void markAllDone() {
        done.set(0, spec.tasks());
        pending.clear();
    }

    /**
     * Marks the tasks from {@code first} (inclusive) to {@code end} (exclusive) as finished because a record says so.
     *
     * @param staysOnRecord whether the next write of that record will still contain them
     */
    public void restoreDone(int first, int end, boolean staysOnRecord) {
        done.set(first, end);
        pending.clear(first, end);
        if (staysOnRecord) {
            persistedDone.set(first, end);
        } else {
            doneOnlyInAdmissions.set(first, end);
        }
        doneOnlyInAdmissions.andNot(persistedDone);
    }

    /** Marks finished tasks as persisted, so that their workers may be told to forget them. */
    public void markDonePersisted(BitSet tasks) {
        persistedDone.or(tasks);
        doneOnlyInAdmissions.andNot(tasks);
    }

    /**
     * The persisted finished tasks from {@code from} (inclusive) to {@code to} (exclusive), as offsets from {@code
     * from}.
     */
    public BitSet persistedDone(int from, int to) {
        return persistedDone.get(from, to);
    }

    /** Whether some finished tasks are not persisted yet. */
    public boolean hasUnpersistedDone() {
        return persistedDone.cardinality() != done.cardinality();
    }

    /** Whether finished tasks have to be moved to other records before the job may be admitted again. */
    public boolean mustMoveDoneToShards() {
        return !doneOnlyInAdmissions.isEmpty();
    }

    /** Whether a worker may be told to forget this attempt, because no leader can start it again. */
    public boolean mayForget(int task, int attempt) {
        if (closed || persistedDone.get(task)) {
            return true;
        }
        Booking current = bookings.get(task);
        return current != null && current.isPersisted() && current.attempt() != attempt;
    }

    // Bookings

    /** A live view of the job's bookings. Only {@link ClusterState} adds and removes bookings. */
    public TaskBookings bookings() {
        return bookings;
    }

    /** The booking of the task, or null. */
    public Booking booking(int task) {
        return bookings.get(task);
    }

    /** The zones of all tasks that are or may be on machines, with a booking or without. */
    public ZoneCounts zoneCounts() {
        Map<Machine, Integer> tasksByMachine = new HashMap<>(unbookedTasksByMachine);
        for (BookingGroup group : bookings.groups()) {
            tasksByMachine.merge(group.machine(), group.size(), Integer::sum);
        }
        return ZoneCounts.ofTasksOn(tasksByMachine);
    }

    /** The highest attempt number assigned so far. */
    public int lastAttempt() {
        return lastAttempt;
    }

    /** Records that an attempt number is in use, assigned by this leader or an earlier one. */
    public void recordAttempt(int attempt) {
        lastAttempt = Math.max(lastAttempt, attempt);
    }

    void addBooking(Booking booking) {
        pending.clear(booking.task());
        bookings.add(booking);
        recordAttempt(booking.attempt());
    }

    void removeBooking(Booking booking) {
        bookings.remove(booking);
    }

    /** Whether the stop of all booked tasks was requested. */
    public boolean isEvicted() {
        return bookings.isEvicted();
    }

    /** Returns a task to the pending tasks. */
    void requeue(int task) {
        pending.set(task);
    }

    /** The number of tasks that are neither finished nor booked. */
    public int pendingCount() {
        return pending.cardinality();
    }

    /** A copy of the set of tasks that are neither finished nor booked. */
    public BitSet pendingTasks() {
        return (BitSet) pending.clone();
    }

    /** Adds a task that the machine reports without a booking. */
    void addUnbookedTask(Machine machine) {
        unbookedTasksByMachine.merge(machine, 1, Integer::sum);
    }

    void removeUnbookedTask(Machine machine) {
        unbookedTasksByMachine.computeIfPresent(machine, (same, tasks) -> tasks == 1 ? null : tasks - 1);
    }

    /** Whether machines report tasks of the job without a booking. */
    public boolean hasUnbookedTasks() {
        return !unbookedTasksByMachine.isEmpty();
    }

    /** Whether some tasks may still be on machines. */
    public boolean mayBeOnMachines() {
        return !bookings.isEmpty() || hasUnbookedTasks();
    }

    /**
     * Whether pending tasks may be booked now. A gang may not until all bookings of its last attempt are released and, if
     * its zones matter, no task of it is left on any machine.
     */
    public boolean canBeBooked(long nowMicros) {
        return !cancelled
                && !admissionUnderWay
                && !records.isWriteInFlight()
                && !closing
                && !closed
                && !stale
                && !mustMoveDoneToShards()
                && !pending.isEmpty()
                && !runHistory.isBackingOff(nowMicros)
                && (!spec.isGang() || bookings.isEmpty())
                && !(spec.isGang() && spec.hasZoneConstraint() && hasUnbookedTasks());
    }

    /** Whether an admission is being booked or written, or its bookings are being released again. */
    public boolean isAdmissionUnderWay() {
        return admissionUnderWay;
    }

    /** Marks the booking of an admission as begun. */
    void beginAdmission() {
        admissionUnderWay = true;
    }

    /** Marks the admission as persisted, or as released again after it was not written. */
    void endAdmission() {
        admissionUnderWay = false;
    }

    /** How the runs of the job's tasks ended. */
    public RunHistory runHistory() {
        return runHistory;
    }

    // Cancellation and closing

    /** Whether the user cancelled the job. */
    public boolean isCancelled() {
        return cancelled;
    }

    /** Marks the job as cancelled by its user, as its record says. */
    public void cancel() {
        cancelled = true;
    }

    /** Whether the transaction that closes the job is in flight. */
    public boolean isClosing() {
        return closing;
    }

    /** Marks the transaction that closes the job as in flight. */
    public void beginClosing() {
        closing = true;
    }

    /** Marks the transaction that closes the job as refused. */
    public void abortClosing() {
        closing = false;
    }

    /** Whether the job's record says that it is closed. */
    public boolean isClosed() {
        return closed;
    }

    /** Marks the job as closed, as its record says. */
    public void markClosed() {
        closed = true;
        closing = false;
    }

    /** Whether the tasks that may still be on machines after the job was closed are persisted. */
    public boolean isOutstandingPersisted() {
        return outstandingPersisted;
    }

    /** Marks the tasks that may still be on machines after the job was closed as persisted. */
    public void markOutstandingPersisted() {
        outstandingPersisted = true;
    }

    /** Whether the job's record must be read again before any further decision about the job. */
    public boolean isStale() {
        return stale;
    }

    /** Marks the in-memory state as out of date with the job's record. */
    public void markStale() {
        stale = true;
    }

    /** Marks the in-memory state as up to date with the job's record. */
    public void markFresh() {
        stale = false;
    }
}
