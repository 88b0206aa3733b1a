package org.weldcourse.quota.ledger;

import org.weldcourse.quota.ResourceAmount;
import org.weldcourse.quota.ledger.QuotaLedgerException.Reason;

/**
 * An operator's change to the quota of a team or cohort, in CPUs and GPUs. Null fields stay unchanged. A limit of 0
 * means no limit, and the cohort name {@code none} removes the team from its cohort.
 */
public record QuotaChange(
        Double cpuGuarantee,
        Double cpuLimit,
        Double gpuGuarantee,
        Double gpuLimit,
        OverQuotaPolicy overQuotaPolicy,
        String cohort) {
    private static final String NO_COHORT = "none";
    private static final double MAX_AMOUNT = 1e9;

    /** Returns the team's record with this change and without budgets. */
    TeamQuota applyTo(TeamQuota quota) {
        ResourceAmount guarantee = ResourceAmount.of(
                orElse(cpuGuarantee, quota.guarantee().cpus()),
                orElse(gpuGuarantee, quota.guarantee().gpus()));
        return new TeamQuota(
                quota.name(),
                guarantee,
                changedLimit(quota.limit()),
                overQuotaPolicy == null ? quota.overQuotaPolicy() : overQuotaPolicy,
                cohort == null ? quota.cohort() : cohort.equals(NO_COHORT) ? null : cohort,
                quota.version());
    }

    /** Returns the cohort's record with this change. */
    CohortQuota applyTo(CohortQuota quota) {
        return new CohortQuota(
                quota.name(),
                changedLimit(quota.limit()),
                overQuotaPolicy == null ? quota.overQuotaPolicy() : overQuotaPolicy,
                quota.version());
    }

    private ResourceAmount changedLimit(ResourceAmount limit) {
        return ResourceAmount.limit(orElse(cpuLimit, limit.cpuLimit()), orElse(gpuLimit, limit.gpuLimit()));
    }

    private static double orElse(Double number, double defaultValue) {
        return number == null ? defaultValue : number;
    }

    /** Checks that all amounts are valid numbers. Error messages use the option names of the command line. */
    void validateAmounts() throws QuotaLedgerException {
        validateAmount("cpus", cpuGuarantee);
        validateAmount("cpus-max", cpuLimit);
        validateAmount("gpus", gpuGuarantee);
        validateAmount("gpus-max", gpuLimit);
    }

    private static void validateAmount(String option, Double number) throws QuotaLedgerException {
        // The comparison is written so that NaN is refused.
        boolean isValid = number == null || number >= 0 && number <= MAX_AMOUNT;
        if (!isValid) {
            throw new QuotaLedgerException(
                    Reason.INVALID_AMOUNT,
                    option + ": must be a number from 0 to " + (long) MAX_AMOUNT + ", not " + number);
        }
    }
}
