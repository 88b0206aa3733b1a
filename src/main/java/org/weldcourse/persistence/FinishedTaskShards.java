package org.weldcourse.persistence;

import java.util.BitSet;
import java.util.LinkedHashMap;
import java.util.Map;
import org.weldcourse.cluster.Job;
import org.weldcourse.jobs.FinishedTasksCodec;
import org.weldcourse.store.Transaction;

/** The records of the finished tasks of a job that is too large to keep them in its admissions. */
final class FinishedTaskShards {
    private final FencedCommits fenced;
    private final JobRecordCommits commits;
    private final FinishedTaskLayout layout;
    private final int txnOps;

    FinishedTaskShards(FencedCommits fenced, JobRecordCommits commits, FinishedTaskLayout layout, int txnOps) {
        this.fenced = fenced;
        this.commits = commits;
        this.layout = layout;
        this.txnOps = txnOps;
    }

    /** Writes the shards whose tasks are not on record as they are, as many as one commit may hold. */
    void save(Job job, RecordWriter.WriteCallback then) {
        BitSet saving = job.doneTasks();
        int writeNumber = job.records().nextWriteNumber();
        Transaction txn = fenced.fenced();
        Map<String, Map<String, Object>> records = new LinkedHashMap<>();
        int shardTasks = layout.shardTasks();
        for (int shard = 0; shard * shardTasks < job.spec().tasks(); shard++) {
            int from = shard * shardTasks;
            int to = Math.min(job.spec().tasks(), from + shardTasks);
            BitSet now = saving.get(from, to);
            if (records.size() >= txnOps || now.equals(job.persistedDone(from, to))) {
                saving.clear(from, to);
                continue;
            }
            records.put(layout.shardKey(job, shard), record(job, now, writeNumber, from));
        }
        commits.commit(job, txn, records, writeNumber, onRecord -> {
            if (onRecord) {
                job.markDonePersisted(saving);
            }
            then.completed(onRecord);
        });
    }

    private Map<String, Object> record(Job job, BitSet tasks, int writeNumber, int from) {
        return layout.hasPlainShards(job)
                ? FinishedTasksCodec.encodeShard(tasks, writeNumber)
                : FinishedTasksCodec.encodeShardFrom(from, tasks, writeNumber);
    }
}
