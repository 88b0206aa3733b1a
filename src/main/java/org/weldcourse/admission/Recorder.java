package org.weldcourse.admission;

import java.util.ArrayList;
import java.util.Base64;
import java.util.BitSet;
import java.util.List;
import java.util.Map;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.weldcourse.http.Json;
import org.weldcourse.jobs.Keys;
import org.weldcourse.jobs.SliceCodec;
import org.weldcourse.runtime.Clock;
import org.weldcourse.runtime.Timers;
import org.weldcourse.settings.Settings;
import org.weldcourse.store.Pacer;
import org.weldcourse.store.Store;
import org.weldcourse.store.Store.Outcome;
import org.weldcourse.store.SureCommit;
import org.weldcourse.store.Txn;

/** Puts a leader's decisions on record. Every commit is guarded by the epoch of the term. */
public final class Recorder {
    private static final Logger LOG = LoggerFactory.getLogger(Recorder.class);
    /** Background writes leave this share of the budget to users and other controllers. */
    private static final double SHARE_OF_WRITES = 0.6;
    private static final int MOST_SHARD_TASKS = 16_000;

    private final Store store;
    private final Timers timers;
    private final Settings.State limits;
    private final long epochVersion;
    private final Pacer pacer;
    private final Events events;
    private final int shardTasks;
    private boolean ended;

    /** What the term is told. */
    public interface Events {
        /** Something is on record that workers or the next cycle may act on. */
        void recorded(Job job);

        /** The job's record is not of the revision that was thought: it has to be read again. */
        void stale(Job job);

        /** A guard on the epoch failed: another leader was elected. */
        void outdated();
    }

    public Recorder(Store store, Clock clock, Timers timers, Settings.State limits, long epochVersion,
            Events events) {
        this.store = store;
        this.timers = timers;
        this.limits = limits;
        this.epochVersion = epochVersion;
        this.events = events;
        this.pacer = new Pacer(clock, limits.writesPerSecond() * SHARE_OF_WRITES,
                limits.writesPerSecond() * SHARE_OF_WRITES);
        this.shardTasks = shardTasks(limits.valueBytes());
    }

    /** Tasks whose bits fit one value as base64, with room for the frame around them. */
    static int shardTasks(int valueBytes) {
        return Math.min(MOST_SHARD_TASKS, Math.max(1, (valueBytes - 64) / 4 * 3) * 8);
    }

    /** How many tasks one admission may hold so that its record fits one transaction however scattered they are. */
    static int mostTasksPerAdmission(Settings.State limits) {
        int bytes = Math.min(48 * 1024, limits.valueBytes() * Math.max(1, limits.txnOps() - 2) / 2);
        return Math.max(1, Math.min(2_000, bytes / 16));
    }

    public void end() {
        ended = true;
    }

    private Txn guarded() {
        return new Txn().guard("epoch", epochVersion);
    }

    private void commit(Txn txn, SureCommit.Done done) {
        pacer.spend(txn.ops());
        SureCommit.send(store, timers, txn, () -> !ended, (commit, unclear) -> {
            if (commit.outcome() == Outcome.NO && commit.failed().contains("epoch")) {
                events.outdated();
                return;
            }
            done.accept(commit, unclear);
        });
    }

    public boolean mayWriteInBackground() {
        return pacer.tryTake(1);
    }

    public interface Admitted {
        void accept(boolean onRecord);
    }

    /** Records an admission on the revision of the job that it was decided on. */
    public void admit(Job job, int attempt, Map<String, int[]> tasksByMachine, Admitted then) {
        Txn txn = guarded().guard(Keys.open(job.spec.id()), job.version);
        List<String> keys = new ArrayList<>();
        for (Map<String, Object> part : SliceCodec.parts(attempt, tasksByMachine, limits.valueBytes())) {
            String key = Keys.slice(job.spec.id(), attempt, keys.size());
            keys.add(key);
            txn.guard(key, 0).put(key, part);
        }
        job.keys.addAll(keys);
        commit(txn, (commit, unclear) -> {
            if (commit.outcome() == Outcome.OK) {
                then.accept(true);
            } else if (unclear) {
                // The conditions failed because the first try went through, or because the job changed.
                readBack(keys.get(0), job, keys, then);
            } else {
                job.keys.removeAll(keys);
                then.accept(false);
                events.stale(job);
            }
        });
    }

