package org.weldcourse.quota.enforcement;

import java.util.ArrayList;
import java.util.List;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.weldcourse.persistence.RecordWriter;
import org.weldcourse.quota.ledger.QuotaLedger;
import org.weldcourse.quota.ledger.QuotaRecordCodec;
import org.weldcourse.quota.ledger.TeamQuota;
import org.weldcourse.settings.Settings;
import org.weldcourse.store.Transaction;

/** Writes the quota from the leader's settings to the ledger for teams that have no record. */
final class QuotaSeeder {
    private static final Logger LOG = LoggerFactory.getLogger(QuotaSeeder.class);
    private static final long SEED_INTERVAL_MICROS = 1_000_000;

    private final Settings settings;
    private final QuotaLedger ledger;
    private final RecordWriter recordWriter;
    private long nextSeedMicros;

    QuotaSeeder(Settings settings, QuotaLedger ledger, RecordWriter recordWriter) {
        this.settings = settings;
        this.ledger = ledger;
        this.recordWriter = recordWriter;
    }

    /** Writes missing records, at most once per second and as many as fit one transaction. */
    void seedMissing(long nowMicros) {
        if (!ledger.isLoaded() || nowMicros < nextSeedMicros) {
            return;
        }
        nextSeedMicros = nowMicros + SEED_INTERVAL_MICROS;
        List<TeamQuota> missing = new ArrayList<>();
        for (Settings.Team team : settings.teams()) {
            boolean absent = ledger.quota(team.name()) == null && !ledger.isUnreadable(team.name());
            if (absent && missing.size() < settings.storeLimits().safeTransactionOps()) {
                missing.add(TeamQuota.ofSettings(team));
            }
        }
        if (!missing.isEmpty()) {
            recordWriter.writeInBackground(
                    txn -> missing.forEach(quota -> putIfAbsent(txn, quota)), (commit, afterTimeout) -> {
                        LOG.info(
                                "writing {} team limits from settings to the quota ledger: {}",
                                missing.size(),
                                commit.outcome());
                        missing.forEach(quota -> ledger.refresh(quota.name(), isRead -> {}));
                    });
        }
    }

    private static void putIfAbsent(Transaction txn, TeamQuota quota) {
        String key = QuotaRecordCodec.teamKey(quota.name());
        txn.ifModRevision(key, 0).put(key, QuotaRecordCodec.encode(quota));
    }
}
