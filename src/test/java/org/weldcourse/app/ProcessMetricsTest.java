package org.weldcourse.app;

import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Guards against a load summary that omits or repeats an earlier maximum lateness of background tasks. */
class ProcessMetricsTest {
    @Test
    void summaryReportsTheMaximumSinceThePreviousSummary() {
        ProcessMetrics metrics = new ProcessMetrics();
        metrics.recordLateness(20_000);
        metrics.recordLateness(350_000);
        metrics.recordLateness(1_000);
        assertTrue(metrics.summarizeAndReset().contains("late by 350 ms at most"));
        String next = metrics.summarizeAndReset();
        assertTrue(next.contains("late by 0 ms at most"), next);
        assertTrue(next.contains(" of " + Runtime.getRuntime().maxMemory() / (1024 * 1024) + " MB"), next);
    }
}
