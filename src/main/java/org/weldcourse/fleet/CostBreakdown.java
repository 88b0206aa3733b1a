package org.weldcourse.fleet;

import java.util.Collection;
import java.util.Locale;
import org.weldcourse.cluster.BookingGroup;
import org.weldcourse.cluster.Machine;

/** Machine costs during a term, by what the machines did, in the cloud's currency. */
public final class CostBreakdown {
    private static final double MICROS_PER_HOUR = 3600e6;

    private double booting;
    private double idle;
    private double preparing;
    private double running;
    private long lastAccrualMicros = -1;

    /** Attributes the cost since the previous call to the machines' current activities. */
    public void accrue(Collection<Machine> machines, long nowMicros) {
        double hours = lastAccrualMicros < 0 ? 0 : (nowMicros - lastAccrualMicros) / MICROS_PER_HOUR;
        lastAccrualMicros = nowMicros;
        for (Machine machine : machines) {
            if (machine.type == null || machine.reportedFailed) {
                continue;
            }
            double cost = machine.type.pricePerHour(machine.spot) * hours;
            if (!machine.isUp()) {
                booting += cost;
                continue;
            }
            double runningShare = 0;
            double preparingShare = 0;
            for (BookingGroup group : machine.bookings.groups()) {
                double share = group.spec().cpus() / machine.type.cpus();
                runningShare += share * group.runningCount();
                preparingShare += share * (group.size() - group.runningCount());
            }
            runningShare = Math.min(1, runningShare);
            preparingShare = Math.min(1 - runningShare, preparingShare);
            running += cost * runningShare;
            preparing += cost * preparingShare;
            idle += cost * (1 - runningShare - preparingShare);
        }
    }

    @Override
    public String toString() {
        return String.format(
                Locale.ROOT,
                "spent %.3f running, %.3f fetching or waiting to run, %.3f idle, %.3f booting",
                running,
                preparing,
                idle,
                booting);
    }
}
