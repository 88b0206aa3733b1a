package org.weldcourse.quota.enforcement;

import org.weldcourse.quota.QuotaInvariant;
import org.weldcourse.quota.ResourceAmount;

/** Tracks the usage of one limit, of a team or a cohort, while a snapshot is computed. */
public final class QuotaHeadroom {
    private final ResourceAmount limit;
    private ResourceAmount used;

    /** Creates the headroom of a limit with an initial usage. */
    public QuotaHeadroom(ResourceAmount limit, ResourceAmount used) {
        this.limit = limit;
        this.used = used;
    }

    /** Returns whether the limit allows adding this amount. */
    public boolean hasRoomFor(ResourceAmount amount) {
        return QuotaInvariant.mayAdd(limit, used, amount);
    }

    /** Adds this amount to the usage. */
    public void use(ResourceAmount amount) {
        used = used.plus(amount);
    }

    /** Returns the limit. */
    public ResourceAmount limit() {
        return limit;
    }

    /** Returns the usage. */
    public ResourceAmount used() {
        return used;
    }

    /** Returns the free part of the limit, not counting the given part of the usage. */
    public ResourceAmount freeExcluding(ResourceAmount amount) {
        return limit.minus(used.minus(amount));
    }
}
