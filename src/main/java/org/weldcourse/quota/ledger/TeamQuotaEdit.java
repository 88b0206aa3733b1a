package org.weldcourse.quota.ledger;

import java.util.Locale;
import java.util.Map;
import org.weldcourse.quota.ResourceAmount;
import org.weldcourse.quota.ledger.QuotaLedgerException.Reason;
import org.weldcourse.settings.Settings;
import org.weldcourse.store.Transaction;

/** A change of a team's record; a team without one begins with its settings. */
record TeamQuotaEdit(Settings.Team settings, QuotaChange change) implements QuotaEdit<TeamQuota> {
    private TeamQuota onRecord(LedgerContents contents) {
        return contents.teams().getOrDefault(settings.name(), TeamQuota.ofSettings(settings));
    }

    @Override
    public TeamQuota terms(LedgerContents contents) {
        return onRecord(contents).withBudgets(Map.of(), 0).withVersion(0);
    }

    @Override
    public TeamQuota changed(LedgerContents contents) {
        return change.applyTo(onRecord(contents));
    }

    @Override
    public TeamQuota withVersion(TeamQuota quota, long version) {
        return quota.withVersion(version);
    }

    @Override
    public void check(LedgerContents contents) throws QuotaLedgerException {
        TeamQuota changed = changed(contents);
        ResourceAmount guarantee = changed.guarantee();
        ResourceAmount limit = changed.limit();
        if (guarantee.cpuMillionths() > limit.cpuMillionths()) {
            throw guaranteeOverLimit("cpus", guarantee.cpus(), limit.cpus());
        }
        if (guarantee.gpuMillionths() > limit.gpuMillionths()) {
            throw guaranteeOverLimit("gpus", guarantee.gpus(), limit.gpus());
        }
        if (changed.cohort() == null) {
            return;
        }
        CohortQuota cohort = contents.cohorts().get(changed.cohort());
        if (cohort == null) {
            throw new QuotaLedgerException(Reason.UNKNOWN_COHORT, "cohort: " + changed.cohort() + " is not on record");
        }
        contents.requireCovered(cohort, changed);
    }

    private static QuotaLedgerException guaranteeOverLimit(String resource, double guarantee, double limit) {
        return new QuotaLedgerException(
                Reason.GUARANTEE_OVER_LIMIT,
                resource + ": the guarantee of " + guarantee + " is over the limit of " + limit);
    }

    /** Writes the cohort's record too, unchanged, so that of two changes that are sound alone only one succeeds. */
    @Override
    public Transaction transaction(LedgerContents contents) {
        TeamQuota changed = changed(contents);
        String key = QuotaRecordCodec.teamKey(changed.name());
        Transaction txn =
                new Transaction().ifModRevision(key, changed.version()).put(key, QuotaRecordCodec.value(changed));
        if (changed.cohort() != null) {
            CohortQuota cohort = contents.cohorts().get(changed.cohort());
            String cohortKey = QuotaRecordCodec.cohortKey(cohort.name());
            txn.ifModRevision(cohortKey, cohort.version()).put(cohortKey, QuotaRecordCodec.value(cohort));
        }
        return txn;
    }

    @Override
    public String describe(TeamQuota terms) {
        return "TeamLimit[team=" + terms.name() + ", guarantee=" + terms.guarantee() + ", limit=" + terms.limit()
                + ", overLimit=" + terms.overQuotaPolicy().externalName().toUpperCase(Locale.ROOT) + ", cohort="
                + terms.cohort() + ", budgets=" + terms.budgets() + ", budgetsCohortVersion="
                + terms.budgetsCohortVersion() + ", version=" + terms.version() + "]";
    }
}
