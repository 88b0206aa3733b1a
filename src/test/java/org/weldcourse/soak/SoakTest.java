package org.weldcourse.soak;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import java.util.EnumSet;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** One short soak run of what was packaged, with limits of settings; the long ones are a command of their own. */
class SoakTest {
    private static final long SEED = 2_912;
    private static final long FAULT_MILLIS = 30_000;
    private static final int LEAST_STARTS = 20;

    @TempDir
    private Path directory;

    @Test
    void noRuleBreaksUnderFaultsThatOverlap() throws Exception {
        SoakSettings settings = new SoakSettings(3, 12, EnumSet.allOf(SoakFault.class), FAULT_MILLIS, null, directory);
        System.out.println("soak seed " + SEED + ": " + FaultSchedule.of(SEED, settings.faults(), FAULT_MILLIS));
        SoakReport report = new SoakRun(SEED, settings).play();
        System.out.println(report);
        assertNull(report.failure(), report.toString());
        assertTrue(report.starts() > LEAST_STARTS, report.toString());
        assertEquals(SEED, report.seed());
    }
}