    private void readBack(String key, Job job, List<String> keys, Admitted then) {
        if (ended) {
            return;
        }
        store.get(key, read -> {
            if (ended) {
                return;
            }
            if (read.outcome() == Outcome.OK) {
                then.accept(true);
            } else if (read.outcome() == Outcome.NO) {
                job.keys.removeAll(keys);
                then.accept(false);
                events.stale(job);
            } else {
                timers.after(250_000, () -> readBack(key, job, keys, then));
            }
        });
    }

    /** Records the finished tasks of a job that goes on, shard by shard. */
    public void saveDone(Job job) {
        if (job.savingDone || !job.hasUnsavedDone() || !mayWriteInBackground()) {
            return;
        }
        BitSet saving = (BitSet) job.done.clone();
        Txn txn = guarded().guard(Keys.open(job.spec.id()), job.version);
        for (int shard = 0; shard * shardTasks < job.spec.tasks() && txn.ops() < limits.txnOps(); shard++) {
            int from = shard * shardTasks;
            int to = Math.min(job.spec.tasks(), from + shardTasks);
            BitSet now = saving.get(from, to);
            if (now.equals(job.savedDone.get(from, to))) {
                saving.clear(from, to);
                continue;
            }
            String key = Keys.doneTasks(job.spec.id(), shard);
            if (!job.keys.contains(key)) {
                job.keys.add(key);
            }
            txn.put(key, Json.of("bits", Base64.getEncoder().encodeToString(now.toByteArray())));
        }
        job.savingDone = true;
        commit(txn, (commit, unclear) -> {
            job.savingDone = false;
            if (commit.outcome() == Outcome.OK) {
                job.savedDone.or(saving);
                events.recorded(job);
            } else {
                events.stale(job);
            }
        });
    }

    /** Reads a record under {@code done/} back into the job. */
    public void restoreDone(Job job, Store.Entry entry) {
        int shard = Integer.parseInt(entry.key().substring(entry.key().lastIndexOf('/') + 1));
        BitSet bits = BitSet.valueOf(Base64.getDecoder().decode(Json.text(entry.value(), "bits")));
        for (int bit = bits.nextSetBit(0); bit >= 0; bit = bits.nextSetBit(bit + 1)) {
            int task = shard * shardTasks + bit;
            if (task < job.spec.tasks()) {
                job.done.set(task);
                job.savedDone.set(task);
                job.pending.clear(task);
            }
        }
    }

    /** Moves a job that is over to its final record; the rest of its records follow in their own time. */
    public void close(Job job) {
        if (job.closing || job.closed) {
            return;
        }
        job.closing = true;
        String id = job.spec.id();
        String state = job.cancelled ? "cancelled" : "done";
        Txn txn = guarded().guard(Keys.open(id), job.version)
                .delete(Keys.open(id))
                .put(Keys.done(id), Json.of("heat", state, "done", job.done.cardinality()));
        List<String> rest = new ArrayList<>(job.keys);
        while (!rest.isEmpty() && txn.ops() < limits.txnOps()) {
            txn.delete(rest.remove(rest.size() - 1));
        }
        commit(txn, (commit, unclear) -> {
            if (commit.outcome() == Outcome.OK) {
                closed(job, state, rest);
            } else if (unclear) {
                confirmClosed(job, state, rest);
            } else {
                job.closing = false;
                events.stale(job);
            }
        });
    }

    private void confirmClosed(Job job, String state, List<String> rest) {
        if (ended) {
            return;
        }
        store.get(Keys.done(job.spec.id()), read -> {
            if (ended) {
                return;
            }
            if (read.outcome() == Outcome.OK) {
                closed(job, state, rest);
            } else if (read.outcome() == Outcome.NO) {
                job.closing = false;
                events.stale(job);
            } else {
                timers.after(250_000, () -> confirmClosed(job, state, rest));
            }
        });
    }

    private void closed(Job job, String state, List<String> rest) {
        LOG.info("{} is {}", job.spec.id(), state);
        job.closed = true;
        job.closing = false;
        sweep(rest);
        events.recorded(job);
    }

    /** Deletes records that no open job needs any more. */
    public void sweep(List<String> keys) {
        if (keys.isEmpty() || ended) {
            return;
        }
        if (!mayWriteInBackground()) {
            timers.after(1_000_000, () -> sweep(keys));
            return;
        }
        int some = Math.min(keys.size(), limits.txnOps());
        Txn txn = guarded();
        keys.subList(0, some).forEach(txn::delete);
        List<String> rest = new ArrayList<>(keys.subList(some, keys.size()));
        commit(txn, (commit, unclear) -> sweep(rest));
    }
}
