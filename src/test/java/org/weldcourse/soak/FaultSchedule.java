package org.weldcourse.soak;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.Set;

/** The faults of a run, generated from the seed and the settings, whatever the state of the cluster. */
record FaultSchedule(List<Event> events) {
    private static final long MIN_GAP_MILLIS = 1_000;
    private static final int GAP_SPREAD_MILLIS = 3_500;
    private static final long MIN_DURATION_MILLIS = 500;
    private static final int DURATION_SPREAD_MILLIS = 13_000;

    /**
     * One fault of the schedule.
     *
     * @param startMillis the start, counted from the start of the first fault
     * @param selector a random number that selects the targets of the fault, and the delay of a slow store
     */
    record Event(SoakFault fault, long startMillis, long durationMillis, int selector) {
        @Override
        public String toString() {
            return String.format(
                    "%.1f s: %s for %.1f s (%d)", startMillis / 1e3, fault, durationMillis / 1e3, selector);
        }
    }

    /**
     * Generates the schedule of a seed. Faults last longer than the gaps between them, so that two or three overlap
     * most of the time.
     */
    static FaultSchedule generate(long seed, Set<SoakFault> enabledFaults, long totalMillis) {
        Random random = new Random(seed);
        List<SoakFault> faults = new ArrayList<>(enabledFaults);
        List<Event> events = new ArrayList<>();
        for (long startMillis = 0; startMillis < totalMillis; ) {
            events.add(new Event(
                    faults.get(random.nextInt(faults.size())),
                    startMillis,
                    MIN_DURATION_MILLIS + random.nextInt(DURATION_SPREAD_MILLIS),
                    random.nextInt(1 << 20)));
            startMillis += MIN_GAP_MILLIS + random.nextInt(GAP_SPREAD_MILLIS);
        }
        return new FaultSchedule(List.copyOf(events));
    }
}
