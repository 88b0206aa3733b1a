package org.weldcourse.persistence;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.weldcourse.cluster.Admission;
import org.weldcourse.cluster.Job;
import org.weldcourse.jobs.AdmissionRecordCodec;
import org.weldcourse.jobs.AdmittedTasks;
import org.weldcourse.jobs.StoreKeys;
import org.weldcourse.store.Transaction;

/**
 * Writes the records of a job's admitted tasks. A large admission is split into several records, each within the
 * store's size limit. Where the layout has room for them, each record also contains all of the job's finished tasks.
 */
final class AdmissionRecords {
    private final FencedCommits fenced;
    private final JobRecordCommits commits;
    private final FinishedTaskLayout layout;
    private final int safeTransactionOps;
    private final RecordWriter.Listener listener;

    AdmissionRecords(
            FencedCommits fenced,
            JobRecordCommits commits,
            FinishedTaskLayout layout,
            int safeTransactionOps,
            RecordWriter.Listener listener) {
        this.fenced = fenced;
        this.commits = commits;
        this.layout = layout;
        this.safeTransactionOps = safeTransactionOps;
        this.listener = listener;
    }

    /**
     * Writes an admission with the given commit, which may already hold conditions. If it fits, the admission is added
     * to an existing record of the job, together with the finished tasks: the store limits the rate of writes more
     * tightly than their size. Nothing is written if the records would then admit more than the team's limit.
     */
    void admit(Job job, Admission admission, Transaction txn, RecordWriter.WriteCallback callback) {
        Map<String, AdmittedTasks> writes = new LinkedHashMap<>();
        for (String key : keysToExtend(job)) {
            if (key.startsWith(StoreKeys.ADMISSIONS)) {
                AdmittedTasks combined = currentContent(job, key).addAll(admission.unpersistedTasks());
                if (combined.split(layout.admissionBytes(job)).size() == 1) {
                    writes.put(key, combined);
                    break;
                }
            }
        }
        if (writes.isEmpty()) {
            writes.putAll(splitIntoRecords(job, admission.unpersistedTasks(), null));
        }
        if (!mustTakeReleasedTasksOffRecord(job)) {
            write(job, txn, writes, callback);
            return;
        }
        addRecordsWithReleasedTasks(job, writes);
        int left = job.releasedTaskCountAfterWriteOf(writes.keySet(), layout.isInAdmissions(job));
        boolean keepsZones = left == 0 || !job.spec().hasZoneConstraint();
        if (keepsZones && listener.allowsOnRecord(job, job.releasedTaskCount() - left)) {
            write(job, txn, writes, callback);
            return;
        }
        callback.completed(false);
        removeReleasedTasks(job, persisted -> listener.recordWritten(job));
    }

    /**
     * Whether released tasks on record matter: a later leader that started them could exceed the team's limit, or start
     * them in other zones than the job's present ones.
     */
    private boolean mustTakeReleasedTasksOffRecord(Job job) {
        return job.spec().hasZoneConstraint() || listener.isQuotaLimited(job);
    }

    /** The job's records in the order in which an admission tries to extend them: those that it rewrites anyway first. */
    private List<String> keysToExtend(Job job) {
        List<String> keys = new ArrayList<>(job.records().keys());
        if (mustTakeReleasedTasksOffRecord(job)) {
            Set<String> released = job.keysOfReleasedTasks(layout.isInAdmissions(job));
            keys.sort(Comparator.comparing(key -> !released.contains(key)));
        }
        return keys;
    }

    /** Adds rewrites of the records that contain released tasks, as many as one transaction may hold. */
    private void addRecordsWithReleasedTasks(Job job, Map<String, AdmittedTasks> writes) {
        for (String key : job.keysOfReleasedTasks(layout.isInAdmissions(job))) {
            AdmittedTasks current = currentContent(job, key);
            boolean fitsOneRecord = current.split(layout.admissionBytes(job)).size() <= 1;
            if (fitsOneRecord && writes.size() < safeTransactionOps) {
                writes.putIfAbsent(key, current);
            }
        }
    }

