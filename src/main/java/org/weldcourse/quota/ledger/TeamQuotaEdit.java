package org.weldcourse.quota.ledger;

import java.util.Locale;
import java.util.Map;
import org.weldcourse.quota.ResourceAmount;
import org.weldcourse.quota.ledger.QuotaLedgerException.Reason;
import org.weldcourse.settings.Settings;
import org.weldcourse.store.Transaction;

/** A change to a team's record. A team without a record starts from its quota in the settings. */
record TeamQuotaEdit(Settings.Team settings, QuotaChange change) implements QuotaEdit<TeamQuota> {
    private TeamQuota currentRecord(LedgerContents contents) {
        return contents.teams().getOrDefault(settings.name(), TeamQuota.ofSettings(settings));
    }

    @Override
    public TeamQuota spec(LedgerContents contents) {
        return currentRecord(contents).withBudgets(Map.of(), 0).withVersion(0);
    }

    @Override
    public TeamQuota changed(LedgerContents contents) {
        return change.applyTo(currentRecord(contents));
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
            throw new QuotaLedgerException(Reason.UNKNOWN_COHORT, "cohort: " + changed.cohort() + " does not exist");
        }
        contents.requireCovered(cohort, changed);
    }

    private static QuotaLedgerException guaranteeOverLimit(String resource, double guarantee, double limit) {
        return new QuotaLedgerException(
                Reason.GUARANTEE_OVER_LIMIT,
                resource + ": the guarantee of " + guarantee + " exceeds the limit of " + limit);
    }

    /**
     * Also rewrites the cohort's record unchanged, so that of two concurrent changes that are each valid but not valid
     * together, only one succeeds.
     */
    @Override
    public Transaction transaction(LedgerContents contents) {
        TeamQuota changed = changed(contents);
        String key = QuotaRecordCodec.teamKey(changed.name());
        Transaction txn =
                new Transaction().ifModRevision(key, changed.version()).put(key, QuotaRecordCodec.encode(changed));
        if (changed.cohort() != null) {
            CohortQuota cohort = contents.cohorts().get(changed.cohort());
            String cohortKey = QuotaRecordCodec.cohortKey(cohort.name());
            txn.ifModRevision(cohortKey, cohort.version()).put(cohortKey, QuotaRecordCodec.encode(cohort));
        }
        return txn;
    }

    @Override
    public String describe(TeamQuota spec) {
        return "TeamLimit[team=" + spec.name() + ", guarantee=" + spec.guarantee() + ", limit=" + spec.limit()
                + ", overLimit=" + spec.overQuotaPolicy().externalName().toUpperCase(Locale.ROOT) + ", cohort="
                + spec.cohort() + ", budgets=" + spec.budgets() + ", budgetsCohortVersion="
                + spec.budgetsCohortVersion() + ", version=" + spec.version() + "]";
    }
}
