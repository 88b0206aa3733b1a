package org.weldcourse.quota.ledger;

import java.util.Locale;
import org.weldcourse.store.Transaction;

/** A change of a cohort's record, which is created where there is none. */
record CohortQuotaEdit(String name, QuotaChange change) implements QuotaEdit<CohortQuota> {
    private CohortQuota onRecord(LedgerContents contents) {
        return contents.cohorts().getOrDefault(name, CohortQuota.unlimited(name));
    }

    @Override
    public CohortQuota terms(LedgerContents contents) {
        return onRecord(contents).withVersion(0);
    }

    @Override
    public CohortQuota changed(LedgerContents contents) {
        return change.applyTo(onRecord(contents));
    }

    @Override
    public CohortQuota withVersion(CohortQuota quota, long version) {
        return quota.withVersion(version);
    }

    @Override
    public void check(LedgerContents contents) throws QuotaLedgerException {
        contents.requireCovered(changed(contents), null);
    }

    @Override
    public Transaction transaction(LedgerContents contents) {
        CohortQuota changed = changed(contents);
        String key = QuotaRecordCodec.cohortKey(name);
        return new Transaction().ifModRevision(key, changed.version()).put(key, QuotaRecordCodec.value(changed));
    }

    @Override
    public String describe(CohortQuota terms) {
        return "CohortLimit[name=" + terms.name() + ", limit=" + terms.limit() + ", overLimit="
                + terms.overQuotaPolicy().externalName().toUpperCase(Locale.ROOT) + ", version=" + terms.version()
                + "]";
    }
}
