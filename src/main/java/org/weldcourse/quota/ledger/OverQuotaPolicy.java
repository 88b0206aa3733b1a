package org.weldcourse.quota.ledger;

import java.util.Optional;

/** What happens to the running tasks of a team or cohort that uses more than its limit after the limit was lowered. */
public enum OverQuotaPolicy {
    /** Running tasks continue to their end, and no new tasks start until usage is below the limit. */
    DRAIN("drain"),
    /** Tasks are preempted, lowest priority first, until usage fits the limit. */
    PREEMPT("displace");

    private final String externalName;

    OverQuotaPolicy(String name) {
        this.externalName = name;
    }

    /** Returns the name used in stored records and on the command line. */
    public String externalName() {
        return externalName;
    }

    /** Returns the policy with this external name, or empty if there is none. */
    public static Optional<OverQuotaPolicy> fromExternalName(String name) {
        for (OverQuotaPolicy policy : values()) {
            if (policy.externalName.equals(name)) {
                return Optional.of(policy);
            }
        }
        return Optional.empty();
    }
}
