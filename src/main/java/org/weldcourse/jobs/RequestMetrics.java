package org.weldcourse.jobs;

import org.HdrHistogram.Histogram;

/** How long users waited for answers and how many were told to try again, for the log. */
public final class RequestMetrics {
    private static final long MAX_MICROS = 60_000_000;
    private static final int SIGNIFICANT_DIGITS = 2;

    /** Made for the first request: a start should not have to wait for it. */
    private Histogram latencyMicros;

    private long refused;

    void answered(int status, long tookMicros) {
        if (latencyMicros == null) {
            latencyMicros = new Histogram(1, MAX_MICROS, SIGNIFICANT_DIGITS);
        }
        latencyMicros.recordValue(Math.max(1, Math.min(MAX_MICROS, tookMicros)));
        refused += status == 429 || status >= 500 ? 1 : 0;
    }

    public boolean isEmpty() {
        return latencyMicros == null || latencyMicros.getTotalCount() == 0;
    }

    /** One line about the requests since the last call, of which there is at least one; counting begins anew. */
    public String summarizeAndReset() {
        String line = latencyMicros.getTotalCount() + " user requests, latency p50 " + millis(50) + " ms, p99 "
                + millis(99) + " ms, " + refused + " refused";
        latencyMicros.reset();
        refused = 0;
        return line;
    }

    /** In tenths of a millisecond. */
    private double millis(double percentile) {
        return latencyMicros.getValueAtPercentile(percentile) / 100 / 10.0;
    }
}
