package org.weldcourse.workers;

import java.util.Iterator;
import org.weldcourse.cluster.Booking;
import org.weldcourse.cluster.BookingGroup;
import org.weldcourse.cluster.BookingSearch;
import org.weldcourse.cluster.Machine;

/**
 * The bookings on a machine whose tasks were never started there and that are to be released: those that are no longer
 * wanted, and those that wait in vain for room. Whether that holds is looked up when a booking is asked for; each must be
 * released before the next is asked for.
 */
final class UnwantedBookings extends BookingSearch {
    /**
     * How long a task may wait for room on its machine that nothing is freeing. The tasks there may end later than
     * estimated, or their stop was decided by an earlier leader and lost with it.
     */
    private static final long MAX_WAIT_FOR_ROOM_MICROS = 30_000_000;

    private final Machine machine;
    private final StartAuthorization startAuthorization;
    private final long nowMicros;
    private final RemainingCapacity capacity;
    private final boolean isRoomBeingFreed;

    /** Finds the unwanted bookings of a machine; they count as waiting since before {@code nowMicros}. */
    UnwantedBookings(Machine machine, StartAuthorization startAuthorization, long nowMicros) {
        this.machine = machine;
        this.startAuthorization = startAuthorization;
        this.nowMicros = nowMicros;
        this.capacity = machine.type == null ? null : RemainingCapacity.afterStops(machine);
        this.isRoomBeingFreed = machine.bookings.hasStopRequests();
    }

    @Override
    protected Booking find() {
        for (BookingGroup group : machine.bookings.groups()) {
            Booking stopped = firstPersisted(group.stopped());
            if (stopped != null) {
                return stopped;
            }
            Booking waiting = firstPersisted(group.waiting());
            if (waiting != null && (isUnwanted(waiting) || waitsForRoomInVain(group, waiting))) {
                return waiting;
            }
        }
        return null;
    }

    /** The first booking, if it is persisted: of one job's bookings, those of the write in flight are the last. */
    private static Booking firstPersisted(Iterable<Booking> bookings) {
        Iterator<Booking> iterator = bookings.iterator();
        Booking first = iterator.hasNext() ? iterator.next() : null;
        return first == null || !first.isPersisted() ? null : first;
    }

    /**
     * Whether the booking of an admitted task that was never listed is released. This includes tasks of a team above
     * its limit: the store may still hold the admission of a task that was preempted under an earlier leader, beside
     * that of the task which preempted it. Once the worker has forgotten the exit, the preempted task looks as if it
     * had never been started.
     */
    private boolean isUnwanted(Booking booking) {
        return booking.isStopRequested()
                || machine.isClosedToStarts()
                || startAuthorization.isOverbooked(booking.job().spec().team());
    }

    /**
     * Whether the task of an array or a service has waited too long for room that no task is stopped for. A gang waits
     * as a whole, and has a timeout of its own.
     */
    private boolean waitsForRoomInVain(BookingGroup group, Booking booking) {
        return !group.spec().isGang()
                && capacity != null
                && nowMicros - booking.bookedMicros() > MAX_WAIT_FOR_ROOM_MICROS
                && !isRoomBeingFreed
                && !capacity.fits(group.spec());
    }
}
