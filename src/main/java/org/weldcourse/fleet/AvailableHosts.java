package org.weldcourse.fleet;

import java.util.ArrayList;
import java.util.List;
import org.weldcourse.cluster.BookingGroup;
import org.weldcourse.cluster.ClusterState;
import org.weldcourse.cluster.Machine;
import org.weldcourse.placement.Feasibility;

/** The machines that count as capacity: those that admission may book tasks on, now or once they have booted. */
final class AvailableHosts {
    /** Minimum assumed time until a booting machine is available, even if it is overdue. */
    private static final long MIN_REMAINING_BOOT_MICROS = 5_000_000;

    private AvailableHosts() {}

    /** Returns whether the machine counts as capacity. */
    static boolean includes(Machine machine, long nowMicros) {
        return machine.isSchedulable() || isBooting(machine, nowMicros);
    }

    private static boolean isBooting(Machine machine, long nowMicros) {
        return machine.type != null
                && !machine.isUp()
                && machine.condition() == Feasibility.NOT_REPORTED
                && !BootTimeouts.isBootOverdue(machine, nowMicros);
    }

    /** Returns the capacity of each machine that counts. */
    static List<HostCapacity> capacities(ClusterState cluster, WarmPools warmPools, long nowMicros) {
        List<HostCapacity> hosts = new ArrayList<>();
        for (Machine machine : cluster.machines.values()) {
            if (includes(machine, nowMicros)) {
                hosts.add(capacity(cluster, machine, warmPools.higherPriorityShares(machine), nowMicros));
            }
        }
        return hosts;
    }

    private static HostCapacity capacity(
            ClusterState cluster, Machine machine, double[] higherPriorityShares, long nowMicros) {
        boolean booting = isBooting(machine, nowMicros);
        long availableAtMicros = booting
                ? Math.max(nowMicros + MIN_REMAINING_BOOT_MICROS, machine.rentedMicros + machine.type.bootMicros())
                : nowMicros;
        double remainingCpuMicros = 0;
        double serviceCpus = 0;
        for (BookingGroup group : machine.bookings.groups()) {
            if (group.spec().isService()) {
                serviceCpus += group.spec().cpus() * group.size();
            } else {
                remainingCpuMicros += cluster.runTimes.remainingMicros(group, nowMicros)
                        * group.spec().cpus();
            }
        }
        return new HostCapacity(
                machine.name,
                machine.type,
                machine.zone,
                machine.spot,
                machine.reservedFor,
                booting,
                availableAtMicros,
                remainingCpuMicros,
                serviceCpus,
                higherPriorityShares);
    }
}
