package org.weldcourse.quota.ledger;

import java.util.HashSet;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.weldcourse.settings.Settings;

/** Logs a warning, once per team, when a team's quota in the ledger differs from this node's settings. */
final class SettingsComparison {
    private static final Logger LOG = LoggerFactory.getLogger(SettingsComparison.class);

    private final Settings settings;
    private final Set<String> reportedTeams = new HashSet<>();

    SettingsComparison(Settings settings) {
        this.settings = settings;
    }

    void compare(TeamQuota ledgerQuota) {
        Settings.Team team = settings.team(ledgerQuota.name());
        if (team == null) {
            return;
        }
        TeamQuota settingsQuota = TeamQuota.ofSettings(team);
        boolean differs = !(settingsQuota.limit().equals(ledgerQuota.limit())
                && settingsQuota.guarantee().equals(ledgerQuota.guarantee()));
        if (differs && reportedTeams.add(ledgerQuota.name())) {
            LOG.warn(
                    "team {}: the limit in the quota ledger ({}) applies; this node's settings have {}",
                    ledgerQuota.name(),
                    ledgerQuota.limit(),
                    settingsQuota.limit());
        }
    }
}
