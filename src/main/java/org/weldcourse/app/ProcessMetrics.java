package org.weldcourse.app;

/** What a controller's small machine has to bear, for the log: how late its routines come, its processor time, its heap. */
final class ProcessMetrics {
    private static final long MEGABYTE = 1024 * 1024;

    private long mostLateMicros;

    void late(long micros) {
        mostLateMicros = Math.max(mostLateMicros, micros);
    }

    /** One line about the time since the last call. */
    String take() {
        Runtime runtime = Runtime.getRuntime();
        String processor = ProcessHandle.current()
                .info()
                .totalCpuDuration()
                .map(used -> "processor " + used.toMillis() / 1_000.0 + " s since the start, ")
                .orElse("");
        String line = processor + "late by " + mostLateMicros / 1_000 + " ms at most, heap "
                + (runtime.totalMemory() - runtime.freeMemory()) / MEGABYTE + " of " + runtime.maxMemory() / MEGABYTE
                + " MB";
        mostLateMicros = 0;
        return line;
    }
}
