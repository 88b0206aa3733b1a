package org.weldcourse.app;

import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Readings of the process's own use. */
class ProcessMetricsTest {
    @Test
    void tellsTheWorstSinceItWasLastAsked() {
        ProcessMetrics strain = new ProcessMetrics();
        strain.late(20_000);
        strain.late(350_000);
        strain.late(1_000);
        assertTrue(strain.take().contains("late by 350 ms at most"));
        String next = strain.take();
        assertTrue(next.contains("late by 0 ms at most"), next);
        assertTrue(next.contains(" of " + Runtime.getRuntime().maxMemory() / (1024 * 1024) + " MB"), next);
    }
}
