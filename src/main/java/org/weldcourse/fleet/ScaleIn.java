package org.weldcourse.fleet;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.weldcourse.cluster.ClusterState;
import org.weldcourse.cluster.Machine;
import org.weldcourse.runtime.ScheduledTask;
import org.weldcourse.store.RateLimiter;

/** Deletes the machines that {@link ScaleInPolicy} selects and surplus idle ones, the most expensive first. */
final class ScaleIn {
    private static final Logger LOG = LoggerFactory.getLogger(ScaleIn.class);

    private final ClusterState cluster;
    private final CloudClient cloud;
    private final MachineInventory inventory;
    private final WarmPools warmPools;
    private final ScaleInPolicy policy;
    private final long spotIdleMicros;
    private final RateLimiter callLimiter;
    private final Autoscaler.Term term;
    private final ScheduledTask autoscaler;
    private boolean requestInFlight;

    /** Creates the scale-in of a term; {@code spotIdleMicros} is the idle time allowed for spot machines. */
    ScaleIn(
            ClusterState cluster,
            CloudClient cloud,
            MachineInventory inventory,
            WarmPools warmPools,
            ScaleInPolicy policy,
            long spotIdleMicros,
            RateLimiter callLimiter,
            Autoscaler.Term term,
            ScheduledTask autoscaler) {
        this.cluster = cluster;
        this.cloud = cloud;
        this.inventory = inventory;
        this.warmPools = warmPools;
        this.policy = policy;
        this.spotIdleMicros = spotIdleMicros;
        this.callLimiter = callLimiter;
        this.term = term;
        this.autoscaler = autoscaler;
    }

    /** Requests the deletion of unneeded machines unless a request is in flight; reserved idle machines are kept. */
    void step(Set<String> reserved, long nowMicros) {
        if (requestInFlight) {
            return;
        }
        List<String> names = selectMachines(reserved, nowMicros);
        if (names.isEmpty() || !callLimiter.tryAcquire(1)) {
            return;
        }
        requestInFlight = true;
        names.forEach(name -> cluster.machines.get(name).deleting = true);
        cloud.delete(names, outcome -> {
            requestInFlight = false;
            if (!autoscaler.isRunning() || !outcome.ok()) {
                return;
            }
            inventory.recordDeleted(names);
            term.machinesDeleted();
            autoscaler.wakeIn(0);
        });
    }

    private List<String> selectMachines(Set<String> reserved, long nowMicros) {
        policy.assessCluster(nowMicros);
        WarmPools.Surplus surplus = warmPools.surplus(nowMicros);
        List<Machine> mostExpensiveFirst = new ArrayList<>(cluster.machines.values());
        mostExpensiveFirst.sort(
                Comparator.comparingDouble(ScaleIn::pricePerCpuHour).reversed().thenComparing(machine -> machine.name));
        List<String> names = new ArrayList<>();
        for (Machine machine : mostExpensiveFirst) {
            Optional<ScaleInReason> reason = policy.reason(machine, nowMicros);
            if (reason.isEmpty() && isIdle(machine, reserved, nowMicros) && surplus.tryRemove(machine)) {
                reason = Optional.of(ScaleInReason.IDLE);
            }
            if (reason.isPresent() && names.size() < CloudClient.MAX_MACHINES_PER_DELETE) {
                if (!machine.deleting) {
                    LOG.info(
                            "scale in: deleting {} ({}): {}",
                            machine.name,
                            machine.type == null ? "?" : machine.type.name(),
                            reason.get().text());
                }
                names.add(machine.name);
            }
        }
        return names;
    }

    private static double pricePerCpuHour(Machine machine) {
        return machine.type == null ? 0 : machine.type.pricePerCpuHour(machine.spot);
    }

    /**
     * Returns whether the machine has been idle for about the time that it takes to replace it. Spot machines are
     * cheaper and are kept longer.
     */
    private boolean isIdle(Machine machine, Set<String> reserved, long nowMicros) {
        long idleMicros = machine.spot ? spotIdleMicros : spotIdleMicros / 3;
        return machine.isUp()
                && !reserved.contains(machine.name)
                && machine.bookings.isEmpty()
                && machine.unbookedTasks.isEmpty()
                && nowMicros - machine.idleSinceMicros >= idleMicros
                && nowMicros - machine.rentedMicros >= BootTimeouts.MIN_BILLED_MICROS;
    }
}
