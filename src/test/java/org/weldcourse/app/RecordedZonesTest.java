package org.weldcourse.app;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.weldcourse.simulation.JobBodies.jobBody;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.weldcourse.settings.OperatorSettings;
import org.weldcourse.settings.Settings;
import org.weldcourse.simulation.RecordReplayingLeader;
import org.weldcourse.simulation.SimulatedCluster;

/** Guards against admission records that a later leader of any version can't start without breaking a zone rule. */
class RecordedZonesTest {
    private static final String SINGLE_ZONE_ARRAY = "req-000001";
    private static final String URGENT_ARRAY = "req-000002";
    private static final int TASKS = 44;
    private static final int MACHINES_IN_SECOND_ZONE = 10;
    /** Small enough that the admission of the array takes several records. */
    private static final int MAX_VALUE_BYTES = 640;

    private final SimulatedCluster cluster = new SimulatedCluster(
            3,
            16,
            MAX_VALUE_BYTES,
            List.of(new Settings.Team("core", 0, 0, 0, 0)),
            OperatorSettings.TeamLimitSource.SETTINGS);

    private void addMachines(int count, String zone) {
        for (int i = 0; i < count; i++) {
            cluster.cloud.addUnrequested("small", zone, false);
        }
        cluster.cloud.capacity = cluster.workers.size() + count;
    }

    private void awaitRunning(int tasks) {
        for (int i = 0; i < 200 && cluster.runningTasks() != tasks; i++) {
            cluster.clock.pass(100_000);
        }
        assertEquals(tasks, cluster.runningTasks());
    }

    /** Loses all tasks of the array, so that part of it runs in the second zone while the first has room again. */
    private List<String> moveSingleZoneArrayToSecondZone() {
        cluster.clock.passSeconds(2);
        addMachines(TASKS, "a");
        cluster.clock.passSeconds(7);
        cluster.cloud.down(true);
        cluster.runMicros.put(SINGLE_ZONE_ARRAY, 300_000_000L);
        cluster.runMicros.put(URGENT_ARRAY, 15_000_000L);
        cluster.submit("n0", jobBody(SINGLE_ZONE_ARRAY, "cpus", 4.0, "beads", TASKS, "together", true));
        awaitRunning(TASKS);
        assertTrue(cluster.store.keys("slices/" + SINGLE_ZONE_ARRAY).size() > 1, "several records");

        cluster.clock.passSeconds(2);
        List<String> machinesInFirstZone = new ArrayList<>(cluster.workers.keySet());
        machinesInFirstZone.forEach(cluster::cutHeartbeats);
        addMachines(MACHINES_IN_SECOND_ZONE, "b");
        awaitRunning(0);
        cluster.submit("n0", jobBody(URGENT_ARRAY, "cpus", 4.0, "beads", TASKS, "yard", "a", "rank", "urgent"));
        machinesInFirstZone.forEach(cluster::healMachineLinks);
        cluster.clock.passSeconds(40);
        awaitRunning(MACHINES_IN_SECOND_ZONE);
        return machinesInFirstZone;
    }

    private void assertIdle(List<String> machines) {
        machines.forEach(
                machine -> assertEquals(List.of(), cluster.workers.get(machine).presentTasks()));
    }

    @Test
    void nextLeaderKeepsASingleZoneJobInItsZone() {
        List<String> machinesInFirstZone = moveSingleZoneArrayToSecondZone();
        cluster.killNode(cluster.leader());
        cluster.clock.passSeconds(20);
        assertIdle(machinesInFirstZone);
    }

    @Test
    void leaderThatStartsAllRecordedTasksKeepsASingleZoneJobInItsZone() {
        List<String> machinesInFirstZone = moveSingleZoneArrayToSecondZone();
        cluster.alive().forEach(cluster::killNode);
        new RecordReplayingLeader(cluster).startRecordedTasks();
        cluster.clock.passSeconds(1);
        assertIdle(machinesInFirstZone);
    }
}
