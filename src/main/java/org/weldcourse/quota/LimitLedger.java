package org.weldcourse.quota;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.weldcourse.runtime.Clock;
import org.weldcourse.runtime.ScheduledTask;
import org.weldcourse.runtime.Timers;
import org.weldcourse.settings.Settings;
import org.weldcourse.store.Store;
import org.weldcourse.store.Store.Outcome;

/**
 * A controller's view of the ledger: read once as a list, then by its changes. The view may lag; whatever is decided
 * on it is written on the version that it shows, so that a decision on an old version is refused.
 */
public final class LimitLedger extends ScheduledTask {
    private static final Logger LOG = LoggerFactory.getLogger(LimitLedger.class);
    private static final long RETRY_MICROS = 300_000;
    private static final long WATCH_MICROS = 20_000_000;

    private final Store store;
    private final Timers timers;
    private final Settings settings;
    private final Map<String, TeamLimit> limits = new HashMap<>();
    /** Versions of records that can't be used, by key. */
    private final Map<String, Long> unreadable = new HashMap<>();

    private final Set<String> saidToDiffer = new HashSet<>();
    private final List<Runnable> listeners = new ArrayList<>();
    private boolean loaded;

    /** A view that is filled once it is started. */
    public LimitLedger(Store store, Settings settings, Clock clock, Timers timers) {
        super("limit ledger", clock, timers);
        this.store = store;
        this.timers = timers;
        this.settings = settings;
    }

    /** Runs whenever the view has changed. */
    public void onChange(Runnable listener) {
        listeners.add(listener);
    }

    /** No longer tells this listener. */
    public void removeListener(Runnable listener) {
        listeners.remove(listener);
    }

    /** Whether the whole ledger has been read at least once. */
    public boolean isLoaded() {
        return loaded;
    }

    /** The team's record, or null where it is missing or can't be used. */
    public TeamLimit limit(String team) {
        return limits.get(team);
    }

    /** Whether the team has a record that can't be used: nothing is reserved or admitted for it. */
    public boolean isUnreadable(String team) {
        return unreadable.containsKey(TeamLimitCodec.key(team));
    }

    @Override
    protected long step() {
        store.list(TeamLimitCodec.PREFIX, listing -> {
            if (!isRunning()) {
                return;
            }
            if (listing.outcome() != Outcome.OK) {
                wakeIn(RETRY_MICROS);
                return;
            }
            Set<String> present = new HashSet<>();
            for (Store.Entry entry : listing.entries()) {
                present.add(entry.key());
                accept(entry);
            }
            limits.values().removeIf(limit -> !present.contains(TeamLimitCodec.key(limit.team())));
            unreadable.keySet().retainAll(present);
            loaded = true;
            changed();
            watch(listing.revision());
        });
        return -1;
    }

    private void watch(long revision) {
        store.watch(TeamLimitCodec.PREFIX, revision, WATCH_MICROS, events -> {
            if (!isRunning()) {
                return;
            }
            if (events.outcome() == Outcome.NO) {
                wakeIn(0);
            } else if (events.outcome() == Outcome.OK) {
                events.events().forEach(this::accept);
                if (!events.events().isEmpty()) {
                    changed();
                }
                watch(Math.max(revision, events.revision()));
            } else {
                timers.after(RETRY_MICROS, () -> watch(revision));
            }
        });
    }

    /** Reads one team's record anew, for a decision that was refused or that must not rest on an old view. */
    public void refresh(String team, Runnable then) {
        String key = TeamLimitCodec.key(team);
        store.get(key, read -> {
            if (read.outcome() == Outcome.OK) {
                accept(read.entry());
                changed();
            }
            then.run();
        });
    }

    /** Takes over a record that this controller wrote itself. */
    public void written(TeamLimit limit) {
        if (isNewer(limit.team(), limit.version())) {
            limits.put(limit.team(), limit);
            changed();
        }
    }

    private boolean isNewer(String team, long version) {
        TeamLimit known = limits.get(team);
        return (known == null || version > known.version())
                && version > unreadable.getOrDefault(TeamLimitCodec.key(team), -1L);
    }

    private void accept(Store.Event event) {
        if (event.value() != null) {
            accept(new Store.Entry(event.key(), event.value(), event.version(), 0));
            return;
        }
        unreadable.remove(event.key());
        limits.values().removeIf(limit -> TeamLimitCodec.key(limit.team()).equals(event.key()));
    }

    private void accept(Store.Entry entry) {
        try {
            TeamLimit limit = TeamLimitCodec.read(entry);
            if (isNewer(limit.team(), limit.version())) {
                unreadable.remove(entry.key());
                limits.put(limit.team(), limit);
                compareWithSettings(limit);
            }
        } catch (TeamLimitCodec.Unreadable problem) {
            limits.values().removeIf(limit -> TeamLimitCodec.key(limit.team()).equals(entry.key()));
            if (!Long.valueOf(entry.version()).equals(unreadable.put(entry.key(), entry.version()))) {
                LOG.error("{}: nothing is admitted for this team: {}", entry.key(), problem.getMessage());
            }
        }
    }

    private void compareWithSettings(TeamLimit limit) {
        Settings.Team team = settings.team(limit.team());
        if (team != null && !seed(team).hasSameTerms(limit) && saidToDiffer.add(limit.team())) {
            LOG.warn(
                    "team {}: the limit on record ({}) holds, not the one of this node's settings ({})",
                    limit.team(),
                    limit.limit(),
                    seed(team).limit());
        }
    }

    private void changed() {
        new ArrayList<>(listeners).forEach(Runnable::run);
    }

    /** The record with which a team begins that has none. */
    public static TeamLimit seed(Settings.Team team) {
        return new TeamLimit(
                team.name(),
                Amount.of(team.cpus(), team.gpus()),
                Amount.limit(team.cpusMax(), team.gpusMax()),
                OverLimit.DRAIN,
                Map.of(),
                0);
    }
}
