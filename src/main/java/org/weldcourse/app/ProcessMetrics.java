package org.weldcourse.app;

/** Measures the load of the process for the log: the delay of its background tasks, its CPU time and its heap. */
final class ProcessMetrics {
    private static final long BYTES_PER_MEGABYTE = 1024 * 1024;

    private long maxLatenessMicros;

    /** Records how much later than due a background task started. */
    void recordLateness(long micros) {
        maxLatenessMicros = Math.max(maxLatenessMicros, micros);
    }

    /** Describes the load in one line and resets the greatest delay. */
    String summarizeAndReset() {
        Runtime runtime = Runtime.getRuntime();
        String cpuTime = ProcessHandle.current()
                .info()
                .totalCpuDuration()
                .map(used -> "CPU time " + used.toMillis() / 1_000.0 + " s since start, ")
                .orElse("");
        String line = cpuTime + "background tasks late by " + maxLatenessMicros / 1_000 + " ms at most, heap "
                + (runtime.totalMemory() - runtime.freeMemory()) / BYTES_PER_MEGABYTE + " of "
                + runtime.maxMemory() / BYTES_PER_MEGABYTE
                + " MB";
        maxLatenessMicros = 0;
        return line;
    }
}
