package org.weldcourse.fleet;

import java.util.Map;

/** Remaining capacity of a host during planning: slots for gang tasks and replicas, CPU time for array tasks. */
final class HostSupply {
    /** Share of a machine's time that is available for tasks, after image fetches and gaps. */
    private static final double EFFICIENCY = 0.95;

    private final HostCapacity host;
    private double slotCpus;
    private double usedCpuMicros;
    private double serviceCpus;

    /** Creates the supply of a host. Only booting hosts have slots, as admission found no free ones on the others. */
    HostSupply(HostCapacity host) {
        this.host = host;
        this.serviceCpus = host.serviceCpus();
        this.slotCpus = host.booting() ? host.type().cpus() : 0;
        this.usedCpuMicros = host.remainingCpuMicros();
    }

    String zone() {
        return host.zone();
    }

    boolean isBooting() {
        return host.booting();
    }

    /** Returns whether tasks of the demand may run on the host, whatever else runs there. */
    boolean allows(CapacityDemand demand) {
        return demand.constraints().allows(host);
    }

    /** Returns how many tasks of a gang or service fit on the host. */
    int availableSlots(CapacityDemand demand) {
        if (slotCpus <= 0 || !allows(demand)) {
            return 0;
        }
        return (int) Math.min(
                host.type().tasksThatFit(demand.job()),
                Math.floor((slotCpus + MachineType.EPSILON) / demand.job().cpus()));
    }

    /**
     * Assigns slots to tasks of a gang or service, up to the job's limit per zone.
     *
     * @param plannedByZone the number of the demand's tasks assigned in each zone; updated with the assigned slots
     * @return the number of assigned slots
     */
    int assignSlots(CapacityDemand demand, int wanted, Map<String, Integer> plannedByZone) {
        int assigned =
                Math.min(Math.min(wanted, availableSlots(demand)), demand.remainingInZone(zone(), plannedByZone));
        if (assigned <= 0) {
            return 0;
        }
        plannedByZone.merge(zone(), assigned, Integer::sum);
        slotCpus -= assigned * demand.job().cpus();
        if (demand.job().isService()) {
            serviceCpus += assigned * demand.job().cpus();
        } else {
            usedCpuMicros += (double) assigned * demand.job().cpus() * demand.runMicros();
        }
        return assigned;
    }

    /** Returns the work on array tasks that the host can finish by the deadline, in CPU-microseconds. */
    double availableWork(CapacityDemand demand, long deadlineMicros) {
        // A booting machine must fetch the image first. Tasks can't be split, so the number of runs is rounded down.
        long fetchMicros = host.booting() ? demand.fetchMicros(host.type()) : 0;
        long runs =
                (deadlineMicros - host.availableAtMicros() - fetchMicros) / (demand.runMicros() + demand.gapMicros());
        if (!allows(demand) || runs <= 0) {
            return 0;
        }
        double totalCpuMicros = EFFICIENCY
                * Math.max(0, 1 - serviceCpus / host.type().cpus())
                * (1 - host.higherPriorityShares()[demand.job().priority().ordinal()])
                * host.type().tasksThatFit(demand.job())
                * demand.job().cpus()
                * runs
                * demand.runMicros();
        return Math.max(0, totalCpuMicros - usedCpuMicros);
    }

    /** Assigns as much of an array's work as the host can finish by the deadline; returns it in CPU-microseconds. */
    double assignWork(CapacityDemand demand, double wanted, long deadlineMicros) {
        double assigned = Math.min(wanted, availableWork(demand, deadlineMicros));
        usedCpuMicros += assigned;
        return assigned;
    }
}
