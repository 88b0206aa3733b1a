package org.weldcourse.quota.ledger;

import org.weldcourse.quota.ResourceAmount;
import org.weldcourse.settings.Settings;

/** Without quota on record the limits of this node's settings hold, and nothing is reserved. */
public final class SettingsSubmissionQuota implements SubmissionQuota {
    @Override
    public ResourceAmount limit(Settings.Team team) {
        return TeamQuota.ofSettings(team).limit();
    }

    @Override
    public void refresh(String team, Runnable then) {
        then.run();
    }

    @Override
    public Grant reserve(String team, ResourceAmount perTask, int tasks) {
        return null;
    }

    @Override
    public void release(String team, ResourceAmount perTask, Reservation reservation) {
        throw new IllegalStateException("nothing is reserved");
    }
}
