package org.weldcourse.quota;

import java.nio.charset.StandardCharsets;
import java.util.Base64;
import java.util.Map;
import java.util.TreeMap;
import org.weldcourse.http.Json;
import org.weldcourse.store.Store;

/** The ledger's records: their keys, and their values of format 1. */
public final class TeamLimitCodec {
    /** Keys of the ledger begin with this. */
    public static final String PREFIX = "quota/";

    static final int FORMAT = 1;
    private static final int MOST_PLAIN_NAME = 150;
    /** Plain names never contain this, so that no two teams share a key. */
    private static final String ENCODED = "~";

    private TeamLimitCodec() {}

    /** Says why a record can't be used. */
    public static final class Unreadable extends Exception {
        Unreadable(String message) {
            super(message);
        }
    }

    /** The key of a team's record; names that a key can't hold are encoded. */
    public static String key(String team) {
        boolean plain = team.length() <= MOST_PLAIN_NAME && team.matches("[A-Za-z0-9._-]+");
        return plain
                ? PREFIX + team
                : PREFIX
                        + ENCODED
                        + Base64.getUrlEncoder().withoutPadding().encodeToString(team.getBytes(StandardCharsets.UTF_8));
    }

    /** The value of a team's record. */
    public static Map<String, Object> value(TeamLimit limit) {
        Map<String, Object> budgets = new TreeMap<>();
        limit.budgets()
                .forEach((owner, budget) -> budgets.put(owner, Json.of("cpus", budget.cpus(), "gpus", budget.gpus())));
        return Json.of(
                "format",
                FORMAT,
                "team",
                limit.team(),
                "cpus",
                limit.guarantee().cpus(),
                "cpus_max",
                limit.limit().cpuLimit(),
                "gpus",
                limit.guarantee().gpus(),
                "gpus_max",
                limit.limit().gpuLimit(),
                "over",
                limit.overLimit().word(),
                "budgets",
                budgets);
    }

    /** Reads a team's record; what is not understood in full is refused, since it must not count as room. */
    public static TeamLimit read(Store.Entry entry) throws Unreadable {
        Map<String, Object> value = entry.value();
        long format = Json.integer(value, "format", 0);
        if (format != FORMAT) {
            throw new Unreadable("its format is " + format + ", and this version knows format " + FORMAT);
        }
        String team = Json.text(value, "team");
        if (team == null || !key(team).equals(entry.key())) {
            throw new Unreadable("field team does not belong to its key");
        }
        OverLimit overLimit = OverLimit.ofWord(Json.text(value, "over"));
        if (overLimit == null) {
            throw new Unreadable("field over is missing or unknown");
        }
        Amount limit = Amount.limit(number(value, "cpus_max"), number(value, "gpus_max"));
        Map<String, Amount> budgets = budgets(value);
        if (!QuotaRule.sum(budgets.values()).fitsInto(limit)) {
            throw new Unreadable("its budgets exceed its limit");
        }
        Amount guarantee = Amount.of(number(value, "cpus"), number(value, "gpus"));
        return new TeamLimit(team, guarantee, limit, overLimit, budgets, entry.version());
    }

    private static Map<String, Amount> budgets(Map<String, Object> value) throws Unreadable {
        if (!(value.get("budgets") instanceof Map<?, ?>)) {
            throw new Unreadable("field budgets is missing or no object");
        }
        Map<String, Amount> budgets = new TreeMap<>();
        for (Map.Entry<String, Object> budget :
                Json.object(value.get("budgets")).entrySet()) {
            Map<String, Object> amount = Json.object(budget.getValue());
            budgets.put(budget.getKey(), Amount.of(number(amount, "cpus"), number(amount, "gpus")));
        }
        return budgets;
    }

    private static double number(Map<String, Object> from, String field) throws Unreadable {
        double number = Json.decimal(from, field, -1);
        if (!(number >= 0) || Double.isInfinite(number)) {
            throw new Unreadable("field " + field + " is missing or no amount");
        }
        return number;
    }
}
