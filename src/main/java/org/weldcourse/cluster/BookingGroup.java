package org.weldcourse.cluster;

import java.util.Collection;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import org.weldcourse.jobs.JobSpec;

/**
 * The bookings of one job on one machine, by phase. What holds for all of them is kept once, so that a machine with very
 * many bookings costs as much as the number of jobs and of present tasks on it.
 */
public final class BookingGroup {
    private final Job job;
    private final Machine machine;
    private final OperationCounter operations;
    private final Set<Booking> waiting = new LinkedHashSet<>(2);
    private final Set<Booking> stopped = new LinkedHashSet<>(2);
    private final Set<Booking> present = new LinkedHashSet<>(2);
    private int running;
    private long lastBookedMicros;
    /** How many of the waiting tasks are still to be stopped. */
    private int pendingStops;

    /** Where a booking's task is in its life on the machine. */
    enum Phase {
        /** Not told to start, nor to stop by a request of its own. */
        WAITING,
        /** Not told to start, and a stop of this task was requested. */
        STOPPED,
        /** Told to start, or reported by the worker. */
        PRESENT
    }

    BookingGroup(Job job, Machine machine, OperationCounter operations) {
        this.job = job;
        this.machine = machine;
        this.operations = operations;
    }

    /** The job that the tasks belong to. */
    public Job job() {
        return job;
    }

    /** The specification of the job. */
    public JobSpec spec() {
        return job.spec();
    }

    /** The machine that the tasks are booked on. */
    public Machine machine() {
        return machine;
    }

    /** The number of bookings. */
    public int size() {
        return waiting.size() + stopped.size() + present.size();
    }

    /** The number of tasks that are reported as running or saving a checkpoint. */
    public int runningCount() {
        return running;
    }

    /** When the last of the tasks was booked. */
    public long lastBookedMicros() {
        return lastBookedMicros;
    }

    /** The bookings that wait for their start without a stop request of their own, in the order of their booking. */
    public Iterable<Booking> waiting() {
        return counted(waiting);
    }

    /** Puts a waiting booking behind the others. */
    public void moveToEnd(Booking booking) {
        operations.increment();
        if (waiting.remove(booking)) {
            waiting.add(booking);
        }
    }

    /** The number of bookings that wait for their start without a stop request of their own. */
    public int waitingCount() {
        return waiting.size();
    }

    /** The bookings that were not told to start before their stop was requested. */
    public Iterable<Booking> stopped() {
        return counted(stopped);
    }

    /** The number of bookings that were not told to start before their stop was requested. */
    public int stoppedCount() {
        return stopped.size();
    }

    /** The bookings whose task was told to start or is reported. */
    public Iterable<Booking> present() {
        return counted(present);
    }

    /** A copy of {@link #present}, for callers that release some of them. */
    public List<Booking> presentCopy() {
        present.forEach(booking -> operations.increment());
        return List.copyOf(present);
    }

    /**
     * Requests the stop of waiting tasks in parts, without a grace period, which only started tasks need.
     *
     * @param max the most tasks to stop besides those of earlier requests, in the order of their booking
     */
    public void stopWaiting(ClusterState cluster, int max) {
        boolean isUnderWay = pendingStops > 0;
        pendingStops = Math.min(waiting.size(), pendingStops + max);
        if (!isUnderWay) {
            cluster.stopInParts(new WaitingToStop(), 0, () -> pendingStops = 0);
        }
    }

    /** Takes the first of the waiting bookings, each of which stops waiting before the next is asked for. */
    private final class WaitingToStop extends BookingSearch {
        @Override
        protected Booking find() {
            if (pendingStops == 0 || waiting.isEmpty()) {
                return null;
            }
            pendingStops--;
            return waiting().iterator().next();
        }
    }

    /** Any of the bookings, those that are not present first; null if there is none. */
    Booking any() {
        for (Set<Booking> bookings : List.of(waiting, stopped, present)) {
            if (!bookings.isEmpty()) {
                operations.increment();
                return bookings.iterator().next();
            }
        }
        return null;
    }

    private Iterable<Booking> counted(Collection<Booking> bookings) {
        return () -> new Iterator<>() {
            private final Iterator<Booking> iterator = bookings.iterator();

            @Override
            public boolean hasNext() {
                return iterator.hasNext();
            }

            @Override
            public Booking next() {
                operations.increment();
                return iterator.next();
            }
        };
    }

    void add(Booking booking) {
        operations.increment();
        phase(booking.phase()).add(booking);
        lastBookedMicros = Math.max(lastBookedMicros, booking.bookedMicros());
    }

    /** Removes a booking; returns whether it was here. */
    boolean remove(Booking booking) {
        operations.increment();
        boolean removed = phase(booking.phase()).remove(booking);
        running -= removed && booking.isRunning() ? 1 : 0;
        return removed;
    }

    /** Moves a booking whose phase has changed; does nothing if it was released. */
    void moved(Booking booking, Phase before) {
        operations.increment();
        if (booking.phase() != before && phase(before).remove(booking)) {
            phase(booking.phase()).add(booking);
        }
    }

    /** Updates the number of running tasks after a change of a booking's state. */
    void runningChanged(Booking booking, boolean wasRunning) {
        if (booking.isRunning() != wasRunning && phase(booking.phase()).contains(booking)) {
            running += wasRunning ? -1 : 1;
        }
    }

    private Set<Booking> phase(Phase phase) {
        return switch (phase) {
            case WAITING -> waiting;
            case STOPPED -> stopped;
            case PRESENT -> present;
        };
    }
}
