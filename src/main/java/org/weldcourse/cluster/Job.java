package org.weldcourse.cluster;

import java.util.BitSet;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.agrona.collections.Int2ObjectHashMap;
import org.weldcourse.jobs.JobSpec;

/**
 * An open job as its leader sees it: what is finished, what is booked where, and what is left. Tasks go by their index.
 * Times are microseconds of the event loop's clock.
 */
public final class Job {
    private static final long NEVER = -1;

    private final JobSpec spec;
    private final long acceptedMicros;
    private final JobRecords records;
    private final BitSet done = new BitSet();
    private final BitSet persistedDone = new BitSet();
    /**
     * Finished tasks that stand only in admissions, where a version with larger records kept them: the next admission would
     * be written without them.
     */
    private final BitSet doneInAdmissions = new BitSet();
    /** Neither finished nor booked. */
    private final BitSet pending = new BitSet();

    private final Int2ObjectHashMap<Booking> bookings = new Int2ObjectHashMap<>();
    private final Set<String> excludedMachines = new HashSet<>();
    private int unbookedTasks;
    private long doneSinceMicros = NEVER;
    private boolean cancelled;
    private int lastAttempt;
    private int consecutiveErrors;
    private int finishedRuns;
    private long finishedRunMicros;
    private long backoffUntilMicros;
    private boolean closing;
    private boolean closed;
    private boolean outstandingPersisted;
    private boolean stale;

    /** An accepted job of which nothing is booked or finished yet, whose own record is of this revision. */
    public Job(JobSpec spec, long modRevision, long acceptedMicros) {
        this.spec = spec;
        this.acceptedMicros = acceptedMicros;
        this.records = new JobRecords(modRevision);
        pending.set(0, spec.tasks());
    }

    /** What its user asked for. */
    public JobSpec spec() {
        return spec;
    }

    /** When it was accepted, as far as clocks tell. */
    public long acceptedMicros() {
        return acceptedMicros;
    }

    /** The records that the store holds of it. */
    public JobRecords records() {
        return records;
    }

    // Finished tasks

    /** Whether this task has finished. */
    public boolean isDone(int task) {
        return done.get(task);
    }

    /** Whether any of its tasks has finished. */
    public boolean hasDoneTasks() {
        return !done.isEmpty();
    }

    /** How many of its tasks have finished. */
    public int doneCount() {
        return done.cardinality();
    }

    /** A copy of the set of finished tasks. */
    public BitSet doneTasks() {
        return (BitSet) done.clone();
    }

    /** Whether all of its tasks have finished. */
    public boolean allDone() {
        return done.cardinality() == spec.tasks();
    }

    /** When all of its tasks were first found to be done: now, if nobody has asked before. */
    public long doneSinceMicros(long nowMicros) {
        if (doneSinceMicros == NEVER) {
            doneSinceMicros = nowMicros;
        }
        return doneSinceMicros;
    }

    /** This task has finished. */
    void markDone(int task) {
        done.set(task);
        pending.clear(task);
    }

    /** All of its tasks have finished, or are not wanted any more. */
    public void markAllDone() {
        done.set(0, spec.tasks());
        pending.clear();
    }

    /** A record says that this task has finished; {@code staysOnRecord}: the next write of that record will say so too. */
    public void restoreDone(int task, boolean staysOnRecord) {
        markDone(task);
        if (staysOnRecord) {
            persistedDone.set(task);
            doneInAdmissions.clear(task);
        } else if (!persistedDone.get(task)) {
            doneInAdmissions.set(task);
        }
    }

    /** The store holds that these tasks have finished: their workers may be told to forget them. */
    public void markDonePersisted(BitSet tasks) {
        persistedDone.or(tasks);
        doneInAdmissions.andNot(tasks);
    }

    /** The finished tasks that the store holds, from one task to before another, counted from the first. */
    public BitSet persistedDone(int from, int to) {
        return persistedDone.get(from, to);
    }

    /** Whether tasks have finished that are on no record yet. */
    public boolean hasUnpersistedDone() {
        return persistedDone.cardinality() != done.cardinality();
    }

    /** Whether finished tasks have to be put on record elsewhere before the job may be admitted anew. */
    public boolean mustMoveDoneToShards() {
        return !doneInAdmissions.isEmpty();
    }

    /** Whether a worker may be told to forget this attempt: no leader would ever run it again. */
    public boolean mayForget(int task, int attempt) {
        if (closed || persistedDone.get(task)) {
            return true;
        }
        Booking current = bookings.get(task);
        return current != null && current.isPersisted() && current.attempt() != attempt;
    }

