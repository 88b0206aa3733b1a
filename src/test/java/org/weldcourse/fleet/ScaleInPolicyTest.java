package org.weldcourse.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.weldcourse.cluster.ClusterState;
import org.weldcourse.cluster.Job;
import org.weldcourse.cluster.Machine;
import org.weldcourse.http.Json;
import org.weldcourse.jobs.JobSpecCodec;
import org.weldcourse.settings.Settings;
import org.weldcourse.simulation.JobBodies;

/** Tests which machines are deleted, when, and for which reason. */
class ScaleInPolicyTest {
    private static final long SECOND = 1_000_000;
    private static final long NOW = 1000 * SECOND;
    private static final MachineType SMALL =
            new MachineType("small", 4, 0, 16, 100, 1, 0.4, 0.2, 10 * SECOND, List.of("a", "b"));
    /** Heartbeat interval of 4 s, lease of 20 s. */
    private static final Settings.Workers WORKERS =
            new Settings.Workers(4 * SECOND, 20 * SECOND, 60 * SECOND, 5 * SECOND, 45 * SECOND);

    private final ClusterState cluster = new ClusterState();
    private final ScaleInPolicy policy = new ScaleInPolicy(cluster, new HeartbeatTimeouts(WORKERS), 0);

    /** Adds responsive machines in both zones, so that a silent machine is not attributed to a network fault. */
    @BeforeEach
    void addResponsiveMachines() {
        for (String zone : List.of("a", "b")) {
            for (int i = 0; i < 4; i++) {
                addMachine(zone + i, zone, false, 1);
            }
        }
    }

    private Machine addMachine(String name, String zone, boolean spot, long silentSeconds) {
        Machine machine = cluster.getOrAddMachine(name, 0);
        machine.type = SMALL;
        machine.zone = zone;
        machine.spot = spot;
        machine.lastHeartbeatMicros = NOW - silentSeconds * SECOND;
        return machine;
    }

    private Optional<ScaleInReason> reason(Machine machine) {
        policy.assessCluster(NOW);
        return policy.reason(machine, NOW);
    }

    @Test
    void silentMachinesAreLostAfterTheirLeaseAndSpotMachinesSooner() {
        assertEquals(Optional.empty(), reason(addMachine("m", "a", false, 20)));
        assertEquals(Optional.of(ScaleInReason.LOST), reason(addMachine("m", "a", false, 21)));
        assertEquals(Optional.empty(), reason(addMachine("m", "a", true, 12)));
        assertEquals(Optional.of(ScaleInReason.LOST), reason(addMachine("m", "a", true, 13)));
    }

    @Test
    void spotMachinesInAnUnreachableZoneAreKeptForTheFullLease() {
        for (int i = 0; i < 3; i++) {
            addMachine("a" + i, "a", false, 9);
        }
        assertEquals(Optional.empty(), reason(addMachine("m", "a", true, 13)));
        assertEquals(Optional.of(ScaleInReason.LOST), reason(addMachine("m", "a", true, 21)));
        assertEquals(Optional.of(ScaleInReason.LOST), reason(addMachine("n", "b", true, 13)));
    }

    @Test
    void lostTimeoutIsDoubledWhenMostMachinesAreSilent() {
        cluster.machines.values().forEach(machine -> machine.lastHeartbeatMicros = NOW - 39 * SECOND);
        Machine machine = addMachine("m", "a", false, 39);
        assertEquals(Optional.empty(), reason(machine));
        machine.lastHeartbeatMicros = NOW - 41 * SECOND;
        assertEquals(Optional.of(ScaleInReason.LOST), reason(machine));
    }

    @Test
    void reclaimedMachinesAreDeletedEarly() {
        Machine machine = addMachine("m", "a", true, 9);
        machine.reclaimAtMicros = NOW - 2 * SECOND;
        assertEquals(Optional.of(ScaleInReason.RECLAIMED), reason(machine));
        machine.reclaimAtMicros = NOW + 20 * SECOND;
        assertEquals(Optional.of(ScaleInReason.RECLAIM_ANNOUNCED), reason(machine));
    }

    @Test
    void machinesThatDoNotBootAreDeletedAfterTheBootTimeout() {
        Machine machine = cluster.getOrAddMachine("m", NOW - 58 * SECOND);
        machine.type = SMALL;
        assertEquals(Optional.empty(), reason(machine));
        machine.rentedMicros = NOW - 59 * SECOND;
        assertEquals(Optional.of(ScaleInReason.BOOT_TIMED_OUT), reason(machine));
    }

    @Test
    void machineFaultsTakePrecedence() {
        Machine machine = addMachine("m", "a", false, 1);
        assertEquals(Optional.empty(), reason(machine));
        List.of("req-000001", "req-000002").forEach(machine.failures::add);
        assertEquals(Optional.of(ScaleInReason.FAULTY), reason(machine));
        machine.reportedFailed = true;
        assertEquals(Optional.of(ScaleInReason.FAILED), reason(machine));
        machine.deleting = true;
        assertEquals(Optional.of(ScaleInReason.NOT_CONFIRMED), reason(machine));
    }

    private void book(Machine machine, int number) throws Exception {
        String id = String.format("req-%06d", number);
        Job job = new Job(JobSpecCodec.decode(Json.objectOrEmpty(Json.bytes(JobBodies.jobBody(id)))), 1, 0);
        cluster.book(job, 0, 1, machine, NOW);
    }

    /** Guards against sound tasks that are killed with their machine because others failed there (review/6). */
    @Test
    void suspectedMachineIsKeptForItsTasksUnlessTheFaultIsConfirmed() throws Exception {
        Machine machine = addMachine("m", "a", false, 1);
        book(machine, 3);
        List.of("req-000001", "req-000002").forEach(machine.failures::add);
        assertEquals(Optional.empty(), reason(machine));
        machine.failures.confirm("req-000001");
        assertEquals(Optional.empty(), reason(machine));
        machine.failures.confirm("req-000002");
        assertEquals(Optional.of(ScaleInReason.FAULTY), reason(machine));
    }
}
