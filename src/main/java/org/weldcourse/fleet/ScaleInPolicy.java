package org.weldcourse.fleet;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.weldcourse.cluster.ClusterState;
import org.weldcourse.cluster.Machine;

/**
 * Selects machines to delete because they are lost, faulty, reclaimed or failed to boot. The confirmed deletion is the
 * evidence that their tasks have ended. {@link ScaleIn} handles idle machines.
 */
final class ScaleInPolicy {
    /** Time after the announced reclaim before a silent machine counts as reclaimed. */
    private static final long RECLAIM_MARGIN_MICROS = 1_000_000;

    private final ClusterState cluster;
    private final HeartbeatTimeouts timeouts;
    private final long startedMicros;
    private boolean mostMachinesReachable = true;
    private boolean mostInheritedMachinesReported = true;
    private Set<String> silentZones = Set.of();

    /** Creates the policy of a leader elected at {@code startedMicros}. */
    ScaleInPolicy(ClusterState cluster, HeartbeatTimeouts timeouts, long startedMicros) {
        this.cluster = cluster;
        this.timeouts = timeouts;
        this.startedMicros = startedMicros;
    }

    /** Updates the cluster-wide observations that {@link #reason} uses; called before each round. */
    void assessCluster(long nowMicros) {
        mostMachinesReachable = mostMachinesReachable(nowMicros);
        mostInheritedMachinesReported = mostInheritedMachinesReported();
        silentZones = silentZones(nowMicros);
    }

    /** Returns why the machine should be deleted now; empty if it should be kept. */
    Optional<ScaleInReason> reason(Machine machine, long nowMicros) {
        if (machine.deleting) {
            return Optional.of(ScaleInReason.NOT_CONFIRMED);
        }
        if (machine.reportedFailed) {
            return Optional.of(ScaleInReason.FAILED);
        }
        if (machine.failures.isSuspected() && (isUnused(machine) || machine.failures.isConfirmed())) {
            return Optional.of(ScaleInReason.FAULTY);
        }
        return machine.isUp() ? reasonOnceUp(machine, nowMicros) : reasonBeforeUp(machine, nowMicros);
    }

    private Optional<ScaleInReason> reasonBeforeUp(Machine machine, long nowMicros) {
        long sinceElectionMicros = nowMicros - startedMicros;
        if (!machine.bookings.isEmpty() || machine.type == null) {
            // The machine is known from the previous leader's records and has sent no heartbeat since. With service
            // replicas the timeout is shorter once most other machines have reported, so that the replicas restart
            // elsewhere sooner.
            boolean probablyDead = holdsReplicas(machine) && mostInheritedMachinesReported;
            return sinceElectionMicros > timeouts.inheritedLostMicros(probablyDead)
                    ? Optional.of(ScaleInReason.LOST)
                    : Optional.empty();
        }
        return BootTimeouts.isBootTimedOut(machine, nowMicros) && sinceElectionMicros > timeouts.leaseMicros()
                ? Optional.of(ScaleInReason.BOOT_TIMED_OUT)
                : Optional.empty();
    }

    private Optional<ScaleInReason> reasonOnceUp(Machine machine, long nowMicros) {
        long silentMicros = nowMicros - machine.lastHeartbeatMicros;
        if (machine.reclaimAtMicros != Long.MAX_VALUE) {
            // The reclaim was announced, so a shorter silence confirms it and frees the tasks sooner.
            boolean reclaimTimePassed = nowMicros > machine.reclaimAtMicros + RECLAIM_MARGIN_MICROS;
            if (reclaimTimePassed && silentMicros > timeouts.reclaimedMicros()) {
                return Optional.of(ScaleInReason.RECLAIMED);
            }
            if (isUnused(machine)) {
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
     * Returns whether a silent machine may be deleted before its lease ends. A silent spot machine was most likely
     * reclaimed, and service replicas on a dead machine stay down until it is deleted. In a silent zone, however, the
     * machines are probably partitioned and run their tasks until the lease ends: waiting loses nothing if the
     * partition is short, and no more than an early deletion if it is long.
     */
    private boolean isProbablyDead(Machine machine) {
        return (machine.spot || holdsReplicas(machine)) && !silentZones.contains(machine.zone);
    }

    private static boolean isUnused(Machine machine) {
        return machine.bookings.isEmpty() && machine.unbookedTasks.isEmpty();
    }

    private static boolean holdsReplicas(Machine machine) {
        return machine.bookings.groups().stream().anyMatch(group -> group.spec().isService());
    }

    /**
     * Returns whether at least half of the machines send heartbeats and receive the responses. Otherwise the fault is
     * probably on the leader's side, and the tasks may still be running.
     */
    private boolean mostMachinesReachable(long nowMicros) {
        int up = 0;
        int reachable = 0;
        for (Machine machine : cluster.machines.values()) {
            if (machine.isUp() && !machine.deleting) {
                up++;
                reachable += nowMicros - machine.lastHeartbeatMicros <= timeouts.leaseMicros() && !machine.isCordoned()
                        ? 1
                        : 0;
            }
        }
        return reachable * 2 >= up;
    }

    private boolean mostInheritedMachinesReported() {
        int reported = 0;
        int booked = 0;
        for (Machine machine : cluster.machines.values()) {
            if (!machine.bookings.isEmpty()) {
                booked++;
                reported += machine.isUp() ? 1 : 0;
            }
        }
        return reported * 2 >= booked;
    }

    /**
     * Returns the zones where most on-demand machines are silent. On-demand machines don't fail together, so the zone
     * is probably unreachable.
     */
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
