package org.weldcourse.persistence;

import java.util.BitSet;
import org.weldcourse.cluster.Job;
import org.weldcourse.jobs.AdmissionRecordCodec;
import org.weldcourse.jobs.FinishedTasksCodec;
import org.weldcourse.jobs.StoreKeys;
import org.weldcourse.settings.Settings;
import org.weldcourse.store.Store;

/** Restores a job's finished tasks, last attempt and revisions from its records; bookings are restored elsewhere. */
public final class JobRecordRestorer {
    private final FinishedTaskLayout layout;

    /** Creates a restorer for records written under these limits, or by versions that don't know the upcoming ones. */
    public JobRecordRestorer(Settings.StoreLimits limits) {
        this(new FinishedTaskLayout(limits));
    }

    JobRecordRestorer(FinishedTaskLayout layout) {
        this.layout = layout;
    }

    /**
     * Restores the content of a record under {@code slices/} or {@code done/}, except its admitted tasks.
     *
     * @throws org.weldcourse.jobs.UnreadableRecordException if the record's finished tasks can't be read
     */
    public void restore(Job job, Store.Entry entry) {
        job.records().restore(entry.key(), entry.modRevision(), AdmissionRecordCodec.writeNumber(entry.value()));
        job.recordAttempt(AdmissionRecordCodec.lastAttempt(entry.value()));
        boolean isShard = entry.key().startsWith(StoreKeys.FINISHED_TASKS);
        int firstTask = isShard ? layout.firstTask(entry) : 0;
        restoreDone(job, FinishedTasksCodec.decode(entry.value()), firstTask, isShard || layout.isInAdmissions(job));
    }

    /**
     * Restores finished tasks. If the job keeps its finished tasks in shards, its admission records are written without
     * them: finished tasks that a version with larger records left in an admission record count as not persisted until
     * they are written to a shard.
     */
    private static void restoreDone(Job job, BitSet bits, int firstTask, boolean keptOnRewrite) {
        int endBit = job.spec().tasks() - firstTask;
        for (int first = bits.nextSetBit(0); first >= 0 && first < endBit; ) {
            int end = Math.min(endBit, bits.nextClearBit(first));
            job.restoreDone(firstTask + first, firstTask + end, keptOnRewrite);
            first = bits.nextSetBit(end);
        }
    }
}
