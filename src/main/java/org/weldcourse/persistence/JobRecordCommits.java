package org.weldcourse.persistence;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.weldcourse.cluster.Job;
import org.weldcourse.jobs.AdmissionRecordCodec;
import org.weldcourse.jobs.StoreKeys;
import org.weldcourse.runtime.Clock;
import org.weldcourse.runtime.Timers;
import org.weldcourse.store.Store;
import org.weldcourse.store.Store.Outcome;
import org.weldcourse.store.Transaction;

/** Writes a job's records, one commit at a time, and keeps track of their revisions. */
final class JobRecordCommits {
    private final Store store;
    private final Clock clock;
    private final Timers timers;
    private final FencedCommits fenced;
    private final ConfirmedCommits commits;
    private final RecordWriter.Listener listener;

    JobRecordCommits(
            Store store,
            Clock clock,
            Timers timers,
            FencedCommits fenced,
            ConfirmedCommits commits,
            RecordWriter.Listener listener) {
        this.store = store;
        this.clock = clock;
        this.timers = timers;
        this.fenced = fenced;
        this.commits = commits;
        this.listener = listener;
    }

    /**
     * Commits records of a job. Each record contains the number of this write, which identifies it when it is read back
     * after a commit without a response. Each write is conditional on the record's revision: an abandoned attempt may
     * be applied late, and would restore entries that a later write removed.
     */
    void commit(
            Job job,
            Transaction txn,
            Map<String, Map<String, Object>> records,
            int writeNumber,
            RecordWriter.WriteCallback callback) {
        txn.ifModRevision(StoreKeys.openJob(job.spec().id()), job.records().jobRevision());
        records.forEach((key, record) ->
                txn.ifModRevision(key, job.records().revision(key)).put(key, record));
        job.records().writeSent(clock.nowMicros());
        commits.send(
                job.spec().id(),
                txn,
                records.keySet().iterator().next(),
                entry -> AdmissionRecordCodec.writeNumber(entry.value()) == writeNumber,
                new ConfirmedCommits.Result() {
                    @Override
                    public void written(long modRevision) {
                        job.records().writeApplied(records.keySet(), modRevision);
                        callback.completed(true);
                    }

                    @Override
                    public void conditionsFailed(List<Object> keys) {
                        listener.conditionsFailed(job, keys);
                    }

                    @Override
                    public void refused() {
                        job.records().writeRefused();
                        callback.completed(false);
                        listener.jobRecordChanged(job);
                    }
                });
    }

    /** Reads the revisions of a job's records again, after a write that failed its conditions on them. */
    void rereadRevisions(Job job, Runnable callback) {
        store.list(
                StoreKeys.admissions(job.spec().id()),
                admissions -> store.list(StoreKeys.FINISHED_TASKS + job.spec().id() + "/", shards -> {
                    if (fenced.isStopped()) {
                        return;
                    }
                    if (admissions.outcome() != Outcome.OK || shards.outcome() != Outcome.OK) {
                        timers.after(ConfirmedCommits.READ_RETRY_MICROS, () -> rereadRevisions(job, callback));
                        return;
                    }
                    Map<String, Long> revisions = new HashMap<>();
                    admissions.entries().forEach(entry -> revisions.put(entry.key(), entry.modRevision()));
                    shards.entries().forEach(entry -> revisions.put(entry.key(), entry.modRevision()));
                    job.records().replaceAll(revisions);
                    callback.run();
                }));
    }
}
