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

/** What the command refuses, and that a seed stands for one schedule. */
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
    void badOptionsGetOneLineAndAnExitCode(String words) {
        PrintStream before = System.err;
        ByteArrayOutputStream said = new ByteArrayOutputStream();
        System.setErr(new PrintStream(said, true, StandardCharsets.UTF_8));
        try {
            assertEquals(SoakCommand.BAD_OPTIONS, SoakCommand.run(words.isEmpty() ? new String[0] : words.split(" ")));
        } finally {
            System.setErr(before);
        }
        String text = said.toString(StandardCharsets.UTF_8);
        assertTrue(text.startsWith("soak: "), text);
        assertEquals(1, text.lines().count(), text);
    }

    @Test
    void aSeedStandsForOneSchedule() {
        Set<SoakFault> all = EnumSet.allOf(SoakFault.class);
        assertEquals(FaultSchedule.of(7, all, 60_000), FaultSchedule.of(7, all, 60_000));
        assertNotEquals(FaultSchedule.of(7, all, 60_000), FaultSchedule.of(8, all, 60_000));
    }

    @Test
    void moreThanOneFaultIsUnderWayMostOfTheTime() {
        FaultSchedule schedule = FaultSchedule.of(1, EnumSet.allOf(SoakFault.class), 600_000);
        long sumMillis = schedule.events().stream()
                .mapToLong(FaultSchedule.Event::lengthMillis)
                .sum();
        assertTrue(sumMillis > 2 * 600_000, sumMillis + " ms");
    }
}
