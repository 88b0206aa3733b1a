package org.weldcourse.fleet;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.weldcourse.cluster.ClusterState;
import org.weldcourse.cluster.Machine;

/**
 * Which machines a leader gives up: lost, faulty, reclaimed, or never up. Their deletion is the evidence that frees
 * their tasks. Idle machines are none of its concern.
 */
final class ScaleInPolicy {
    private static final long RECLAIM_MARGIN_MICROS = 1_000_000;
    private static final int FAULTY_MACHINE_FAILED_JOBS = 2;

    private final ClusterState cluster;
    private final HeartbeatTimeouts timeouts;
    private final long startedMicros;
    private boolean mostMachinesReachable = true;
    private boolean mostInheritedMachinesReported = true;
    private Set<String> silentZones = Set.of();

    /** The policy of a leader that was elected at this time. */
    ScaleInPolicy(ClusterState cluster, HeartbeatTimeouts timeouts, long startedMicros) {
        this.cluster = cluster;
        this.timeouts = timeouts;
        this.startedMicros = startedMicros;
    }

    /** Looks at the machines as a whole, before any single one is judged. */
    void assessCluster(long nowMicros) {
        mostMachinesReachable = mostMachinesReachable(nowMicros);
        mostInheritedMachinesReported = mostInheritedMachinesReported();
        silentZones = silentZones(nowMicros);
    }

    /** Why the machine should be deleted now, empty when it should stay. */
    Optional<ScaleInReason> reason(Machine machine, long nowMicros) {
        if (machine.deleting) {
            return Optional.of(ScaleInReason.NOT_CONFIRMED);
        }
        if (machine.reportedFailed) {
            return Optional.of(ScaleInReason.FAILED);
        }
        if (machine.failedJobs.size() >= FAULTY_MACHINE_FAILED_JOBS && machine.successesSinceError == 0) {
            return Optional.of(ScaleInReason.FAULTY);
        }
        return machine.isUp() ? reasonOnceUp(machine, nowMicros) : reasonBeforeUp(machine, nowMicros);
    }

    private Optional<ScaleInReason> reasonBeforeUp(Machine machine, long nowMicros) {
        long waitedMicros = nowMicros - startedMicros;
        if (!machine.bookings.isEmpty() || machine.type == null) {
            // Known only from an earlier leader's records, and not heard of since. One that holds replicas is given the
            // time in which the others found the new leader: its lease will end silent, and its deletion lets them run
            // elsewhere.
            boolean probablyDead = holdsReplicas(machine) && mostInheritedMachinesReported;
            return waitedMicros > timeouts.inheritedLostMicros(probablyDead)
                    ? Optional.of(ScaleInReason.LOST)
                    : Optional.empty();
        }
        return BootTimeouts.isBootTimedOut(machine, nowMicros) && waitedMicros > timeouts.leaseMicros()
                ? Optional.of(ScaleInReason.NEVER_UP)
                : Optional.empty();
    }

    private Optional<ScaleInReason> reasonOnceUp(Machine machine, long nowMicros) {
        long silentMicros = nowMicros - machine.lastHeartbeatMicros;
        if (machine.reclaimAtMicros != Long.MAX_VALUE) {
            // Announced and come to pass: its tasks need not hold their places for as long as in doubt.
            boolean due = nowMicros > machine.reclaimAtMicros + RECLAIM_MARGIN_MICROS;
            if (due && silentMicros > timeouts.reclaimedMicros()) {
                return Optional.of(ScaleInReason.RECLAIMED);
            }
            if (machine.bookings.isEmpty() && machine.unbookedTasks.isEmpty()) {
                return Optional.of(ScaleInReason.RECLAIM_ANNOUNCED);
            }
        }
        if (mostMachinesReachable && machine.isCordonedFor(timeouts.leaseMicros(), nowMicros)) {
            return Optional.of(ScaleInReason.UNREACHABLE);
        }
        return silentMicros > timeouts.lostMicros(isProbablyDead(machine), !mostMachinesReachable)
                ? Optional.of(ScaleInReason.LOST)
                : Optional.empty();
    }

    /**
     * Whether not to wait for a silent machine's whole lease. A spot machine was most likely reclaimed, and one that
     * died with replicas takes their time as long as it is waited for. But one that is cut off goes on working until
     * its lease ends, and when a whole zone falls silent, so are its machines: if the cut is short, nothing is lost,
     * and else no more than with an early deletion.
     */
    private boolean isProbablyDead(Machine machine) {
        return (machine.spot || holdsReplicas(machine)) && !silentZones.contains(machine.zone);
    }

    private static boolean holdsReplicas(Machine machine) {
        return machine.bookings.values().stream()
                .anyMatch(booking -> booking.job().spec().isService());
    }

    /**
     * When most machines fall silent or can't be reached together, the fault is on this side: their tasks may well be
     * running.
     */
    private boolean mostMachinesReachable(long nowMicros) {
        int up = 0;
        int heard = 0;
        for (Machine machine : cluster.machines.values()) {
            if (machine.isUp() && !machine.deleting) {
                up++;
                heard += nowMicros - machine.lastHeartbeatMicros <= timeouts.leaseMicros() && !machine.isCordoned()
                        ? 1
                        : 0;
            }
        }
        return heard * 2 >= up;
    }

    private boolean mostInheritedMachinesReported() {
        int heard = 0;
        int booked = 0;
        for (Machine machine : cluster.machines.values()) {
            if (!machine.bookings.isEmpty()) {
                booked++;
                heard += machine.isUp() ? 1 : 0;
            }
        }
        return heard * 2 >= booked;
    }

    /** Zones of whose on-demand machines most are silent: these don't die together. */
    private Set<String> silentZones(long nowMicros) {
        Map<String, Integer> respondingMinusSilent = new HashMap<>();
        for (Machine machine : cluster.machines.values()) {
            if (machine.isUp() && !machine.spot && !machine.deleting) {
                boolean silent = nowMicros - machine.lastHeartbeatMicros > timeouts.zoneOutageMicros();
                respondingMinusSilent.merge(String.valueOf(machine.zone), silent ? -1 : 1, Integer::sum);
            }
        }
        respondingMinusSilent.values().removeIf(difference -> difference >= 0);
        return respondingMinusSilent.keySet();
    }
}
