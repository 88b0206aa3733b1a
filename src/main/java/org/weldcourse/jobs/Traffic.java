package org.weldcourse.jobs;

import java.util.Locale;
import org.HdrHistogram.Histogram;

/** How long users' requests took and how many were refused, for the log. */
public final class Traffic {
    private static final long MOST_MICROS = 60_000_000;

    private final Histogram micros = new Histogram(1, MOST_MICROS, 2);
    private long refused;

    void answered(int status, long tookMicros) {
        micros.recordValue(Math.max(1, Math.min(MOST_MICROS, tookMicros)));
        refused += status == 429 || status >= 500 ? 1 : 0;
    }

    public boolean isEmpty() {
        return micros.getTotalCount() == 0;
    }

    /** One line about the time since the last call; counting begins anew. */
    public String take() {
        String line = String.format(Locale.ROOT, "%d requests of users, p50 %.1f ms, p99 %.1f ms, %d refused",
                micros.getTotalCount(), micros.getValueAtPercentile(50) / 1e3, micros.getValueAtPercentile(99) / 1e3,
                refused);
        micros.reset();
        refused = 0;
        return line;
    }
}
