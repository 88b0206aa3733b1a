package org.weldcourse.placement;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.Set;
import org.junit.jupiter.api.Test;

/** Guards against exclusions without an end. */
class MachineExclusionsTest {
    private static final long FIRST = MachineExclusions.FIRST_EXCLUSION_MICROS;

    private final MachineExclusions exclusions = new MachineExclusions();

    @Test
    void exclusionEnds() {
        exclusions.add("m-1", 0);
        assertEquals(Set.of("m-1"), exclusions.machinesAt(FIRST - 1));
        assertEquals(Set.of(), exclusions.machinesAt(FIRST));
    }

    @Test
    void failuresOfTasksThatRanAlreadyDoNotProlongIt() {
        exclusions.add("m-1", 0);
        exclusions.add("m-1", FIRST / 2);
        assertEquals(Set.of(), exclusions.machinesAt(FIRST));
    }

    @Test
    void eachFurtherFailureExcludesForLongerUpToTheMaximum() {
        long nowMicros = 0;
        for (long lengthMicros : new long[] {FIRST, 2 * FIRST, 4 * FIRST, 8 * FIRST, 8 * FIRST}) {
            exclusions.add("m-1", nowMicros);
            assertEquals(Set.of("m-1"), exclusions.machinesAt(nowMicros + lengthMicros - 1));
            nowMicros += lengthMicros;
            assertEquals(Set.of(), exclusions.machinesAt(nowMicros));
        }
    }

    @Test
    void machinesWithFailuresAreKnownAfterTheirExclusion() {
        exclusions.add("m-1", 0);
        exclusions.add("m-2", FIRST);
        assertEquals(Set.of("m-2"), exclusions.machinesAt(FIRST));
        assertEquals(Set.of("m-1", "m-2"), exclusions.failedMachines());
    }
}
