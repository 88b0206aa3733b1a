package org.weldcourse.soak;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.Set;

/** Which faults come when, for how long and to whom: a function of the seed alone. */
record FaultSchedule(List<Event> events) {
    private static final long LEAST_GAP_MILLIS = 1_000;
    private static final int MORE_GAP_MILLIS = 3_500;
    private static final long LEAST_LENGTH_MILLIS = 500;
    private static final int MORE_LENGTH_MILLIS = 13_000;

    /** One fault. {@code choice} picks its targets among those that there are. */
    record Event(SoakFault fault, long atMillis, long lengthMillis, int choice) {
        @Override
        public String toString() {
            return String.format("%.1f s: %s for %.1f s (%d)", atMillis / 1e3, fault, lengthMillis / 1e3, choice);
        }
    }

    /** Two or three faults overlap most of the time, since they last longer than the gaps between them. */
    static FaultSchedule of(long seed, Set<SoakFault> among, long lengthMillis) {
        Random random = new Random(seed);
        List<SoakFault> faults = new ArrayList<>(among);
        List<Event> events = new ArrayList<>();
        for (long atMillis = 0; atMillis < lengthMillis; ) {
            events.add(new Event(
                    faults.get(random.nextInt(faults.size())),
                    atMillis,
                    LEAST_LENGTH_MILLIS + random.nextInt(MORE_LENGTH_MILLIS),
                    random.nextInt(1 << 20)));
            atMillis += LEAST_GAP_MILLIS + random.nextInt(MORE_GAP_MILLIS);
        }
        return new FaultSchedule(List.copyOf(events));
    }
}