    /** Takes released tasks off the job's records with one transaction. */
    void removeReleasedTasks(Job job, RecordWriter.WriteCallback callback) {
        if (job.releasedTaskCount() == 0) {
            return;
        }
        Set<String> keys = job.keysOfReleasedTasks(layout.isInAdmissions(job));
        if (keys.isEmpty()) {
            // All of them have finished, and each record contains all finished tasks.
            saveFinishedTasks(job, callback);
            return;
        }
        Map<String, AdmittedTasks> writes = new LinkedHashMap<>();
        addRecordsWithReleasedTasks(job, writes);
        if (writes.isEmpty()) {
            // A record that was written under larger limits has to be split.
            String key = keys.iterator().next();
            writes.putAll(splitIntoRecords(job, currentContent(job, key), key));
        }
        if (writes.size() <= safeTransactionOps) {
            write(job, fenced.newTransaction(), writes, callback);
        }
    }

    /** Saves the finished tasks by rewriting the one of the job's records that needs the fewest writes. */
    void saveFinishedTasks(Job job, RecordWriter.WriteCallback callback) {
        Map<String, AdmittedTasks> smallest = null;
        for (String key : job.records().keys()) {
            if (!key.startsWith(StoreKeys.ADMISSIONS)) {
                continue;
            }
            // A record that was written under larger limits may have to be split.
            AdmittedTasks current = currentContent(job, key);
            Map<String, AdmittedTasks> writes =
                    current.isEmpty() ? Map.of(key, current) : splitIntoRecords(job, current, key);
            if (smallest == null || writes.size() < smallest.size()) {
                smallest = writes;
            }
            if (smallest.size() == 1) {
                break;
            }
        }
        if (smallest != null && smallest.size() <= safeTransactionOps) {
            write(job, fenced.newTransaction(), smallest, callback);
        }
    }

    /** Distributes admitted tasks over {@code firstKey}, if it is not null, and as many new records as needed. */
    private Map<String, AdmittedTasks> splitIntoRecords(Job job, AdmittedTasks admitted, String firstKey) {
        Map<String, AdmittedTasks> writes = new LinkedHashMap<>();
        String key = firstKey;
        int number = 0;
        for (AdmittedTasks part : admitted.split(layout.admissionBytes(job))) {
            while (key == null) {
                String next = StoreKeys.admission(job.spec().id(), number++);
                key = job.records().contains(next) ? null : next;
            }
            writes.put(key, part);
            key = null;
        }
        return writes;
    }

    /** The admitted tasks that a record must still contain: those of its current bookings. */
    private static AdmittedTasks currentContent(Job job, String key) {
        return job.records().contents().booked(key, job);
    }

    private void write(
            Job job, Transaction txn, Map<String, AdmittedTasks> writes, RecordWriter.WriteCallback callback) {
        BitSet done = layout.isInAdmissions(job) ? job.doneTasks() : null;
        Map<String, BitSet> releasedBefore = job.releasedTasks().in(writes.keySet());
        int left = job.releasedTaskCountAfterWriteOf(writes.keySet(), done != null);
        job.releasedTasks().beginWrite(job.releasedTaskCount() - left);
        int writeNumber = job.records().nextWriteNumber();
        Map<String, Map<String, Object>> records = new LinkedHashMap<>();
        writes.forEach((key, part) ->
                records.put(key, AdmissionRecordCodec.encode(part, job.lastAttempt(), writeNumber, done)));
        commits.commit(job, txn, records, writeNumber, persisted -> {
            job.releasedTasks().endWrite();
            if (persisted && done != null) {
                job.markDonePersisted(done);
            }
            if (persisted) {
                job.releasedTasks().removeAll(releasedBefore);
                writes.forEach((key, part) -> recordContent(job, key, part));
            }
            callback.completed(persisted);
        });
    }

    /** Notes the content of a record that was written, and the tasks there that were released during the write. */
    private static void recordContent(Job job, String key, AdmittedTasks written) {
        job.records().contents().replace(key, written);
        written.visitOutside(job.bookings().admitted(), (machine, attempt, first, last) -> job.releasedTasks()
                .add(key, first, last));
    }
}
