package org.weldcourse.fleet;

import org.weldcourse.cluster.Machine;

/** Timeouts for booting machines, derived from the usual boot time of the machine type. */
final class BootTimeouts {
    /** The minimum billing time of one minute, less 2 s so that a deletion takes effect before the minute ends. */
    static final long MIN_BILLED_MICROS = 58_000_000;

    private BootTimeouts() {}

    /** Whether the machine takes longer to boot than nearly all do; waiting work then gets a replacement. */
    static boolean isBootOverdue(Machine machine, long nowMicros) {
        return machine.type != null && nowMicros - machine.rentedMicros > machine.type.bootMicros() * 8 / 5 + 5_000_000;
    }

    /** Whether the machine has not booted within the time worth paying for; it is then deleted. */
    static boolean isBootTimedOut(Machine machine, long nowMicros) {
        return machine.type != null
                && nowMicros - machine.rentedMicros
                        > Math.max(MIN_BILLED_MICROS, machine.type.bootMicros() * 5 / 2 + 10_000_000);
    }
}
