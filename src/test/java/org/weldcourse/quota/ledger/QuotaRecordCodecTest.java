package org.weldcourse.quota.ledger;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.Map;
import org.junit.jupiter.api.Test;
import org.weldcourse.http.Json;
import org.weldcourse.quota.ResourceAmount;
import org.weldcourse.store.Store;

/** Tests of {@link QuotaRecordCodec}: stored records stay readable, and an unreadable record reports the reason. */
class QuotaRecordCodecTest {
    private static final String KEY = "quota/team/core";
    private static final TeamQuota QUOTA = new TeamQuota(
                    "core",
                    ResourceAmount.of(8, 0),
                    ResourceAmount.limit(24, 0),
                    OverQuotaPolicy.PREEMPT,
                    "branches",
                    7)
            .withBudgets(Map.of("n0#1", ResourceAmount.of(2, 0)), 5);

    /** Returns the value of a record as earlier versions also stored it, with some fields changed. */
    private static Map<String, Object> stored(Object... changes) {
        Map<String, Object> value = Json.of(
                "format",
                1L,
                "team",
                "core",
                "cpus",
                8.0,
                "cpus_max",
                24.0,
                "gpus",
                0.0,
                "gpus_max",
                0.0,
                "over",
                "displace",
                "cohort",
                "branches",
                "budgets",
                Json.of("n0#1", Json.of("cpus", 2.0, "gpus", 0.0)),
                "budgets_under",
                5L);
        value.putAll(Json.of(changes));
        return value;
    }

    private static TeamQuota decode(Map<String, Object> value) throws UnreadableQuotaRecordException {
        return QuotaRecordCodec.decodeTeam(new Store.Entry(KEY, value, 7, 0));
    }

    @Test
    void teamRecordRoundTrips() throws Exception {
        assertEquals(QUOTA, decode(stored()));
        assertEquals(Json.parse(Json.bytes(stored())), Json.parse(Json.bytes(QuotaRecordCodec.encode(QUOTA))));
        assertEquals(KEY, QuotaRecordCodec.teamKey("core"));
    }

    @Test
    void unreadableRecordReportsKeyFormatAndProblem() {
        Map<Map<String, Object>, String> problemsByValue = Map.of(
                stored("format", 2L), "its format is 2, and this version knows format 1",
                stored("team", "edge"), "field team does not belong to its key",
                stored("cpus_max", -1.0), "field cpus_max is missing or no amount",
                stored("over", "perhaps"), "field over is missing or unknown",
                stored("cohort", 3L), "field cohort is no name",
                stored("cpus_max", 1.0), "its budgets exceed its limit",
                stored("budgets", "none"), "field budgets is missing or no object");
        problemsByValue.forEach((value, problem) -> {
            UnreadableQuotaRecordException unreadable =
                    assertThrows(UnreadableQuotaRecordException.class, () -> decode(value));
            assertEquals(KEY, unreadable.key());
            assertEquals(value.get("format"), unreadable.format());
            assertEquals(problem, unreadable.problem());
            assertEquals(KEY + ": " + problem, unreadable.getMessage());
        });
    }
}
