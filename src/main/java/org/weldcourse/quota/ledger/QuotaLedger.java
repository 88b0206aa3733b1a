package org.weldcourse.quota.ledger;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.weldcourse.runtime.Clock;
import org.weldcourse.runtime.ScheduledTask;
import org.weldcourse.runtime.Timers;
import org.weldcourse.settings.Settings;
import org.weldcourse.store.Store;
import org.weldcourse.store.Store.Outcome;

/**
 * A controller's view of the quota records: loaded by a listing and updated by a watch. The view may be stale, so every
 * decision based on it is written on condition that the records still have the versions that the view shows.
 */
public final class QuotaLedger extends ScheduledTask {
    private static final long RETRY_DELAY_MICROS = 300_000;
    private static final long WATCH_TIMEOUT_MICROS = 20_000_000;

    private final Store store;
    private final Timers timers;
    private final QuotaRecords records;
    private final List<Runnable> listeners = new ArrayList<>();
    private long readRevision;
    private boolean loaded;

    /** Creates an empty view, which loads the records once it is started. */
    public QuotaLedger(Store store, Settings settings, Clock clock, Timers timers) {
        super("quota ledger", clock, timers);
        this.store = store;
        this.timers = timers;
        this.records = new QuotaRecords(new SettingsComparison(settings)::compare);
    }

    /** Adds a listener that runs after each change of the view. */
    public void onChange(Runnable listener) {
        listeners.add(listener);
    }

    /** Removes a listener. */
    public void removeListener(Runnable listener) {
        listeners.remove(listener);
    }

    /** Returns whether the whole ledger has been read at least once. */
    public boolean isLoaded() {
        return loaded;
    }

    /** Returns whether all changes of the ledger up to this revision have been read. */
    public boolean isReadUpTo(long revision) {
        return loaded && readRevision >= revision;
    }

    /** Returns the team's record with that of its cohort, or null if either is missing or unreadable. */
    public EffectiveQuota quota(String team) {
        return records.quota(team);
    }

    /**
     * Returns whether the team may belong to the cohort. A team whose record is unreadable is assumed to belong to the
     * cohort in its last readable record, or to any cohort if no readable record was seen.
     */
    public boolean mayBelongTo(String team, String cohort) {
        return records.mayBelongTo(team, cohort);
    }

    /**
     * Returns whether the record of the team or its cohort is unusable, in which case nothing is reserved or admitted
     * for the team.
     */
    public boolean isUnreadable(String team) {
        return records.isUnreadable(team);
    }

    /**
     * Reads the whole ledger again, independently of the running watch. The callback receives whether the read
     * succeeded.
     */
    public void reload(Consumer<Boolean> callback) {
        store.list(QuotaRecordCodec.PREFIX, listing -> {
            boolean isRead = isRunning() && listing.outcome() == Outcome.OK;
            if (isRead) {
                accept(listing);
            }
            callback.accept(isRead);
        });
    }

    /**
     * Reads the records of one team and its cohort again, after a write based on them was refused or when a decision
     * needs a current view. The callback receives whether the read succeeded.
     */
    public void refresh(String team, Consumer<Boolean> callback) {
        read(QuotaRecordCodec.teamKey(team), isRead -> {
            String cohort = records.lastKnownCohort(team);
            if (!isRead || cohort == null) {
                callback.accept(isRead);
            } else {
                read(QuotaRecordCodec.cohortKey(cohort), callback);
            }
        });
    }

    private void read(String key, Consumer<Boolean> callback) {
        store.get(key, read -> {
            if (read.outcome() == Outcome.OK) {
                records.accept(read.entry());
                notifyListeners();
            }
            callback.accept(read.outcome() == Outcome.OK || read.outcome() == Outcome.REFUSED);
        });
    }

    /** Updates the view with a record that this controller wrote. */
    public void recordWritten(TeamQuota quota) {
        records.accept(quota);
        notifyListeners();
    }

    @Override
    protected long step() {
        store.list(QuotaRecordCodec.PREFIX, listing -> {
            if (!isRunning()) {
                return;
            }
            if (listing.outcome() != Outcome.OK) {
                wakeIn(RETRY_DELAY_MICROS);
                return;
            }
            accept(listing);
            watch(listing.revision());
        });
        return -1;
    }

    private void accept(Store.Listing listing) {
        records.accept(listing);
        readRevision = Math.max(readRevision, listing.revision());
        loaded = true;
        notifyListeners();
    }

    private void watch(long revision) {
        store.watch(QuotaRecordCodec.PREFIX, revision, WATCH_TIMEOUT_MICROS, events -> {
            if (!isRunning()) {
                return;
            }
            if (events.outcome() == Outcome.REFUSED) {
                wakeIn(0);
            } else if (events.outcome() == Outcome.OK) {
                events.events().forEach(records::accept);
                readRevision = Math.max(readRevision, events.revision());
                if (!events.events().isEmpty()) {
                    notifyListeners();
                }
                watch(Math.max(revision, events.revision()));
            } else {
                timers.after(RETRY_DELAY_MICROS, () -> watch(revision));
            }
        });
    }

    private void notifyListeners() {
        new ArrayList<>(listeners).forEach(Runnable::run);
    }
}
