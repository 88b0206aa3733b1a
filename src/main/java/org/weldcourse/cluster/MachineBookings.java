package org.weldcourse.cluster;

import java.util.Collection;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.Map;
import org.weldcourse.workers.TaskId;

/** The bookings on one machine, grouped by job. */
public final class MachineBookings {
    private final Map<String, BookingGroup> groups = new LinkedHashMap<>();
    private int size;

    /** The number of bookings. */
    public int size() {
        return size;
    }

    /** Whether nothing is booked on the machine. */
    public boolean isEmpty() {
        return size == 0;
    }

    /** The booking of the task on this machine, or null. */
    public Booking get(TaskId task) {
        BookingGroup group = groups.get(task.jobId());
        Booking booking = group == null ? null : group.job().booking(task.index());
        return booking == null || booking.machine() != group.machine() ? null : booking;
    }

    /** A live view of the bookings by job, in the order in which the jobs were first booked here. */
    public Collection<BookingGroup> groups() {
        return Collections.unmodifiableCollection(groups.values());
    }

    /** Whether the stop of any booked task was requested. */
    public boolean hasStopRequests() {
        for (BookingGroup group : groups.values()) {
            if (group.job().isEvicted() || group.stoppedCount() > 0) {
                return true;
            }
            for (Booking booking : group.present()) {
                if (booking.isStopRequested()) {
                    return true;
                }
            }
        }
        return false;
    }

    /** Adds a booking and returns its group. */
    BookingGroup add(Booking booking, OperationCounter operations) {
        BookingGroup group = groups.computeIfAbsent(
                booking.job().spec().id(), id -> new BookingGroup(booking.job(), booking.machine(), operations));
        group.add(booking);
        size++;
        return group;
    }

    /** Removes a booking; returns whether it was here. */
    boolean remove(Booking booking) {
        BookingGroup group = booking.group();
        if (!group.remove(booking)) {
            return false;
        }
        size--;
        if (group.size() == 0) {
            groups.remove(group.spec().id(), group);
        }
        return true;
    }
}
