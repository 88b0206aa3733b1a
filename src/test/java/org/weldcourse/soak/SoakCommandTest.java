package org.weldcourse.soak;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.EnumSet;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards the validation of the command's options and the mapping from a seed to its schedule of faults. */
class SoakCommandTest {
    @ParameterizedTest
    @ValueSource(
            strings = {
                "",
                "--seeds",
                "--seeds=",
                "--seeds=5-1",
                "--seeds=1-2-3",
                "--seeds=one",
                "--seeds=1 --controllers=0",
                "--seeds=1 --machines=-3",
                "--seeds=1 --faults=EARTHQUAKE",
                "--seeds=1 --parallel=16 --controllers=9 --machines=400",
                "--seeds=1 --operators=missing.xml",
                "--seeds=1 --unknown"
            })
    void invalidOptionsPrintOneLineAndExitWithBadOptions(String arguments) {
        PrintStream originalErr = System.err;
        ByteArrayOutputStream captured = new ByteArrayOutputStream();
        System.setErr(new PrintStream(captured, true, StandardCharsets.UTF_8));
        try {
            assertEquals(
                    SoakCommand.BAD_OPTIONS,
                    SoakCommand.run(arguments.isEmpty() ? new String[0] : arguments.split(" ")));
        } finally {
            System.setErr(originalErr);
        }
        String text = captured.toString(StandardCharsets.UTF_8);
        assertTrue(text.startsWith("soak: "), text);
        assertEquals(1, text.lines().count(), text);
    }

    @Test
    void equalSeedsGenerateEqualSchedules() {
        Set<SoakFault> all = EnumSet.allOf(SoakFault.class);
        assertEquals(FaultSchedule.generate(7, all, 60_000), FaultSchedule.generate(7, all, 60_000));
        assertNotEquals(FaultSchedule.generate(7, all, 60_000), FaultSchedule.generate(8, all, 60_000));
    }

    @Test
    void faultsOverlapMostOfTheTime() {
        FaultSchedule schedule = FaultSchedule.generate(1, EnumSet.allOf(SoakFault.class), 600_000);
        long sumMillis = schedule.events().stream()
                .mapToLong(FaultSchedule.Event::durationMillis)
                .sum();
        assertTrue(sumMillis > 2 * 600_000, sumMillis + " ms");
    }
}
