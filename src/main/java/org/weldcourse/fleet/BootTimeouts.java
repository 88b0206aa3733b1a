package org.weldcourse.fleet;

import org.weldcourse.cluster.Machine;

/** How long a launched machine is waited for, in step with the usual boot time of its type. */
final class BootTimeouts {
    /** A machine is charged for a minute at least; a little less, so that it is deleted before the next second. */
    static final long MIN_BILLED_MICROS = 58_000_000;

    private BootTimeouts() {}

    /** Later than nearly all machines come up: another is launched in its place if the work still waits. */
    static boolean isBootOverdue(Machine machine, long nowMicros) {
        return machine.type != null && nowMicros - machine.rentedMicros > machine.type.bootMicros() * 8 / 5 + 5_000_000;
    }

    /** Later than is worth paying for: it is deleted. */
    static boolean isBootTimedOut(Machine machine, long nowMicros) {
        return machine.type != null
                && nowMicros - machine.rentedMicros
                        > Math.max(MIN_BILLED_MICROS, machine.type.bootMicros() * 5 / 2 + 10_000_000);
    }
}
