package org.weldcourse.admission;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.weldcourse.cluster.Snapshot;
import org.weldcourse.jobs.JobSpec;

/**
 * Places the replicas of a service: on machines where they start quickly, spread so that the loss of one machine stops
 * only a few of them, and with few machines kept in use by replicas alone.
 */
final class ReplicaPlacement {
    /** A service's replicas are spread evenly over at least this many machines, if possible. */
    private static final int MACHINES_PER_SERVICE = 3;

    /** Machines that run one part in this number of all services' replicas, or more, are less preferred than others. */
    private static final int MIN_MACHINES_FOR_ALL_REPLICAS = 6;
    /** Below this many replicas on a machine, its share of all replicas does not matter. */
    private static final int FEW_REPLICAS = 6;
    /** A fetch of an image within this time counts as a short delay of the start. */
    private static final double SHORT_FETCH_SECONDS = 3;

    private ReplicaPlacement() {}

    /**
     * Sorts machines by preference: those that start a replica soonest (stopping a gang takes longest), then those below
     * their share of all replicas, then those that run replicas already, then the cheapest per hour. A machine with a
     * single replica cannot be released while its service runs, so its whole price counts.
     */
    static void sort(List<FreeCapacity> capacities, JobSpec spec) {
        int totalReplicas = 0;
        for (FreeCapacity capacity : capacities) {
            totalReplicas += capacity.replicas;
        }
        int maxOnMachine = Math.max(
                FEW_REPLICAS, (totalReplicas + MIN_MACHINES_FOR_ALL_REPLICAS - 1) / MIN_MACHINES_FOR_ALL_REPLICAS);
        List<Candidate> candidates = new ArrayList<>(capacities.size());
        for (FreeCapacity capacity : capacities) {
            candidates.add(new Candidate(
                    capacity,
                    preemptsGang(capacity, spec),
                    fetchTier(capacity.fetchSeconds(spec)),
                    capacity.replicas >= maxOnMachine));
        }
        candidates.sort(Candidate::comparePreference);
        for (int i = 0; i < candidates.size(); i++) {
            capacities.set(i, candidates.get(i).capacity);
        }
    }

    /** A machine with its sort keys precomputed. */
    private record Candidate(FreeCapacity capacity, boolean preemptsGang, int fetchTier, boolean atReplicaShare) {
        int comparePreference(Candidate other) {
            FreeCapacity a = capacity;
            FreeCapacity b = other.capacity;
            if (preemptsGang != other.preemptsGang) {
                return Boolean.compare(preemptsGang, other.preemptsGang);
            }
            if (fetchTier != other.fetchTier) {
                return Integer.compare(fetchTier, other.fetchTier);
            }
            if (atReplicaShare != other.atReplicaShare) {
                return Boolean.compare(atReplicaShare, other.atReplicaShare);
            }
            if ((a.replicas == 0) != (b.replicas == 0)) {
                return Boolean.compare(a.replicas == 0, b.replicas == 0);
            }
            int byPrice = Double.compare(a.pricePerHour(), b.pricePerHour());
            if (byPrice != 0) {
                return byPrice;
            }
            int byCpus = Double.compare(a.cpus, b.cpus);
            return byCpus != 0 ? byCpus : a.machine.name().compareTo(b.machine.name());
        }
    }

    /** Whether a replica would have to preempt a gang. Tasks are in preemption order, so the first one decides. */
    private static boolean preemptsGang(FreeCapacity capacity, JobSpec spec) {
        List<Snapshot.TaskView> tasks = capacity.machine.allocation().tasks();
        return capacity.fits(spec) == 0
                && !tasks.isEmpty()
                && tasks.get(0).job().isGang();
    }

    private static int fetchTier(double fetchSeconds) {
        if (fetchSeconds <= 0) {
            return 0;
        }
        return fetchSeconds <= SHORT_FETCH_SECONDS ? 1 : 2;
    }

    /**
     * Spreads a service's replicas over the machines in their order, with at most an equal share on each. The rest is
     * left for bin packing. Placed replicas are added to {@code tasksByMachine} and charged to the zone budget.
     *
     * @return the number of replicas that were not placed
     */
    static int spread(
            JobSpec spec,
            List<FreeCapacity> capacities,
            ZoneBudget zones,
            Map<FreeCapacity, Integer> tasksByMachine,
            int wanted) {
        int maxOnMachine = (spec.tasks() + MACHINES_PER_SERVICE - 1) / MACHINES_PER_SERVICE;
        int left = wanted;
        for (FreeCapacity capacity : capacities) {
            String zone = capacity.machine.zone();
            int maxInZone = Math.min(left, zones.remaining(zone));
            if (maxInZone <= 0) {
                continue;
            }
            int taken = Math.min(maxInZone, Math.min(maxOnMachine - capacity.replicasOf(spec), capacity.fits(spec)));
            if (taken > 0) {
                tasksByMachine.merge(capacity, taken, Integer::sum);
                zones.consume(zone, taken);
                left -= taken;
            }
        }
        return left;
    }
}
