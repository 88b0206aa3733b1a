package org.weldcourse.quota.ledger;

import java.util.Optional;

/** What happens to the tasks of a team that runs more than its limit after the limit was lowered. */
public enum OverQuotaPolicy {
    /** They run to their end, and nothing new starts meanwhile. */
    DRAIN("drain"),
    /** As many as are over the limit are preempted, those of low priority first. */
    PREEMPT("displace");

    private final String externalName;

    OverQuotaPolicy(String word) {
        this.externalName = word;
    }

    /** The policy's name in records and on the command line. */
    public String externalName() {
        return externalName;
    }

    /** The policy of this name, if there is one. */
    public static Optional<OverQuotaPolicy> fromExternalName(String word) {
        for (OverQuotaPolicy policy : values()) {
            if (policy.externalName.equals(word)) {
                return Optional.of(policy);
            }
        }
        return Optional.empty();
    }
}
