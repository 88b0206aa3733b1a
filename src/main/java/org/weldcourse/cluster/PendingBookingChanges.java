package org.weldcourse.cluster;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Iterator;
import java.util.function.Consumer;

/** Changes of bookings that may be too many for one event. They are made in parts, in the order in which they came. */
final class PendingBookingChanges {
    /** The most bookings that are changed in one event. */
    static final int MAX_CHANGES_PER_PART = 1_000;

    private final Deque<Batch> batches = new ArrayDeque<>();

    /**
     * Bookings to change in the same way.
     *
     * @param bookings the bookings, each of which is asked for when it is to be changed
     */
    private record Batch(Iterator<Booking> bookings, Consumer<Booking> change, Runnable whenChanged) {
        /**
         * Makes up to {@code max} changes and returns how many; fewer if they were the last. A booking that is not changed
         * now is not asked for either: until the next event it may have changed otherwise.
         */
        int makeUpTo(int max) {
            for (int made = 0; made < max; made++) {
                if (!bookings.hasNext()) {
                    whenChanged.run();
                    return made;
                }
                change.accept(bookings.next());
            }
            return max;
        }
    }

    boolean isEmpty() {
        return batches.isEmpty();
    }

    /** Makes as many of these changes as one event may, and keeps the rest for {@link #makePart}. */
    void make(Iterator<Booking> bookings, Consumer<Booking> change, Runnable whenChanged) {
        Batch batch = new Batch(bookings, change, whenChanged);
        if (batch.makeUpTo(MAX_CHANGES_PER_PART) == MAX_CHANGES_PER_PART) {
            batches.add(batch);
        }
    }

    /** Makes the next part of the changes that are left. */
    void makePart() {
        int left = MAX_CHANGES_PER_PART;
        while (left > 0 && !batches.isEmpty()) {
            int made = batches.peek().makeUpTo(left);
            if (made < left) {
                batches.remove();
            }
            left -= made;
        }
    }
}
