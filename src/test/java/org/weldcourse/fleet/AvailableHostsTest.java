package org.weldcourse.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.weldcourse.cluster.ClusterState;
import org.weldcourse.cluster.Machine;
import org.weldcourse.http.Json;
import org.weldcourse.jobs.JobSpec;
import org.weldcourse.jobs.JobSpecCodec;
import org.weldcourse.settings.OperatorSettings;
import org.weldcourse.simulation.JobBodies;

/** Tests which machines count as capacity. */
class AvailableHostsTest {
    private static final long SECOND = 1_000_000;
    private static final MachineType TYPE =
            new MachineType("small", 4, 0, 16, 100, 1, 0.4, 0.2, 10 * SECOND, List.of("a"));

    private final ClusterState cluster = new ClusterState();
    private final Machine machine = cluster.getOrAddMachine("m-1", 0);

    private void comesUp() {
        RandomFleet.reportFirst(machine, 0);
        machine.type = TYPE;
        machine.zone = "a";
    }

    private void boots() {
        machine.type = TYPE;
        machine.zone = "a";
    }

    @Test
    void bootingMachineCountsUntilItIsOverdue() {
        boots();
        assertTrue(AvailableHosts.includes(machine, 21 * SECOND));
        assertFalse(AvailableHosts.includes(machine, 22 * SECOND));
        machine.reportedFailed = true;
        assertFalse(AvailableHosts.includes(machine, 0));
    }

    @Test
    void machineThatAdmissionRefusesDoesNotCount() {
        assertFalse(AvailableHosts.includes(machine, 0), "unknown type");
        comesUp();
        assertTrue(AvailableHosts.includes(machine, 0));
        machine.deleting = true;
        assertFalse(AvailableHosts.includes(machine, 0));
        machine.deleting = false;
        List.of("req-000001", "req-000002").forEach(machine.failures::add);
        assertFalse(AvailableHosts.includes(machine, 0));
    }

    @Test
    void capacityNamesTheGangThatTheMachineIsReservedFor() throws Exception {
        comesUp();
        JobSpec gang = JobSpecCodec.decode(
                Json.objectOrEmpty(Json.bytes(JobBodies.jobBody("req-000001", "shape", "ensemble"))));
        machine.reservedFor = gang;
        WarmPools warmPools = new WarmPools(cluster, List.of(), OperatorSettings.DEFAULT);
        List<HostCapacity> capacities = AvailableHosts.capacities(cluster, warmPools, 0);
        assertEquals(1, capacities.size());
        assertEquals("m-1", capacities.get(0).name());
        assertSame(gang, capacities.get(0).reservedFor());
    }
}
