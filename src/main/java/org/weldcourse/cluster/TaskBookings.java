package org.weldcourse.cluster;

import java.util.BitSet;
import java.util.Collection;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.Consumer;
import org.agrona.collections.Int2ObjectHashMap;
import org.weldcourse.jobs.AdmittedTasks;

/** The bookings of one job: by task, by machine, and whether all of them are being stopped. */
public final class TaskBookings {
    private static final long NOT_EVICTED = -1;

    private final Int2ObjectHashMap<Booking> byTask = new Int2ObjectHashMap<>();
    private final Map<Machine, BookingGroup> byMachine = new LinkedHashMap<>();
    private final AdmittedTasks admitted = new AdmittedTasks();
    private final BitSet booked = new BitSet();
    private final BitSet unpersisted = new BitSet();
    private long evictionGraceMicros = NOT_EVICTED;

    /** The number of bookings. */
    public int size() {
        return byTask.size();
    }

    /** Whether no task is booked. */
    public boolean isEmpty() {
        return byTask.isEmpty();
    }

    /** The booking of the task, or null. */
    public Booking get(int task) {
        return byTask.get(task);
    }

    /** The bookings by machine; a live view. */
    public Collection<BookingGroup> groups() {
        return Collections.unmodifiableCollection(byMachine.values());
    }

    /** Visits all bookings. */
    public void forEach(Consumer<Booking> visitor) {
        for (BookingGroup group : byMachine.values()) {
            group.waiting().forEach(visitor);
            group.stopped().forEach(visitor);
            group.present().forEach(visitor);
        }
    }

    /** The booked tasks by machine and attempt; a live view, not to be changed. */
    public AdmittedTasks admitted() {
        return admitted;
    }

    /** The number of tasks that are reported as running or saving a checkpoint. */
    public int runningCount() {
        int running = 0;
        for (BookingGroup group : byMachine.values()) {
            running += group.runningCount();
        }
        return running;
    }

    /** Adds the booked tasks to a set. */
    void addTo(BitSet tasks) {
        tasks.or(booked);
    }

    /** The number of bookings that are not persisted, without those of the given tasks. */
    int unpersistedCountWithout(BitSet excluded) {
        BitSet tasks = (BitSet) unpersisted.clone();
        tasks.andNot(excluded);
        return tasks.cardinality();
    }

    /** Marks the bookings of these tasks as persisted. */
    void markPersisted(AdmittedTasks tasks) {
        tasks.visit((machine, attempt, first, last) -> unpersisted.clear(first, last + 1));
    }

    void add(Booking booking) {
        int task = booking.task();
        Booking earlier = byTask.put(task, booking);
        if (earlier != null) {
            admitted.remove(earlier.machine().name, earlier.attempt(), task);
        }
        byMachine.put(booking.machine(), booking.group());
        admitted.add(booking.machine().name, booking.attempt(), task);
        booked.set(task);
        unpersisted.set(task, !booking.isPersisted());
    }

    /** Removes a booking, unless the task has been booked again. */
    void remove(Booking booking) {
        BookingGroup group = booking.group();
        if (group.size() == 0) {
            byMachine.remove(booking.machine(), group);
        }
        if (byTask.get(booking.task()) != booking) {
            return;
        }
        byTask.remove(booking.task());
        admitted.remove(booking.machine().name, booking.attempt(), booking.task());
        booked.clear(booking.task());
        unpersisted.clear(booking.task());
        if (byTask.isEmpty()) {
            evictionGraceMicros = NOT_EVICTED;
        }
    }

    /**
     * Requests the stop of all booked tasks. The request is noted once for all of them, so that it costs as much as the
     * number of machines. The grace period of an earlier request stays in force, unless the new one is zero.
     */
    void evict(long graceMicros) {
        boolean isNew = evictionGraceMicros == NOT_EVICTED || graceMicros == 0 && evictionGraceMicros != 0;
        if (byTask.isEmpty() || !isNew) {
            return;
        }
        evictionGraceMicros = graceMicros;
        for (Machine machine : byMachine.keySet()) {
            machine.invalidateAllocation();
            machine.hasUnsentCommands = true;
        }
    }

    /** Whether the stop of all booked tasks was requested. */
    boolean isEvicted() {
        return evictionGraceMicros != NOT_EVICTED;
    }

    /** The time for saving a checkpoint after the stop of all tasks. */
    long evictionGraceMicros() {
        return evictionGraceMicros;
    }
}
