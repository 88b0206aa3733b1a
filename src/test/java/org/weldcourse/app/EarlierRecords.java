package org.weldcourse.app;

import java.util.Base64;
import java.util.BitSet;
import java.util.List;
import java.util.Map;
import org.weldcourse.http.Json;
import org.weldcourse.settings.Settings;
import org.weldcourse.simulation.SimulatedCluster;

/** Records written by earlier versions, and the way in which those versions read records. */
final class EarlierRecords {
    private static final List<Settings.Team> TEAMS = List.of(new Settings.Team("core", 0, 0, 0, 0));

    private EarlierRecords() {}

    /** The records that the version in production left in the store. */
    static Map<String, Object> productionRecords() throws Exception {
        return loadFixture("/production/records.json");
    }

    static Map<String, Object> loadFixture(String name) throws Exception {
        try (var in = EarlierRecords.class.getResourceAsStream(name)) {
            return Json.object(Json.parse(in.readAllBytes()));
        }
    }

    /** Puts a fixture's records into the store; its other entries are not records. */
    static void storeRecords(SimulatedCluster cluster, Map<String, Object> records) {
        records.forEach((key, value) -> {
            if (key.contains("/") || key.equals("types")) {
                cluster.store.putRecord(key, value);
            }
        });
    }

    /** Stores the record of an open job as the version in production writes it. */
    static void storeOpenJob(SimulatedCluster cluster, Map<String, Object> body) {
        Map<String, Object> open = Json.objectOrEmpty(Json.bytes(body));
        open.put("accepted", cluster.clock.wallMicros());
        open.put("cancelled", false);
        cluster.store.putRecord("open/" + Json.text(body, "name_id"), open);
    }

    /** Two controllers under the store's present limits, with settings that announce its next limits. */
    static SimulatedCluster upgradingCluster(int valueBytes, int txnOps, Settings.UpcomingStoreLimits next) {
        return new SimulatedCluster(2, txnOps, valueBytes, TEAMS, List.of(), next);
    }

    /**
     * The tasks that the version in production takes for finished. This is a second implementation, independent of the
     * code under test. A shard below done/ holds the bits of so many tasks as fit a value in base64, 16,000 at most.
     */
    static BitSet finishedTasksAsReadByProduction(SimulatedCluster cluster, String id, int tasks, int valueBytes) {
        int shardTasks = Math.min(16_000, (valueBytes - 64) / 4 * 3 * 8);
        BitSet finished = new BitSet();
        for (String key : cluster.store.keys("done/" + id + "/")) {
            int shard = Integer.parseInt(key.substring(key.lastIndexOf('/') + 1));
            int from = shard * shardTasks;
            BitSet bits = BitSet.valueOf(
                    Base64.getDecoder().decode((String) cluster.store.value(key).get("bits")));
            bits.stream().filter(bit -> from + bit < tasks).forEach(bit -> finished.set(from + bit));
        }
        for (String key : cluster.store.keys("slices/" + id + "/")) {
            String bits = (String) cluster.store.value(key).get("bits");
            if (bits != null) {
                finished.or(BitSet.valueOf(Base64.getDecoder().decode(bits)));
            }
        }
        return finished;
    }

    /** The finished tasks of a job in a fixture's records, in which each shard names its first task. */
    static BitSet finishedTasksIn(Map<String, Object> records, String id) {
        BitSet finished = new BitSet();
        records.forEach((key, value) -> {
            if (key.startsWith("slices/" + id + "/") || key.startsWith("done/" + id + "/")) {
                Map<String, Object> record = Json.object(value);
                int from = (int) Json.integer(record, "from", 0);
                String bits = Json.text(record, "bits");
                BitSet.valueOf(Base64.getDecoder().decode(bits == null ? "" : bits)).stream()
                        .forEach(bit -> finished.set(from + bit));
            }
        });
        return finished;
    }
}
