package org.weldcourse.soak;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import java.util.EnumSet;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** A short soak run of the packaged program, with team limits from its settings. Long runs use {@link SoakCommand}. */
class SoakTest {
    private static final long SEED = 2_912;
    private static final long FAULT_MILLIS = 30_000;
    private static final int MIN_STARTS = 20;

    @TempDir
    private Path directory;

    @Test
    void invariantsHoldUnderOverlappingFaults() throws Exception {
        SoakSettings settings = new SoakSettings(3, 12, EnumSet.allOf(SoakFault.class), FAULT_MILLIS, null, directory);
        System.out.println("soak seed " + SEED + ": " + FaultSchedule.generate(SEED, settings.faults(), FAULT_MILLIS));
        SoakReport report = new SoakRun(SEED, settings).execute();
        System.out.println(report);
        assertNull(report.failure(), report.toString());
        assertTrue(report.starts() > MIN_STARTS, report.toString());
        assertEquals(SEED, report.seed());
    }
}
