package org.weldcourse.quota.ledger;

import java.util.Locale;
import org.weldcourse.store.Transaction;

/** A change to a cohort's record. The record is created if it does not exist. */
record CohortQuotaEdit(String name, QuotaChange change) implements QuotaEdit<CohortQuota> {
    private CohortQuota currentRecord(LedgerContents contents) {
        return contents.cohorts().getOrDefault(name, CohortQuota.unlimited(name));
    }

    @Override
    public CohortQuota spec(LedgerContents contents) {
        return currentRecord(contents).withVersion(0);
    }

    @Override
    public CohortQuota changed(LedgerContents contents) {
        return change.applyTo(currentRecord(contents));
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
        return new Transaction().ifModRevision(key, changed.version()).put(key, QuotaRecordCodec.encode(changed));
    }

    @Override
    public String describe(CohortQuota spec) {
        return "CohortLimit[name=" + spec.name() + ", limit=" + spec.limit() + ", overLimit="
                + spec.overQuotaPolicy().externalName().toUpperCase(Locale.ROOT) + ", version=" + spec.version()
                + "]";
    }
}
