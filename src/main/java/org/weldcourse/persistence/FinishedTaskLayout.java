package org.weldcourse.persistence;

import org.weldcourse.cluster.Job;
import org.weldcourse.jobs.FinishedTasksCodec;
import org.weldcourse.jobs.StoreKeys;
import org.weldcourse.settings.Settings;
import org.weldcourse.store.Store;

/**
 * The storage layout of a job's finished tasks: bits in its admission records where those have room for them, otherwise
 * shards under {@code done/}, each for a fixed number of consecutive tasks.
 */
final class FinishedTaskLayout {
    private static final int MAX_SHARD_TASKS = 16_000;
    /**
     * First number of shards whose size differs from the default. These shards contain the index of their first task.
     * Earlier versions compute the first task from the number: they place these shards beyond the last task of any job
     * and ignore them, instead of marking wrong tasks as finished.
     */
    private static final int FIRST_CUSTOM_SIZE_SHARD = 100_000;

    private final int safeValueBytes;
    /**
     * Tasks per shard under the current limits alone. Versions that don't know the upcoming limits use this size to
     * compute a shard's first task from its number.
     */
    private final int defaultShardTasks;

    private final int shardTasks;

    FinishedTaskLayout(Settings.StoreLimits limits) {
        this.safeValueBytes = limits.safeValueBytes();
        this.defaultShardTasks = shardTasks(limits.maxValueBytes());
        this.shardTasks = shardTasks(safeValueBytes);
    }

    /** The number of tasks whose bits fit into one value as base64, with room for the other fields. */
    private static int shardTasks(int valueBytes) {
        return Math.min(MAX_SHARD_TASKS, Math.max(1, (valueBytes - 64) / 4 * 3) * 8);
    }

    /**
     * Whether a job's admission records have room for its finished tasks; those of very large jobs are kept in shards.
     */
    boolean isInAdmissions(Job job) {
        return FinishedTasksCodec.maxEncodedBytes(job.spec().tasks()) <= safeValueBytes / 4;
    }

    /** The bytes that an admission record of the job can use for admitted tasks. */
    int admissionBytes(Job job) {
        return safeValueBytes
                - (isInAdmissions(job)
                        ? FinishedTasksCodec.maxEncodedBytes(job.spec().tasks())
                        : 0);
    }

    /** The number of consecutive tasks in a shard. */
    int shardTasks() {
        return shardTasks;
    }

    /**
     * Whether versions that don't know the upcoming limits can read the job's shards: either the shard size is the
     * default, or all tasks are in the first shard, which starts at task 0 whatever its size.
     */
    boolean earlierVersionsCanRead(Job job) {
        return shardTasks == defaultShardTasks || job.spec().tasks() <= shardTasks;
    }

    /** The key of a job's shard; shards are counted from 0. */
    String shardKey(Job job, int shard) {
        return StoreKeys.finishedTasks(
                job.spec().id(), earlierVersionsCanRead(job) ? shard : FIRST_CUSTOM_SIZE_SHARD + shard);
    }

    /** The first task of a shard that was written by any version. */
    int firstTask(Store.Entry shard) {
        return FinishedTasksCodec.firstTask(
                shard.value(), (long) StoreKeys.recordNumber(shard.key()) * defaultShardTasks);
    }
}
