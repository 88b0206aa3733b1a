package org.weldcourse.persistence;

import java.util.BitSet;
import java.util.LinkedHashMap;
import java.util.Map;
import org.weldcourse.cluster.Job;
import org.weldcourse.jobs.FinishedTasksCodec;
import org.weldcourse.store.Transaction;

/** Writes the finished tasks of jobs that are too large to keep them in their admission records. */
final class FinishedTaskShards {
    private final FencedCommits fenced;
    private final JobRecordCommits commits;
    private final FinishedTaskLayout layout;
    private final int safeTransactionOps;

    FinishedTaskShards(
            FencedCommits fenced, JobRecordCommits commits, FinishedTaskLayout layout, int safeTransactionOps) {
        this.fenced = fenced;
        this.commits = commits;
        this.layout = layout;
        this.safeTransactionOps = safeTransactionOps;
    }

    /** Writes the shards whose persisted content is out of date, up to the number that one commit may hold. */
    void save(Job job, RecordWriter.WriteCallback callback) {
        BitSet toSave = job.doneTasks();
        int writeNumber = job.records().nextWriteNumber();
        Transaction txn = fenced.newTransaction();
        Map<String, Map<String, Object>> records = new LinkedHashMap<>();
        int shardTasks = layout.shardTasks();
        for (int shard = 0; shard * shardTasks < job.spec().tasks(); shard++) {
            int from = shard * shardTasks;
            int to = Math.min(job.spec().tasks(), from + shardTasks);
            BitSet current = toSave.get(from, to);
            if (records.size() >= safeTransactionOps || current.equals(job.persistedDone(from, to))) {
                toSave.clear(from, to);
                continue;
            }
            records.put(layout.shardKey(job, shard), record(job, current, writeNumber, from));
        }
        commits.commit(job, txn, records, writeNumber, persisted -> {
            if (persisted) {
                job.markDonePersisted(toSave);
            }
            callback.completed(persisted);
        });
    }

    private Map<String, Object> record(Job job, BitSet tasks, int writeNumber, int from) {
        return layout.earlierVersionsCanRead(job)
                ? FinishedTasksCodec.encodeShard(tasks, writeNumber)
                : FinishedTasksCodec.encodeShardFrom(from, tasks, writeNumber);
    }
}
