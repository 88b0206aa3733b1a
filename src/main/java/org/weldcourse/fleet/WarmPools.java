package org.weldcourse.fleet;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.weldcourse.cluster.BookingGroup;
import org.weldcourse.cluster.ClusterState;
import org.weldcourse.cluster.Machine;
import org.weldcourse.jobs.JobSpec;
import org.weldcourse.placement.Feasibility;
import org.weldcourse.placement.PlacementConstraints;
import org.weldcourse.settings.OperatorSettings;
import org.weldcourse.settings.Settings.ServiceLevelObjective;

/**
 * Warm pools: machines that can start a job at once, for each job class with a start-time objective (SLO) and for
 * services. Work of lower priority may use them in the meantime.
 */
final class WarmPools {
    /** Time constant of the exponential smoothing of the load. */
    private static final double LOAD_SMOOTHING_MICROS = 60e6;

    private final ClusterState cluster;
    private final List<ServiceLevelObjective> objectives;
    private final OperatorSettings settings;
    private final Map<String, Pool> pools = new HashMap<>();

    /** State of one job class. Its latest job is taken as the prediction for future ones. */
    private static final class Pool {
        JobSpec latestJob;
        /** The constraints of the next job of the class, if it is like the latest. */
        PlacementConstraints constraints;

        long lastSeenMicros;
        /** Smoothed share, 0 to 1, of the usable CPUs that the class occupies. */
        double load;

        boolean canUse(Machine machine) {
            return constraints.checkKind(machine) == Feasibility.FEASIBLE;
        }
    }

    WarmPools(ClusterState cluster, List<ServiceLevelObjective> objectives, OperatorSettings settings) {
        this.cluster = cluster;
        this.objectives = objectives;
        this.settings = settings;
    }

    /** Records a job. Services always get a pool, as a service is unavailable until its replicas run. */
    void jobSeen(JobSpec job, long nowMicros) {
        if (job.isService() || hasStartObjective(job)) {
            Pool pool = pools.computeIfAbsent(job.jobClass(), jobClass -> new Pool());
            pool.latestJob = job;
            pool.constraints = PlacementConstraints.ofNewJob(job);
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

    /** Removes the pools of job classes that have had no job within the retention time. */
    void dropUnused(long nowMicros) {
        pools.values().removeIf(pool -> nowMicros - pool.lastSeenMicros > settings.warmPoolRetentionMicros());
    }

    /** Updates the load of each class; called once in each step of the autoscaler. */
    void measureLoad() {
        Map<String, Double> usedCpus = new HashMap<>();
        Map<String, Double> usableCpus = new HashMap<>();
        for (Machine machine : cluster.machines.values()) {
            if (!machine.isUp() || machine.type == null) {
                continue;
            }
            for (Map.Entry<String, Pool> entry : pools.entrySet()) {
                if (entry.getValue().canUse(machine)) {
                    usableCpus.merge(entry.getKey(), machine.type.cpus(), Double::sum);
                }
            }
            for (BookingGroup group : machine.bookings.groups()) {
                usedCpus.merge(group.spec().jobClass(), group.spec().cpus() * group.size(), Double::sum);
            }
        }
        pools.forEach((jobClass, pool) -> {
            double currentLoad = Math.min(
                    1, usedCpus.getOrDefault(jobClass, 0.0) / Math.max(1, usableCpus.getOrDefault(jobClass, 0.0)));
            pool.load += (currentLoad - pool.load) * Autoscaler.STEP_MICROS / LOAD_SMOOTHING_MICROS;
        });
    }

    /**
     * Returns, for each priority by ordinal, the share (0 to 1) of the machine that classes of higher priority are
     * expected to use. Classes of the same or a lower priority can't preempt, so their use is already part of the
     * planned work.
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

    /** Returns the highest priority among the classes that can use the machine, or null if there are none. */
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

    /** Returns the demand of pools below their size, except for classes with pending demand of their own. */
    List<CapacityDemand> shortfall(List<CapacityDemand> pending, long nowMicros) {
        List<CapacityDemand> shortfall = new ArrayList<>();
        for (Pool pool : pools.values()) {
            JobSpec job = pool.latestJob;
            int missing = -surplus(pool, nowMicros);
            if (missing > 0
                    && pending.stream()
                            .noneMatch(demand -> demand.job().jobClass().equals(job.jobClass()))) {
                shortfall.add(new CapacityDemand(job, missing, job.estimatedRunMicros(), nowMicros));
            }
        }
        return shortfall;
    }

    /** Returns how many machines each pool can spare now. */
    Surplus surplus(long nowMicros) {
        Map<String, Integer> machines = new HashMap<>();
        pools.forEach((jobClass, pool) -> machines.put(jobClass, surplus(pool, nowMicros)));
        return new Surplus(machines, nowMicros);
    }

    private int surplus(Pool pool, long nowMicros) {
        int available = 0;
        for (Machine machine : cluster.machines.values()) {
            available += canHost(machine, pool, nowMicros) ? 1 : 0;
        }
        return available - settings.warmPoolSize();
    }

    /** Returns whether a running or booting machine could start the job, preempting only lower-priority work. */
    private static boolean canHost(Machine machine, Pool pool, long nowMicros) {
        if (!AvailableHosts.includes(machine, nowMicros)
                || pool.constraints.checkUse(machine) != Feasibility.FEASIBLE) {
            return false;
        }
        JobSpec job = pool.latestJob;
        double cpus = machine.type.cpus();
        for (BookingGroup group : machine.bookings.groups()) {
            if (group.spec().priority().compareTo(job.priority()) <= 0) {
                cpus -= group.spec().cpus() * group.size();
            }
        }
        return cpus + MachineType.EPSILON >= job.cpus();
    }

    /** The number of machines that each pool can spare, decremented as machines are scaled in. */
    final class Surplus {
        private final Map<String, Integer> machines;
        private final long nowMicros;

        private Surplus(Map<String, Integer> machines, long nowMicros) {
            this.machines = machines;
            this.nowMicros = nowMicros;
        }

        /** Removes the machine from the pools it belongs to; returns false if one of them can't spare it. */
        boolean tryRemove(Machine machine) {
            for (Map.Entry<String, Pool> entry : pools.entrySet()) {
                if (canHost(machine, entry.getValue(), nowMicros)) {
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
