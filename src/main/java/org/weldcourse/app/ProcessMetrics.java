package org.weldcourse.app;

/** Load of the process, for the log: how late its background tasks begin, its processor time, its heap. */
final class ProcessMetrics {
    private static final long MEGABYTE = 1024 * 1024;

    private long maxLateMicros;

    /** A background task began so many microseconds later than due. */
    void recordLateness(long micros) {
        maxLateMicros = Math.max(maxLateMicros, micros);
    }

    /** One line about the time since the last call. */
    String summarizeAndReset() {
        Runtime runtime = Runtime.getRuntime();
        String processor = ProcessHandle.current()
                .info()
                .totalCpuDuration()
                .map(used -> "processor " + used.toMillis() / 1_000.0 + " s since the start, ")
                .orElse("");
        String line = processor + "late by " + maxLateMicros / 1_000 + " ms at most, heap "
                + (runtime.totalMemory() - runtime.freeMemory()) / MEGABYTE + " of " + runtime.maxMemory() / MEGABYTE
                + " MB";
        maxLateMicros = 0;
        return line;
    }
}
