package org.weldcourse.jobs;

import org.HdrHistogram.Histogram;

/** Latency of user requests and number of refused requests, for the log. */
public final class RequestMetrics {
    private static final long MAX_MICROS = 60_000_000;
    private static final int SIGNIFICANT_DIGITS = 2;

    /** Created with the first request, because its allocation would delay the start of the process. */
    private Histogram latencyMicros;

    private long refused;

    void recordResponse(int status, long elapsedMicros) {
        if (latencyMicros == null) {
            latencyMicros = new Histogram(1, MAX_MICROS, SIGNIFICANT_DIGITS);
        }
        latencyMicros.recordValue(Math.max(1, Math.min(MAX_MICROS, elapsedMicros)));
        refused += status == 429 || status >= 500 ? 1 : 0;
    }

    public boolean isEmpty() {
        return latencyMicros == null || latencyMicros.getTotalCount() == 0;
    }

    /**
     * Summarizes the requests since the last call in one line, and resets the counts. There must be at least one
     * request.
     */
    public String summarizeAndReset() {
        String line = latencyMicros.getTotalCount() + " user requests, latency p50 " + latencyMillis(50) + " ms, p99 "
                + latencyMillis(99) + " ms, " + refused + " refused";
        latencyMicros.reset();
        refused = 0;
        return line;
    }

    /** The latency at a percentile in milliseconds, with one decimal. */
    private double latencyMillis(double percentile) {
        return latencyMicros.getValueAtPercentile(percentile) / 100 / 10.0;
    }
}
