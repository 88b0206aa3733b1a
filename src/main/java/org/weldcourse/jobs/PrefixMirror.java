package org.weldcourse.jobs;

import java.util.Map;
import java.util.function.Consumer;
import org.weldcourse.store.Store;
import org.weldcourse.store.Store.Outcome;

/** Mirrors all keys under one prefix: lists them once, then reads only their changes. */
final class PrefixMirror {
    private static final long NEVER_READ = -1;

    private final Store store;
    private final String prefix;
    private final Runnable clear;
    private final ChangeListener listener;
    private long revision = NEVER_READ;
    private boolean updating;

    /** Receives changes of keys. */
    interface ChangeListener {
        /** Receives the new value of a key under the prefix, or null if the key was deleted. */
        void accept(String key, Map<String, Object> value);
    }

    /**
     * Creates a mirror; {@code clear} runs before a full listing, whose keys are then all passed to {@code listener}.
     */
    PrefixMirror(Store store, String prefix, Runnable clear, ChangeListener listener) {
        this.store = store;
        this.prefix = prefix;
        this.clear = clear;
        this.listener = listener;
    }

    /**
     * Reads the changes. The outcome is OK after all changes up to this call were passed on, UNKNOWN while another
     * update runs.
     */
    void update(Consumer<Outcome> callback) {
        if (updating) {
            callback.accept(Outcome.UNKNOWN);
            return;
        }
        updating = true;
        Consumer<Outcome> onFinished = outcome -> {
            updating = false;
            callback.accept(outcome);
        };
        if (revision == NEVER_READ) {
            listAll(onFinished);
        } else {
            readChanges(onFinished);
        }
    }

    private void readChanges(Consumer<Outcome> onFinished) {
        store.changes(prefix, revision, events -> {
            if (events.outcome() == Outcome.REFUSED) {
                // The changes since this revision were compacted away.
                listAll(onFinished);
                return;
            }
            if (events.outcome() == Outcome.OK) {
                events.events().forEach(event -> listener.accept(event.key(), event.value()));
                revision = Math.max(revision, events.revision());
            }
            onFinished.accept(events.outcome());
        });
    }

    private void listAll(Consumer<Outcome> onFinished) {
        store.list(prefix, listing -> {
            if (listing.outcome() == Outcome.OK) {
                clear.run();
                listing.entries().forEach(entry -> listener.accept(entry.key(), entry.value()));
                revision = listing.revision();
            }
            onFinished.accept(listing.outcome());
        });
    }
}
