package org.weldcourse.fleet;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.weldcourse.cluster.ClusterState;
import org.weldcourse.cluster.Machine;
import org.weldcourse.runtime.Clock;
import org.weldcourse.runtime.ScheduledTask;

/**
 * Reconciles the cloud's machine list with the leader's state. The list is eventually consistent: launched machines may
 * be missing from it and deleted ones may still be on it.
 */
final class MachineInventory {
    private static final long REFRESH_MICROS = 6_000_000;

    private final ClusterState cluster;
    private final CloudClient cloud;
    private final MachineTypeCatalog types;
    private final Clock clock;
    private final ScheduledTask autoscaler;
    /** Machines whose deletion is confirmed; outdated lists and delayed heartbeats may still mention them. */
    private final Set<String> deleted = new HashSet<>();

    private long nextRefreshMicros;
    private boolean refreshInFlight;
    private boolean hasReceivedList;

    /** Creates an inventory that wakes the autoscaler after each list and ignores lists received after the term. */
    MachineInventory(
            ClusterState cluster, CloudClient cloud, MachineTypeCatalog types, Clock clock, ScheduledTask autoscaler) {
        this.cluster = cluster;
        this.cloud = cloud;
        this.types = types;
        this.clock = clock;
        this.autoscaler = autoscaler;
    }

    /** Returns whether a list has been received in this term. */
    boolean hasReceivedList() {
        return hasReceivedList;
    }

    boolean isDeleted(String machine) {
        return deleted.contains(machine);
    }

    /** Returns whether to fetch the list now: periodically, and at once if a machine of unknown type is running. */
    boolean isRefreshDue(long nowMicros) {
        for (Machine machine : cluster.machines.values()) {
            if (machine.type == null && machine.isUp()) {
                nextRefreshMicros = Math.min(nextRefreshMicros, nowMicros);
            }
        }
        return nowMicros >= nextRefreshMicros && !refreshInFlight;
    }

    /** Fetches the list and updates the leader's state from it. */
    void refresh(long nowMicros) {
        refreshInFlight = true;
        nextRefreshMicros = nowMicros + REFRESH_MICROS;
        cloud.list(list -> {
            refreshInFlight = false;
            if (!list.outcome().ok() || !autoscaler.isRunning()) {
                return;
            }
            hasReceivedList = true;
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

    /** Records machines that were just launched. */
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

    /** Records machines whose deletion is confirmed; no task runs on them any more. */
    void recordDeleted(List<String> machines) {
        List<Machine> removed = new ArrayList<>();
        for (String name : machines) {
            Machine machine = cluster.machines.get(name);
            if (machine != null) {
                deleted.add(name);
                removed.add(machine);
            }
        }
        cluster.removeMachines(removed, clock.nowMicros());
    }
}
