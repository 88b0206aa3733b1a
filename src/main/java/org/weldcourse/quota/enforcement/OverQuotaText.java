package org.weldcourse.quota.enforcement;

import org.weldcourse.quota.ResourceAmount;

/** Formats the part of the leader's status line that reports an exceeded limit. */
final class OverQuotaText {
    private OverQuotaText() {}

    static String ofTeam(String team, ResourceAmount used, ResourceAmount limit) {
        return of("team " + team, used, limit);
    }

    static String ofCohort(String cohort, ResourceAmount used, ResourceAmount limit) {
        return of("cohort " + cohort, used, limit);
    }

    private static String of(String subject, ResourceAmount used, ResourceAmount limit) {
        return subject + " is " + used.minus(limit) + " over its limit";
    }
}