    // Bookings

    /** Its bookings, as a view that follows them; {@link ClusterState} alone books and releases. */
    public Collection<Booking> bookings() {
        return bookings.values();
    }

    /** The booking of this task, or null. */
    public Booking booking(int task) {
        return bookings.get(task);
    }

    /** How many of its tasks are booked in each zone; a zone that is not known yet is {@code "null"}. */
    public Map<String, Integer> tasksByZone() {
        Map<String, Integer> zones = new HashMap<>();
        for (Booking booking : bookings.values()) {
            zones.merge(String.valueOf(booking.machine().zone), 1, Integer::sum);
        }
        return zones;
    }

    /** The highest attempt that was given out. */
    public int lastAttempt() {
        return lastAttempt;
    }

    /** This attempt was given out, be it by a leader before. */
    public void recordAttempt(int attempt) {
        lastAttempt = Math.max(lastAttempt, attempt);
    }

    void addBooking(Booking booking) {
        pending.clear(booking.task());
        bookings.put(booking.task(), booking);
        recordAttempt(booking.attempt());
    }

    void removeBooking(int task) {
        bookings.remove(task);
    }

    /** The task is to be booked again. */
    void requeue(int task) {
        pending.set(task);
    }

    /** How many of its tasks are neither finished nor booked. */
    public int pendingCount() {
        return pending.cardinality();
    }

    /** A copy of the set of tasks that are neither finished nor booked. */
    public BitSet pendingTasks() {
        return (BitSet) pending.clone();
    }

    /** Counts tasks of it that machines list without a booking. */
    void addUnbookedTasks(int difference) {
        unbookedTasks += difference;
    }

    /** Whether some of its tasks may still be on machines. */
    public boolean mayBeOnMachines() {
        return !bookings.isEmpty() || unbookedTasks > 0;
    }

    /** A gang may only be booked anew once nothing of its last attempt is left anywhere. */
    public boolean canBeBooked(long nowMicros) {
        return !cancelled
                && !records.isWriteInFlight()
                && !closing
                && !closed
                && !stale
                && !mustMoveDoneToShards()
                && !pending.isEmpty()
                && nowMicros >= backoffUntilMicros
                && (!spec.isGang() || bookings.isEmpty());
    }

    // Failures and run times

    /** Machines on which a task of it failed of late: others are tried first. */
    public Set<String> excludedMachines() {
        return excludedMachines;
    }

    /** Counts an error, and says how many there have been without a success. */
    int countError() {
        return ++consecutiveErrors;
    }

    void clearErrors() {
        consecutiveErrors = 0;
    }

    /** Nothing of it is booked before then. */
    void backOffUntil(long micros) {
        backoffUntilMicros = micros;
    }

    void addRun(long ranMicros) {
        finishedRuns++;
        finishedRunMicros += ranMicros;
    }

    boolean hasRuns() {
        return finishedRuns > 0;
    }

    /** How long its tasks ran on average; there must have been some. */
    long meanRunMicros() {
        return finishedRunMicros / finishedRuns;
    }

    // Its end

    /** Whether its user cancelled it. */
    public boolean isCancelled() {
        return cancelled;
    }

    /** Its record says that its user cancelled it. */
    public void cancel() {
        cancelled = true;
    }

    /** Whether the commit of its end is under way. */
    public boolean isClosing() {
        return closing;
    }

    /** The commit of its end is under way. */
    public void beginClosing() {
        closing = true;
    }

    /** The commit of its end was refused. */
    public void abortClosing() {
        closing = false;
    }

    /** Whether it is over, by its record. */
    public boolean isClosed() {
        return closed;
    }

    /** It is over, by its record. */
    public void markClosed() {
        closed = true;
        closing = false;
    }

    /** Whether what may still be on machines although the job is over is on record. */
    public boolean isOutstandingPersisted() {
        return outstandingPersisted;
    }

    /** What may still be on machines although the job is over goes on record. */
    public void markOutstandingPersisted() {
        outstandingPersisted = true;
    }

    /** Whether its record has to be read again; until then nothing is decided about it. */
    public boolean isStale() {
        return stale;
    }

    /** Its record is not what was thought. */
    public void markStale() {
        stale = true;
    }

    /** Its record was read again. */
    public void markFresh() {
        stale = false;
    }
}
