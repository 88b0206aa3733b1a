package org.weldcourse.admission;

import java.util.Set;
import org.weldcourse.cluster.Snapshot.MachineView;
import org.weldcourse.cluster.Snapshot.TaskView;
import org.weldcourse.fleet.MachineType;
import org.weldcourse.jobs.JobSpec;

/** What is free on a machine as a cycle books tasks on it. */
final class FreeCapacity {
    final MachineView machine;
    final double pricePerCpu;
    /** Price per CPU in coarse steps: spot prices wander, and a small difference decides nothing. */
    final int priceStep;

    double cpus;
    double gpus;
    double memoryGb;
    /** Whether it holds the image of the job that looks for room just now. */
    boolean holdsImage;
    /** And whether others that would preempt it need such a machine. */
    boolean neededForStartSlo;
    /** What tasks should leave in a moment: others are booked on it ahead, to run in the answer to the exits. */
    double cpusFreeSoon;

    double gpusFreeSoon;
    double memoryGbFreeSoon;
    /** The gang that it is reserved for while the rest of that gang's places are found. */
    JobSpec reservedFor;
    /** Replicas of services, all services together. */
    int replicas;
    /** Few machines have any in a cycle. */
    Set<TaskView> victims = Set.of();

    FreeCapacity(MachineView machine, long untilMicros, long nowMicros) {
        this.machine = machine;
        pricePerCpu = machine.type().pricePerCpuHour(machine.spot());
        priceStep = pricePerCpu <= 0 ? 0 : (int) Math.round(Math.log(pricePerCpu) / Math.log(1.4));
        cpus = machine.type().cpus() - machine.allocation().cpus();
        gpus = machine.type().gpus() - machine.allocation().gpus();
        memoryGb = machine.type().memoryGb() - machine.allocation().memoryGb();
        for (TaskView task : machine.allocation().tasks()) {
            replicas += task.job().isService() && !task.terminating() ? 1 : 0;
            // One that is past its time may go on for long: nothing is booked behind it.
            if (task.running() && !task.terminating() && task.expectedToEndBetween(nowMicros, untilMicros)) {
                cpusFreeSoon += task.job().cpus();
                gpusFreeSoon += task.job().gpus();
                memoryGbFreeSoon += task.job().memoryGb();
            }
        }
    }

    int fits(JobSpec job) {
        return MachineType.tasksThatFit(job, cpus, gpus, memoryGb);
    }

    /** How many tasks have room now or in a moment. */
    int fitsSoon(JobSpec job) {
        return MachineType.tasksThatFit(job, cpus + cpusFreeSoon, gpus + gpusFreeSoon, memoryGb + memoryGbFreeSoon);
    }

    /** What the machine costs an hour, at its spot price if it is one. */
    double pricePerHour() {
        return machine.type().pricePerHour(machine.spot());
    }

    int replicasOf(JobSpec job) {
        int replicas = 0;
        for (TaskView task : machine.allocation().tasks()) {
            replicas += task.job().id().equals(job.id()) ? 1 : 0;
        }
        return replicas;
    }

    /** How long a task of the job waits for its image here. */
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
