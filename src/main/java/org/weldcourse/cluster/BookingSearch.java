package org.weldcourse.cluster;

import java.util.Iterator;
import java.util.NoSuchElementException;

/** Goes over bookings that are looked up one by one, each when it is asked for. */
public abstract class BookingSearch implements Iterator<Booking> {
    private Booking next;

    /** Finds the next booking, or returns null if there is none now. */
    protected abstract Booking find();

    @Override
    public final boolean hasNext() {
        if (next == null) {
            next = find();
        }
        return next != null;
    }

    @Override
    public final Booking next() {
        if (!hasNext()) {
            throw new NoSuchElementException();
        }
        Booking found = next;
        next = null;
        return found;
    }
}
