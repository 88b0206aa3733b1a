package org.weldcourse.fleet;

import java.util.Map;
import org.weldcourse.jobs.JobSpec;

/** What is left of a host as the plan assigns demand to it: whole slots for gangs and replicas, work for arrays. */
final class HostSupply {
    /** The part of a machine's time that work really gets, after fetches and gaps. */
    private static final double EFFICIENCY = 0.95;

    private final HostCapacity host;
    private double slotCpus;
    private double usedCpuMicros;
    private double serviceCpus;

    /** All that the host has to give. Only one that is booting has slots: on others the admission found none. */
    HostSupply(HostCapacity host) {
        this.host = host;
        this.serviceCpus = host.serviceCpus();
        this.slotCpus = host.booting() ? host.type().cpus() : 0;
        this.usedCpuMicros = host.remainingCpuMicros();
    }

    String zone() {
        return host.zone();
    }

    /** How many tasks of a gang or service it has a place for. */
    int availableSlots(CapacityDemand demand) {
        if (slotCpus <= 0 || !allows(demand.job())) {
            return 0;
        }
        return (int) Math.min(
                host.type().tasksThatFit(demand.job()),
                Math.floor((slotCpus + MachineType.EPSILON) / demand.job().cpus()));
    }

    /**
     * Takes places for tasks of a gang or service, no more than its zone may hold of them.
     *
     * @param tasksByZone how many tasks of the job each zone holds; what is taken is added
     * @return how many places were taken
     */
    int assignSlots(CapacityDemand demand, int wanted, Map<String, Integer> tasksByZone) {
        int taken = Math.min(Math.min(wanted, availableSlots(demand)), demand.remainingInZone(zone(), tasksByZone));
        if (taken <= 0) {
            return 0;
        }
        tasksByZone.merge(zone(), taken, Integer::sum);
        slotCpus -= taken * demand.job().cpus();
        if (demand.job().isService()) {
            serviceCpus += taken * demand.job().cpus();
        } else {
            usedCpuMicros += (double) taken * demand.job().cpus() * demand.runMicros();
        }
        return taken;
    }

    /** The work of an array's tasks that it can do by then, in CPU-microseconds. */
    double availableWork(CapacityDemand demand, long deadlineMicros) {
        // A new machine has no image yet; and tasks can't be split: a window of two and a half runs is worth two.
        long fetchMicros = host.booting() ? demand.fetchMicros(host.type()) : 0;
        long runs =
                (deadlineMicros - host.availableAtMicros() - fetchMicros) / (demand.runMicros() + demand.gapMicros());
        if (!allows(demand.job()) || runs <= 0) {
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

    /** Takes an array's work on, as far as it can be done by then; returns how much, in CPU-microseconds. */
    double assignWork(CapacityDemand demand, double wanted, long deadlineMicros) {
        double taken = Math.min(wanted, availableWork(demand, deadlineMicros));
        usedCpuMicros += taken;
        return taken;
    }

    private boolean allows(JobSpec job) {
        return host.type().fits(job) && job.allowsZone(host.zone()) && (job.allowsSpot() || !host.spot());
    }
}
