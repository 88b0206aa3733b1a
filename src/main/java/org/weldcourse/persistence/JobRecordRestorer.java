package org.weldcourse.persistence;

import java.util.BitSet;
import org.weldcourse.cluster.Job;
import org.weldcourse.jobs.AdmissionRecordCodec;
import org.weldcourse.jobs.FinishedTasksCodec;
import org.weldcourse.jobs.StoreKeys;
import org.weldcourse.settings.Settings;
import org.weldcourse.store.Store;

/** Reads a job's admission records and shards of finished tasks back, but for the bookings that they hold. */
public final class JobRecordRestorer {
    private final FinishedTaskLayout layout;

    /** A restorer of records that were written under these limits, or by versions that knew only the plain ones. */
    public JobRecordRestorer(Settings.StoreLimits limits) {
        this(new FinishedTaskLayout(limits));
    }

    JobRecordRestorer(FinishedTaskLayout layout) {
        this.layout = layout;
    }

    /**
     * Reads a record under {@code slices/} or {@code done/} back into the job, but for what it says is admitted.
     *
     * @throws org.weldcourse.jobs.UnreadableRecordException if its finished tasks can't be read
     */
    public void restore(Job job, Store.Entry entry) {
        job.records().restore(entry.key(), entry.modRevision(), AdmissionRecordCodec.writeNumber(entry.value()));
        job.recordAttempt(AdmissionRecordCodec.lastAttempt(entry.value()));
        boolean isShard = entry.key().startsWith(StoreKeys.FINISHED_TASKS);
        int firstTask = isShard ? layout.firstTask(entry) : 0;
        restoreDone(job, FinishedTasksCodec.decode(entry.value()), firstTask, isShard || layout.isInAdmissions(job));
    }

    /**
     * Admissions of a job whose finished tasks are kept in shards are written without them. So what a version with larger
     * records left in an admission counts as not persisted, until it stands in a shard.
     */
    private static void restoreDone(Job job, BitSet bits, int firstTask, boolean staysOnRecord) {
        for (int bit = bits.nextSetBit(0);
                bit >= 0 && firstTask + bit < job.spec().tasks();
                bit = bits.nextSetBit(bit + 1)) {
            int task = firstTask + bit;
            job.restoreDone(task, staysOnRecord);
        }
    }
}
