package org.weldcourse.placement;

import java.util.Collections;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * The machines that a job's tasks failed on. Such a machine is excluded for a while only, since there may be no other
 * one to be had; for longer with each further failure there.
 */
public final class MachineExclusions {
    /** How long a machine is excluded after the first failure. */
    static final long FIRST_EXCLUSION_MICROS = 60_000_000;

    /** The most that a machine is excluded after a failure. */
    static final long MAX_EXCLUSION_MICROS = 8 * FIRST_EXCLUSION_MICROS;

    private final Map<String, Exclusion> exclusions = new HashMap<>();

    private record Exclusion(long lengthMicros, long untilMicros) {
        static Exclusion after(Exclusion earlier, long nowMicros) {
            long lengthMicros =
                    earlier == null ? FIRST_EXCLUSION_MICROS : Math.min(MAX_EXCLUSION_MICROS, 2 * earlier.lengthMicros);
            return new Exclusion(lengthMicros, nowMicros + lengthMicros);
        }

        boolean isActive(long nowMicros) {
            return nowMicros < untilMicros;
        }
    }

    /** Excludes a machine after a failure there; a further failure of a task that ran already changes nothing. */
    public void add(String machine, long nowMicros) {
        exclusions.compute(
                machine,
                (name, earlier) ->
                        earlier != null && earlier.isActive(nowMicros) ? earlier : Exclusion.after(earlier, nowMicros));
    }

    /** Returns the names of the machines that are excluded now. */
    public Set<String> machinesAt(long nowMicros) {
        if (exclusions.isEmpty()) {
            return Set.of();
        }
        return exclusions.entrySet().stream()
                .filter(entry -> entry.getValue().isActive(nowMicros))
                .map(Map.Entry::getKey)
                .collect(Collectors.toUnmodifiableSet());
    }

    /** Returns the names of the machines with failures, excluded or not. */
    public Set<String> failedMachines() {
        return Collections.unmodifiableSet(exclusions.keySet());
    }
}
