package org.weldcourse.persistence;

import org.weldcourse.cluster.Job;
import org.weldcourse.jobs.FinishedTasksCodec;
import org.weldcourse.jobs.StoreKeys;
import org.weldcourse.settings.Settings;
import org.weldcourse.store.Store;

/**
 * Where the finished tasks of a job are kept: as bits in its admission records where those have room for them, else in
 * shards of their own under {@code done/}, each of so many consecutive tasks.
 */
final class FinishedTaskLayout {
    private static final int MAX_SHARD_TASKS = 16_000;
    /**
     * Shards of another size than earlier versions know have numbers from here on and say where they begin. To an earlier
     * version they lie beyond the last task of any job: it leaves them out, where it would else take other tasks for
     * finished.
     */
    private static final int FIRST_FINE_SHARD = 100_000;

    private final int valueBytes;
    /** How versions that know of no lower limits divide finished tasks: the number of a shard says where it begins. */
    private final int plainShardTasks;

    private final int shardTasks;

    FinishedTaskLayout(Settings.StoreLimits limits) {
        this.valueBytes = limits.safeValueBytes();
        this.plainShardTasks = shardTasks(limits.valueBytes());
        this.shardTasks = shardTasks(valueBytes);
    }

    /** Tasks whose bits fit one value as base64, with room for the frame around them. */
    private static int shardTasks(int valueBytes) {
        return Math.min(MAX_SHARD_TASKS, Math.max(1, (valueBytes - 64) / 4 * 3) * 8);
    }

    /** Whether a job's admission records have room for its finished tasks; those of very large ones are kept in shards. */
    boolean isInAdmissions(Job job) {
        return FinishedTasksCodec.maxEncodedBytes(job.spec().tasks()) <= valueBytes / 4;
    }

    /** Bytes that an admission record of the job has for what is admitted. */
    int admissionBytes(Job job) {
        return valueBytes
                - (isInAdmissions(job)
                        ? FinishedTasksCodec.maxEncodedBytes(job.spec().tasks())
                        : 0);
    }

    /** How many consecutive tasks a shard holds. */
    int shardTasks() {
        return shardTasks;
    }

    /**
     * Whether versions that know of no lower limits read a job's shards: its tasks are divided as they would divide
     * them, or all lie in the first shard, which begins at the first task however large it is.
     */
    boolean hasPlainShards(Job job) {
        return shardTasks == plainShardTasks || job.spec().tasks() <= shardTasks;
    }

    /** The key of a job's shard, counted from 0. */
    String shardKey(Job job, int shard) {
        return StoreKeys.finishedTasks(job.spec().id(), hasPlainShards(job) ? shard : FIRST_FINE_SHARD + shard);
    }

    /** The first task that a shard of whatever version speaks of. */
    int firstTask(Store.Entry shard) {
        return FinishedTasksCodec.firstTask(
                shard.value(), (long) StoreKeys.recordNumber(shard.key()) * plainShardTasks);
    }
}
