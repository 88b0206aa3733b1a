package org.weldcourse.fleet;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.weldcourse.cluster.Booking;
import org.weldcourse.cluster.ClusterState;
import org.weldcourse.cluster.Machine;
import org.weldcourse.jobs.JobSpec;
import org.weldcourse.settings.OperatorSettings;
import org.weldcourse.settings.Settings.ServiceLevelObjective;

/**
 * The warm pools: for each class of jobs with an objective (SLO) for its start, and for services, machines that could
 * take a job at once. Work of lower priority may use them meanwhile.
 */
final class WarmPools {
    /** How fast the measured load follows the true one. */
    private static final double LOAD_SMOOTHING_MICROS = 60e6;

    private final ClusterState cluster;
    private final List<ServiceLevelObjective> objectives;
    private final OperatorSettings settings;
    private final Map<String, Pool> pools = new HashMap<>();

    /** What is known of a class: its latest job stands for those to come. */
    private static final class Pool {
        JobSpec latestJob;
        long lastSeenMicros;
        /** The part of the CPUs it may use that it had of late, 0 to 1. */
        double load;

        boolean canUse(Machine machine) {
            return machine.type.fits(latestJob) && (latestJob.allowsSpot() || !machine.spot);
        }
    }

    WarmPools(ClusterState cluster, List<ServiceLevelObjective> objectives, OperatorSettings settings) {
        this.cluster = cluster;
        this.objectives = objectives;
        this.settings = settings;
    }

    /**
     * Takes note of a job. All the time until a service's replica runs is time not served, with or without an
     * objective.
     */
    void jobSeen(JobSpec job, long nowMicros) {
        if (job.isService() || hasStartObjective(job)) {
            Pool pool = pools.computeIfAbsent(job.jobClass(), jobClass -> new Pool());
            pool.latestJob = job;
            pool.lastSeenMicros = nowMicros;
        }
    }

    private boolean hasStartObjective(JobSpec job) {
        for (ServiceLevelObjective objective : objectives) {
            if (objective.kind() == ServiceLevelObjective.Kind.START
                    && objective.jobClass().equals(job.jobClass())) {
                return true;
            }
        }
        return false;
    }

    /** A class that has not been seen for long gets no machine kept warm for it. */
    void dropUnused(long nowMicros) {
        pools.values().removeIf(pool -> nowMicros - pool.lastSeenMicros > settings.warmPoolRetentionMicros());
    }

    /** Measures what the classes use, once in each step of the autoscaler. */
    void measureLoad() {
        Map<String, Double> used = new HashMap<>();
        Map<String, Double> usable = new HashMap<>();
        for (Machine machine : cluster.machines.values()) {
            if (!machine.isUp() || machine.type == null) {
                continue;
            }
            for (Map.Entry<String, Pool> entry : pools.entrySet()) {
                if (entry.getValue().canUse(machine)) {
                    usable.merge(entry.getKey(), machine.type.cpus(), Double::sum);
                }
            }
            for (Booking booking : machine.bookings.values()) {
                used.merge(booking.job().spec().jobClass(), booking.job().spec().cpus(), Double::sum);
            }
        }
        pools.forEach((jobClass, pool) -> {
            double currentLoad =
                    Math.min(1, used.getOrDefault(jobClass, 0.0) / Math.max(1, usable.getOrDefault(jobClass, 0.0)));
            pool.load += (currentLoad - pool.load) * Autoscaler.STEP_MICROS / LOAD_SMOOTHING_MICROS;
        });
    }

    /**
     * By the ordinal of a priority, the part (0 to 1) of such a machine that classes of higher priority are likely to
     * take from it. Classes of the same priority and below preempt nothing, so that what they take is part of the work
     * that is planned for.
     */
    double[] higherPriorityShares(Machine machine) {
        double[] shares = new double[JobSpec.Priority.values().length];
        for (Pool pool : pools.values()) {
            if (pool.canUse(machine)) {
                for (int lower = pool.latestJob.priority().ordinal() + 1; lower < shares.length; lower++) {
                    shares[lower] = Math.min(1, shares[lower] + pool.load);
                }
            }
        }
        return shares;
    }

    /** The highest priority of the classes that could use such a machine, or null. */
    JobSpec.Priority highestPriority(Machine machine) {
        JobSpec.Priority highest = null;
        for (Pool pool : pools.values()) {
            JobSpec.Priority priority = pool.latestJob.priority();
            if (pool.canUse(machine) && (highest == null || priority.compareTo(highest) < 0)) {
                highest = priority;
            }
        }
        return highest;
    }

    /** What the pools are short of, but for classes whose pending jobs are scaled out for anyway. */
    List<CapacityDemand> shortfall(List<CapacityDemand> pending, long nowMicros) {
        List<CapacityDemand> shortfall = new ArrayList<>();
        for (Pool pool : pools.values()) {
            JobSpec job = pool.latestJob;
            int missing = -surplus(job, nowMicros);
            if (missing > 0
                    && pending.stream()
                            .noneMatch(demand -> demand.job().jobClass().equals(job.jobClass()))) {
                shortfall.add(new CapacityDemand(job, missing, job.estimatedRunMicros(), nowMicros));
            }
        }
        return shortfall;
    }

    /** The machines that the pools can spare now. */
    Surplus surplus(long nowMicros) {
        Map<String, Integer> machines = new HashMap<>();
        pools.forEach((jobClass, pool) -> machines.put(jobClass, surplus(pool.latestJob, nowMicros)));
        return new Surplus(machines, nowMicros);
    }

    private int surplus(JobSpec job, long nowMicros) {
        int available = 0;
        for (Machine machine : cluster.machines.values()) {
            available += canHost(machine, job, nowMicros) ? 1 : 0;
        }
        return available - settings.warmPoolSize();
    }

    /** Whether a machine, up or on its way, could take such a job without waiting for its equals. */
    private static boolean canHost(Machine machine, JobSpec job, long nowMicros) {
        if (machine.type == null
                || machine.deleting
                || machine.reportedFailed
                || machine.reclaimAtMicros != Long.MAX_VALUE
                || !machine.isUp() && BootTimeouts.isBootOverdue(machine, nowMicros)
                || !machine.type.fits(job)
                || machine.spot && !job.allowsSpot()) {
            return false;
        }
        double cpus = machine.type.cpus();
        for (Booking booking : machine.bookings.values()) {
            if (booking.job().spec().priority().compareTo(job.priority()) <= 0) {
                cpus -= booking.job().spec().cpus();
            }
        }
        return cpus + MachineType.EPSILON >= job.cpus();
    }

    /** How many machines each pool can spare, counted down as they are scaled in. */
    final class Surplus {
        private final Map<String, Integer> machines;
        private final long nowMicros;

        private Surplus(Map<String, Integer> machines, long nowMicros) {
            this.machines = machines;
            this.nowMicros = nowMicros;
        }

        /** Takes the machine out of the pools that it belongs to; false when one of them can't spare it. */
        boolean tryRemove(Machine machine) {
            for (Map.Entry<String, Pool> entry : pools.entrySet()) {
                if (canHost(machine, entry.getValue().latestJob, nowMicros)) {
                    if (machines.get(entry.getKey()) <= 0) {
                        return false;
                    }
                    machines.merge(entry.getKey(), -1, Integer::sum);
                }
            }
            return true;
        }
    }
}
