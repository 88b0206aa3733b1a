package org.weldcourse.soak;

import java.nio.file.Path;
import java.util.Map;
import java.util.TreeMap;
import org.weldcourse.simulation.NetworkFaults;

/** The result of one run; {@code failure} is null when the run passed. */
record SoakReport(
        long seed,
        Throwable failure,
        int submitted,
        int accepted,
        int answers,
        int starts,
        Map<SoakFault, Integer> faults,
        Map<NetworkFaults.Effect, Integer> effects,
        Path directory) {
    boolean isPassed() {
        return failure == null;
    }

    @Override
    public String toString() {
        String verdict = isPassed() ? "PASS" : "FAIL (" + failure + "; logs in " + directory + ")";
        return "seed " + seed + ": " + verdict + "; " + submitted + " jobs submitted, " + accepted + " accepted, "
                + answers + " answers, " + starts + " starts; faults " + new TreeMap<>(faults) + "; effects "
                + new TreeMap<>(effects);
    }
}
