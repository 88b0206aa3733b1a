package org.weldcourse.admission;

import java.util.Set;
import org.weldcourse.cluster.Snapshot.MachineView;
import org.weldcourse.cluster.Snapshot.TaskView;
import org.weldcourse.fleet.MachineType;
import org.weldcourse.jobs.JobSpec;
import org.weldcourse.placement.PlacementTarget;

/** The free capacity of a machine during one admission cycle. */
final class FreeCapacity implements PlacementTarget {
    final MachineView machine;
    final double pricePerCpu;
    /**
     * The price per CPU rounded to powers of 1.4, so that small fluctuations of spot prices do not affect the order.
     */
    final int priceTier;

    double cpus;
    double gpus;
    double memoryGb;
    /** Whether the machine has the image of the job that is being placed. */
    boolean holdsImage;
    /** Whether the machine is needed for start objectives of job classes that would preempt the job being placed. */
    boolean neededForStartSlo;
    /**
     * Resources of running tasks that are expected to end soon. Tasks are booked ahead on them, to start in the
     * response to the heartbeat that reports the exits.
     */
    double cpusFreeSoon;

    double gpusFreeSoon;
    double memoryGbFreeSoon;
    /** The gang that the machine is reserved for, or null. */
    JobSpec reservedFor;
    /** The number of replicas of all services, including those booked in this cycle; terminating ones do not count. */
    int replicas;
    /** Tasks preempted in this cycle; few machines have any, so the set is allocated on demand. */
    Set<TaskView> victims = Set.of();

    FreeCapacity(MachineView machine, long untilMicros, long nowMicros) {
        this.machine = machine;
        pricePerCpu = machine.type().pricePerCpuHour(machine.spot());
        priceTier = pricePerCpu <= 0 ? 0 : (int) Math.round(Math.log(pricePerCpu) / Math.log(1.4));
        cpus = machine.type().cpus() - machine.allocation().cpus();
        gpus = machine.type().gpus() - machine.allocation().gpus();
        memoryGb = machine.type().memoryGb() - machine.allocation().memoryGb();
        for (TaskView task : machine.allocation().tasks()) {
            replicas += task.job().isService() && !task.terminating() ? task.count() : 0;
            // A task that has overrun its expected end may run much longer, so nothing is booked ahead on it.
            if (task.running() && !task.terminating() && task.expectedToEndBetween(nowMicros, untilMicros)) {
                cpusFreeSoon += task.job().cpus();
                gpusFreeSoon += task.job().gpus();
                memoryGbFreeSoon += task.job().memoryGb();
            }
        }
    }

    @Override
    public String name() {
        return machine.name();
    }

    @Override
    public MachineType type() {
        return machine.type();
    }

    @Override
    public String zone() {
        return machine.zone();
    }

    @Override
    public boolean spot() {
        return machine.spot();
    }

    @Override
    public JobSpec reservedFor() {
        return reservedFor;
    }

    int fits(JobSpec job) {
        return MachineType.tasksThatFit(job, cpus, gpus, memoryGb);
    }

    /** How many tasks fit now or are expected to fit soon. */
    int fitsSoon(JobSpec job) {
        return MachineType.tasksThatFit(job, cpus + cpusFreeSoon, gpus + gpusFreeSoon, memoryGb + memoryGbFreeSoon);
    }

    /** The price per hour; the spot price for a spot machine. */
    double pricePerHour() {
        return machine.type().pricePerHour(machine.spot());
    }

    /** The number of replicas of this service that were booked here before this cycle. */
    int replicasOf(JobSpec job) {
        int replicas = 0;
        for (TaskView task : machine.allocation().tasks()) {
            replicas += task.job().id().equals(job.id()) ? task.count() : 0;
        }
        return replicas;
    }

    /** The time to fetch the job's image; 0 if the machine has it. */
    double fetchSeconds(JobSpec job) {
        return machine.allocation().images().contains(job.image())
                ? 0
                : machine.type().fetchSeconds(job);
    }

    void allocate(JobSpec job, int tasks) {
        replicas += job.isService() ? tasks : 0;
        cpus -= job.cpus() * tasks;
        gpus -= job.gpus() * tasks;
        memoryGb -= job.memoryGb() * tasks;
    }
}
