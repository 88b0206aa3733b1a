package org.weldcourse.simulation;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.weldcourse.http.Json;
import org.weldcourse.settings.Settings;

/**
 * Writes the records that this version keeps in the store of a busy cluster, as a fixture for the upgrade tests of later
 * versions. To capture an earlier version, copy this file into a checkout of its commit and run there:
 *
 * <pre>
 * mvn -q -DskipTests package
 * java -cp 'target/classes:target/test-classes:target/lib/*' org.weldcourse.simulation.RecordCapture records.json
 * </pre>
 *
 * The store takes values of 4 KiB and transactions of 8 changes, and announces lower limits of 2 KiB and 4 changes.
 */
public final class RecordCapture {
    private static final String SMALL_ARRAY = "req-000001";
    private static final String LARGE_ARRAY = "req-000002";
    private static final String DONE_JOB = "req-000003";
    private static final String CANCELLED_JOB = "req-000004";
    private static final String SERVICE = "req-000005";
    private static final String SCATTERED_ARRAY = "req-000006";
    private static final int LARGE_ARRAY_TASKS = 14_000;
    private static final int SCATTERED_ARRAY_TASKS = 1_200;

    private RecordCapture() {}

    public static void main(String[] arguments) throws IOException {
        SimulatedCluster cluster = new SimulatedCluster(
                2,
                8,
                4096,
                List.of(new Settings.Team("core", 0, 0, 0, 0)),
                List.of(),
                new Settings.UpcomingStoreLimits(50, 2048, 4));
        cluster.clock.passSeconds(2);
        for (int i = 0; i < 12; i++) {
            cluster.cloud.addUnrequested("large", i % 2 == 0 ? "a" : "b", false);
        }
        cluster.clock.passSeconds(7);
        submitJobs(cluster);
        cluster.clock.passSeconds(50);
        Map<String, Object> records = new TreeMap<>();
        for (String key : cluster.store.keys("")) {
            records.put(key, cluster.store.value(key));
        }
        Files.write(Path.of(arguments[0]), Json.bytes(records));
        System.exit(0);
    }

    private static void submitJobs(SimulatedCluster cluster) {
        submit(
                cluster,
                SERVICE,
                1e6,
                "shape",
                "service",
                "rank",
                "prod",
                "cpus",
                1.0,
                "apart",
                true,
                "expected_s",
                0.0);
        submit(cluster, DONE_JOB, 2, "beads", 2);
        submit(cluster, CANCELLED_JOB, 300, "beads", 2);
        cluster.runMicros.put(SMALL_ARRAY + "/0", 3_000_000L);
        submit(cluster, SMALL_ARRAY, 300, "beads", 4);
        cluster.cancel("n0", CANCELLED_JOB);
        for (int task = 0; task < LARGE_ARRAY_TASKS; task++) {
            long runMicros = task < 13_000 && task % 2 == 0 ? 1_000_000L : 300_000_000L;
            cluster.runMicros.put(LARGE_ARRAY + "/" + task, runMicros);
        }
        submit(cluster, LARGE_ARRAY, 300, "beads", LARGE_ARRAY_TASKS, "cpus", 0.005, "mem_gb", 0.005);
        for (int task = 0; task < SCATTERED_ARRAY_TASKS; task++) {
            cluster.runMicros.put(SCATTERED_ARRAY + "/" + task, task % 2 == 0 ? 6_000_000L : 300_000_000L);
        }
        submit(cluster, SCATTERED_ARRAY, 300, "beads", SCATTERED_ARRAY_TASKS, "cpus", 0.01, "mem_gb", 0.01);
    }

    private static void submit(SimulatedCluster cluster, String id, double runSeconds, Object... changes) {
        cluster.runMicros.put(id, Math.round(runSeconds * 1e6));
        int status = cluster.submit("n0", JobBodies.jobBody(id, changes)).status();
        if (status != 201) {
            throw new IllegalStateException(id + " was not accepted: status " + status);
        }
    }
}
