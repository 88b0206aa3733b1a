package org.weldcourse.quota.ledger;

import org.weldcourse.quota.ResourceAmount;
import org.weldcourse.settings.Settings;

/**
 * Applies the limits of this node's settings, without reservations. Used when team limits do not come from the ledger.
 */
public final class SettingsSubmissionQuota implements SubmissionQuota {
    @Override
    public ResourceAmount limit(Settings.Team team) {
        return TeamQuota.ofSettings(team).limit();
    }

    @Override
    public void refresh(String team, Runnable callback) {
        callback.run();
    }

    @Override
    public Grant reserve(String team, ResourceAmount perTask, int tasks) {
        return null;
    }

    @Override
    public void release(String team, ResourceAmount perTask, Reservation reservation) {
        throw new IllegalStateException("quota from settings has no reservations to release");
    }
}
