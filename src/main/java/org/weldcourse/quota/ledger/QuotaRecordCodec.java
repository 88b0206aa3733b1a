package org.weldcourse.quota.ledger;

import java.nio.charset.StandardCharsets;
import java.util.Base64;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.UnaryOperator;
import java.util.regex.Pattern;
import org.weldcourse.http.Json;
import org.weldcourse.quota.ResourceAmount;
import org.weldcourse.store.Store;

/** Encodes and decodes quota records in the store: their keys, and their values in format 1. */
public final class QuotaRecordCodec {
    /** The key prefix of all quota records. */
    public static final String PREFIX = "quota/";

    private static final String TEAMS = PREFIX + "team/";
    private static final String COHORTS = PREFIX + "cohort/";

    /** The record format that this version writes and reads. */
    public static final int FORMAT = 1;

    private static final int MAX_PLAIN_NAME_LENGTH = 150;
    private static final Pattern PLAIN_NAME = Pattern.compile("[A-Za-z0-9._-]+");
    /** Marks an encoded name. Plain names cannot contain this character, so no two teams share a key. */
    private static final String ENCODED_PREFIX = "~";

    private QuotaRecordCodec() {}

    /** Returns the key of a team's record. */
    public static String teamKey(String team) {
        return TEAMS + keyPart(team);
    }

    /** Returns the key of a cohort's record. */
    public static String cohortKey(String cohort) {
        return COHORTS + keyPart(cohort);
    }

    /** Returns whether the key belongs to a cohort's record. */
    public static boolean isCohort(String key) {
        return key.startsWith(COHORTS);
    }

    /** Returns the name itself, or its base64 form if it is long or contains characters that a key does not allow. */
    private static String keyPart(String name) {
        if (name.length() <= MAX_PLAIN_NAME_LENGTH && PLAIN_NAME.matcher(name).matches()) {
            return name;
        }
        byte[] bytes = name.getBytes(StandardCharsets.UTF_8);
        return ENCODED_PREFIX + Base64.getUrlEncoder().withoutPadding().encodeToString(bytes);
    }

    /** Returns the stored value of a cohort's record. */
    public static Map<String, Object> encode(CohortQuota quota) {
        return Json.of(
                "format",
                FORMAT,
                "cohort",
                quota.name(),
                "cpus_max",
                quota.limit().cpuLimit(),
                "gpus_max",
                quota.limit().gpuLimit(),
                "over",
                quota.overQuotaPolicy().externalName());
    }

    /** Returns the stored value of a team's record. */
    public static Map<String, Object> encode(TeamQuota quota) {
        Map<String, Object> budgets = new TreeMap<>();
        quota.budgets()
                .forEach((owner, budget) -> budgets.put(owner, Json.of("cpus", budget.cpus(), "gpus", budget.gpus())));
        return Json.of(
                "format",
                FORMAT,
                "team",
                quota.name(),
                "cpus",
                quota.guarantee().cpus(),
                "cpus_max",
                quota.limit().cpuLimit(),
                "gpus",
                quota.guarantee().gpus(),
                "gpus_max",
                quota.limit().gpuLimit(),
                "over",
                quota.overQuotaPolicy().externalName(),
                "cohort",
                quota.cohort(),
                "budgets",
                budgets,
                "budgets_under",
                quota.budgetsCohortVersion());
    }

    /**
     * Reads a cohort's record.
     *
     * @throws UnreadableQuotaRecordException if any field is invalid or the format is unknown
     */
    public static CohortQuota decodeCohort(Store.Entry entry) throws UnreadableQuotaRecordException {
        RecordDecoder decoder = new RecordDecoder(entry);
        decoder.requireKnownFormat();
        String name = decoder.nameOf("cohort", QuotaRecordCodec::cohortKey);
        ResourceAmount limit = decoder.limit();
        return new CohortQuota(name, limit, decoder.overQuotaPolicy(), entry.modRevision());
    }

    /**
     * Reads a team's record.
     *
     * @throws UnreadableQuotaRecordException if any field is invalid or the format is unknown; the caller must not
     *     treat such a record as free quota
     */
    public static TeamQuota decodeTeam(Store.Entry entry) throws UnreadableQuotaRecordException {
        RecordDecoder decoder = new RecordDecoder(entry);
        decoder.requireKnownFormat();
        String name = decoder.nameOf("team", QuotaRecordCodec::teamKey);
        String cohort = decoder.cohort();
        ResourceAmount limit = decoder.limit();
        Map<String, ResourceAmount> budgets = decoder.budgets();
        if (!ResourceAmount.sum(budgets.values()).fitsInto(limit)) {
            throw decoder.unreadable("its budgets exceed its limit");
        }
        return new TeamQuota(
                name,
                decoder.amount(entry.value()),
                limit,
                decoder.overQuotaPolicy(),
                cohort,
                budgets,
                Json.integer(entry.value(), "budgets_under", 0),
                entry.modRevision());
    }

    /** Reads the value of one record field by field. */
    private record RecordDecoder(Store.Entry entry) {
        private long format() {
            return Json.integer(entry.value(), "format", 0);
        }

        UnreadableQuotaRecordException unreadable(String problem) {
            return new UnreadableQuotaRecordException(entry.key(), format(), problem);
        }

        void requireKnownFormat() throws UnreadableQuotaRecordException {
            if (format() != FORMAT) {
                throw unreadable("its format is " + format() + ", and this version knows format " + FORMAT);
            }
        }

        /** Returns the name stored in the record, which must match the record's key. */
        String nameOf(String field, UnaryOperator<String> keyOf) throws UnreadableQuotaRecordException {
            String name = Json.text(entry.value(), field);
            if (name == null || !keyOf.apply(name).equals(entry.key())) {
                throw unreadable("field " + field + " does not belong to its key");
            }
            return name;
        }

        /** Returns the cohort of a team, or null if it belongs to none. */
        String cohort() throws UnreadableQuotaRecordException {
            String cohort = Json.text(entry.value(), "cohort");
            if (cohort == null && entry.value().get("cohort") != null) {
                throw unreadable("field cohort is no name");
            }
            return cohort;
        }

        ResourceAmount limit() throws UnreadableQuotaRecordException {
            return ResourceAmount.limit(number(entry.value(), "cpus_max"), number(entry.value(), "gpus_max"));
        }

        ResourceAmount amount(Map<String, Object> from) throws UnreadableQuotaRecordException {
            return ResourceAmount.of(number(from, "cpus"), number(from, "gpus"));
        }

        Map<String, ResourceAmount> budgets() throws UnreadableQuotaRecordException {
            if (!(entry.value().get("budgets") instanceof Map<?, ?> byOwner)) {
                throw unreadable("field budgets is missing or no object");
            }
            Map<String, ResourceAmount> budgets = new TreeMap<>();
            for (Map.Entry<String, Object> budget : Json.object(byOwner).entrySet()) {
                budgets.put(budget.getKey(), amount(Json.object(budget.getValue())));
            }
            return budgets;
        }

        OverQuotaPolicy overQuotaPolicy() throws UnreadableQuotaRecordException {
            return OverQuotaPolicy.fromExternalName(Json.text(entry.value(), "over"))
                    .orElseThrow(() -> unreadable("field over is missing or unknown"));
        }

        private double number(Map<String, Object> from, String field) throws UnreadableQuotaRecordException {
            double number = Json.decimal(from, field, -1);
            // The comparison is written so that NaN is refused.
            if (!(number >= 0) || Double.isInfinite(number)) {
                throw unreadable("field " + field + " is missing or no amount");
            }
            return number;
        }
    }
}
