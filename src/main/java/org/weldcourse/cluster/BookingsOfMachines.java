package org.weldcourse.cluster;

import java.util.Iterator;

/** The bookings on removed machines, one after the other; each must be released before the next is asked for. */
final class BookingsOfMachines extends BookingSearch {
    private final Iterator<Machine> machines;
    private Machine machine;

    BookingsOfMachines(Iterator<Machine> machines) {
        this.machines = machines;
    }

    @Override
    protected Booking find() {
        while ((machine == null || machine.bookings.isEmpty()) && machines.hasNext()) {
            machine = machines.next();
        }
        return machine == null || machine.bookings.isEmpty()
                ? null
                : machine.bookings.groups().iterator().next().any();
    }
}
