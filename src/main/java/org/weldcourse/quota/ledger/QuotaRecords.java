package org.weldcourse.quota.ledger;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.weldcourse.store.Store;

/** The newest version of each quota record that this controller has read. Records may arrive in any order. */
final class QuotaRecords {
    private static final Logger LOG = LoggerFactory.getLogger(QuotaRecords.class);

    /**
     * Readable records by key. A team's last readable record is kept when a newer version is unreadable, because it
     * names the team's cohort.
     */
    private final Map<String, TeamQuota> teams = new HashMap<>();

    private final Map<String, CohortQuota> cohorts = new HashMap<>();
    /** The versions of unreadable records by key. */
    private final Map<String, Long> unreadable = new HashMap<>();

    private final Consumer<TeamQuota> onNewTeamQuota;

    /**
     * Creates an empty set of records.
     *
     * @param onNewTeamQuota receives each team record that is newer than the known one
     */
    QuotaRecords(Consumer<TeamQuota> onNewTeamQuota) {
        this.onNewTeamQuota = onNewTeamQuota;
    }

    /** Returns the team's record with that of its cohort, or null if either is missing or unreadable. */
    EffectiveQuota quota(String teamName) {
        String key = QuotaRecordCodec.teamKey(teamName);
        TeamQuota team = teams.get(key);
        if (team == null || unreadable.containsKey(key)) {
            return null;
        }
        if (team.cohort() == null) {
            return new EffectiveQuota(team, null);
        }
        CohortQuota cohort = cohorts.get(QuotaRecordCodec.cohortKey(team.cohort()));
        return cohort == null ? null : new EffectiveQuota(team, cohort);
    }

    /** Returns the cohort in the team's last readable record, or null. */
    String lastKnownCohort(String teamName) {
        TeamQuota team = teams.get(QuotaRecordCodec.teamKey(teamName));
        return team == null ? null : team.cohort();
    }

    /** See {@link QuotaLedger#mayBelongTo}. */
    boolean mayBelongTo(String teamName, String cohort) {
        String key = QuotaRecordCodec.teamKey(teamName);
        TeamQuota team = teams.get(key);
        return team == null ? unreadable.containsKey(key) : cohort.equals(team.cohort());
    }

    /** See {@link QuotaLedger#isUnreadable}. */
    boolean isUnreadable(String teamName) {
        String key = QuotaRecordCodec.teamKey(teamName);
        if (unreadable.containsKey(key)) {
            return true;
        }
        String cohort = lastKnownCohort(teamName);
        return cohort != null && !cohorts.containsKey(QuotaRecordCodec.cohortKey(cohort));
    }

    /**
     * Applies a listing. Controllers never delete quota records, so a known record that is missing from the listing was
     * either deleted by an operator or is newer than the listing; only the former is removed.
     */
    void accept(Store.Listing listing) {
        Set<String> present = new HashSet<>();
        for (Store.Entry entry : listing.entries()) {
            present.add(entry.key());
            accept(entry);
        }
        long revision = listing.revision();
        teams.entrySet().removeIf(team -> team.getValue().version() <= revision && !present.contains(team.getKey()));
        cohorts.entrySet()
                .removeIf(cohort -> cohort.getValue().version() <= revision && !present.contains(cohort.getKey()));
        unreadable.keySet().retainAll(present);
    }

    void accept(Store.Event event) {
        if (event.value() != null) {
            accept(new Store.Entry(event.key(), event.value(), event.modRevision(), 0));
            return;
        }
        unreadable.remove(event.key());
        teams.remove(event.key());
        cohorts.remove(event.key());
    }

    void accept(Store.Entry entry) {
        try {
            if (QuotaRecordCodec.isCohort(entry.key())) {
                accept(QuotaRecordCodec.decodeCohort(entry));
            } else {
                accept(QuotaRecordCodec.decodeTeam(entry));
            }
        } catch (UnreadableQuotaRecordException failure) {
            acceptUnreadable(entry, failure);
        }
    }

    private void acceptUnreadable(Store.Entry entry, UnreadableQuotaRecordException failure) {
        if (entry.modRevision() < versionOf(entry.key())) {
            return;
        }
        cohorts.remove(entry.key());
        Long knownVersion = unreadable.put(entry.key(), entry.modRevision());
        if (knownVersion == null || knownVersion != entry.modRevision()) {
            LOG.error(
                    "{}: unreadable quota record, no tasks are admitted for its teams: {}",
                    failure.key(),
                    failure.problem());
        }
    }

    private void accept(CohortQuota cohort) {
        String key = QuotaRecordCodec.cohortKey(cohort.name());
        if (isNewer(key, cohort.version())) {
            unreadable.remove(key);
            cohorts.put(key, cohort);
        }
    }

    void accept(TeamQuota team) {
        String key = QuotaRecordCodec.teamKey(team.name());
        if (isNewer(key, team.version())) {
            unreadable.remove(key);
            teams.put(key, team);
            onNewTeamQuota.accept(team);
        }
    }

    private boolean isNewer(String key, long version) {
        return version > versionOf(key) && version > unreadable.getOrDefault(key, 0L);
    }

    /** Returns the version of the readable record under this key, or 0 if there is none. */
    private long versionOf(String key) {
        if (QuotaRecordCodec.isCohort(key)) {
            CohortQuota cohort = cohorts.get(key);
            return cohort == null ? 0 : cohort.version();
        }
        TeamQuota team = teams.get(key);
        return team == null ? 0 : team.version();
    }
}
