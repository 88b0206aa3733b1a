package org.weldcourse.fleet;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.weldcourse.cluster.ClusterState;
import org.weldcourse.cluster.Machine;
import org.weldcourse.runtime.Clock;
import org.weldcourse.runtime.ScheduledTask;

/**
 * The cloud's machine list, reconciled with the machines that the leader knows of. The list lags: a machine that was
 * launched may be missing, and one that was deleted may still be listed.
 */
final class MachineInventory {
    private static final long REFRESH_MICROS = 6_000_000;

    private final ClusterState cluster;
    private final CloudClient cloud;
    private final MachineTypeCatalog types;
    private final Clock clock;
    private final ScheduledTask autoscaler;
    /** Machines whose deletion was confirmed: the lagging list and late heartbeats still name them for a while. */
    private final Set<String> deleted = new HashSet<>();

    private long nextRefreshMicros;
    private boolean refreshInFlight;
    private boolean hasListed;

    /** An inventory that wakes the autoscaler once a list came, and does nothing more when its term is over. */
    MachineInventory(
            ClusterState cluster, CloudClient cloud, MachineTypeCatalog types, Clock clock, ScheduledTask autoscaler) {
        this.cluster = cluster;
        this.cloud = cloud;
        this.types = types;
        this.clock = clock;
        this.autoscaler = autoscaler;
    }

    /** Whether a list has come in this term. */
    boolean hasListed() {
        return hasListed;
    }

    boolean isDeleted(String machine) {
        return deleted.contains(machine);
    }

    /** Whether to list now: from time to time, and at once when a machine of unknown type sends heartbeats. */
    boolean isRefreshDue(long nowMicros) {
        for (Machine machine : cluster.machines.values()) {
            if (machine.type == null && machine.isUp()) {
                nextRefreshMicros = Math.min(nextRefreshMicros, nowMicros);
            }
        }
        return nowMicros >= nextRefreshMicros && !refreshInFlight;
    }

    /** Asks for the list; what it shows is taken over when it comes. */
    void refresh(long nowMicros) {
        refreshInFlight = true;
        nextRefreshMicros = nowMicros + REFRESH_MICROS;
        cloud.list(list -> {
            refreshInFlight = false;
            if (!list.outcome().ok() || !autoscaler.isRunning()) {
                return;
            }
            hasListed = true;
            for (CloudClient.ListedMachine listed : list.machines()) {
                reconcile(listed, clock.nowMicros());
            }
            autoscaler.wakeIn(0);
        });
    }

    private void reconcile(CloudClient.ListedMachine listed, long nowMicros) {
        if (isDeleted(listed.name()) && !cluster.machines.containsKey(listed.name())) {
            return;
        }
        long launchedMicros = nowMicros - listed.ageMicros();
        Machine machine = cluster.getOrAddMachine(listed.name(), launchedMicros);
        setOffering(machine, listed.offering());
        machine.rentedMicros = Math.min(machine.rentedMicros, launchedMicros);
        machine.reportedFailed |= listed.failed();
        machine.starting = listed.starting();
    }

    /** Takes note of machines that were launched now. */
    void recordLaunched(List<String> machines, Offering offering, long nowMicros) {
        for (String name : machines) {
            Machine machine = cluster.getOrAddMachine(name, nowMicros);
            setOffering(machine, offering);
            machine.starting = true;
        }
    }

    private void setOffering(Machine machine, Offering offering) {
        machine.type = types.byName(offering.type()).orElse(null);
        machine.zone = offering.zone();
        machine.spot = offering.spot();
    }

    /** Takes note of machines that the cloud deleted: nothing runs on them any more. */
    void recordDeleted(List<String> machines) {
        for (String name : machines) {
            Machine machine = cluster.machines.get(name);
            if (machine != null) {
                deleted.add(name);
                cluster.removeMachine(machine, clock.nowMicros());
            }
        }
    }
}
