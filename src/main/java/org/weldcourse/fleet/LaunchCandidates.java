package org.weldcourse.fleet;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Predicate;
import org.weldcourse.jobs.JobSpec;
import org.weldcourse.placement.PlacementTarget;

/** Offerings suitable for a demand, with the cost of running its tasks on each. */
final class LaunchCandidates {
    /** Expected lifetime of a launched machine, over which the cost of its boot time is spread. */
    private static final double EXPECTED_LIFETIME_MICROS = 180e6;

    private static final double[] NO_HIGHER_PRIORITY_SHARES = new double[JobSpec.Priority.values().length];

    private final List<MachineType> types;
    private final Set<Offering> unavailable;
    private final long nowMicros;

    /** A machine that may be launched, as a place for tasks. */
    private record LaunchTarget(MachineType type, String zone, boolean spot) implements PlacementTarget {
        @Override
        public String name() {
            return null;
        }
    }

    /** Creates candidates of the given types, without unavailable offerings. */
    LaunchCandidates(List<MachineType> types, Set<Offering> unavailable, long nowMicros) {
        this.types = types;
        this.unavailable = unavailable;
        this.nowMicros = nowMicros;
    }

    /** An offering and its cost per CPU-hour, for the CPUs that the demand can use, including the boot time. */
    record Candidate(Offering offering, MachineType type, double cost) {
        private static final Comparator<Candidate> BY_COST =
                Comparator.comparingDouble(Candidate::cost).thenComparing(candidate -> candidate.offering.toString());
    }

    /** Returns all zones in which the types are offered, sorted. */
    Set<String> zones() {
        Set<String> zones = new TreeSet<>();
        types.forEach(type -> zones.addAll(type.zones()));
        return zones;
    }

    /** Returns the cheapest candidate that meets a condition. */
    Optional<Candidate> cheapest(CapacityDemand demand, Predicate<Candidate> condition) {
        return candidatesFor(demand).stream().filter(condition).min(Candidate.BY_COST);
    }

    /** Returns the cheapest candidate that can finish a first task by the deadline. */
    Optional<Candidate> cheapest(CapacityDemand demand, long deadlineMicros) {
        return cheapest(demand, candidate -> nowMicros + demand.firstRunMicros(candidate.type) <= deadlineMicros);
    }

    /** Returns when a new machine could finish a first task, with a margin; earlier deadlines can't be met. */
    long earliestFinishMicros(CapacityDemand demand) {
        Candidate fastest = null;
        for (Candidate candidate : candidatesFor(demand)) {
            if (fastest == null || demand.firstRunMicros(candidate.type) < demand.firstRunMicros(fastest.type)) {
                fastest = candidate;
            }
        }
        return fastest == null
                ? nowMicros
                : nowMicros
                        + demand.firstRunMicros(fastest.type)
                        + fastest.type.bootMicros() / 4
                        + demand.runMicros() / 5;
    }

    /** Returns the capacity of a machine that is launched now. */
    HostSupply supply(Candidate candidate) {
        return new HostSupply(new HostCapacity(
                candidate.type,
                candidate.offering.zone(),
                candidate.offering.spot(),
                true,
                nowMicros + candidate.type.bootMicros(),
                0,
                0,
                NO_HIGHER_PRIORITY_SHARES));
    }

    private List<Candidate> candidatesFor(CapacityDemand demand) {
        JobSpec job = demand.job();
        List<Candidate> candidates = new ArrayList<>();
        for (MachineType type : types) {
            int slots = Math.max(1, type.tasksThatFit(job));
            int usedSlots = job.isGang() ? Math.min(slots, demand.tasks()) : slots;
            double bootCostFactor = 1 + type.bootMicros() / EXPECTED_LIFETIME_MICROS;
            for (String zone : type.zones()) {
                for (boolean spot : new boolean[] {true, false}) {
                    Offering offering = new Offering(type.name(), zone, spot);
                    if (unavailable.contains(offering)
                            || !demand.constraints().allows(new LaunchTarget(type, zone, spot))) {
                        continue;
                    }
                    double cost = type.pricePerHour(spot) / (usedSlots * job.cpus()) * bootCostFactor;
                    candidates.add(new Candidate(offering, type, cost));
                }
            }
        }
        return candidates;
    }
}
