package org.weldcourse.persistence;

import java.util.BitSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.weldcourse.cluster.Booking;
import org.weldcourse.cluster.Job;
import org.weldcourse.jobs.AdmissionRecordCodec;
import org.weldcourse.jobs.AdmittedTasks;
import org.weldcourse.jobs.StoreKeys;
import org.weldcourse.store.Transaction;

/**
 * The records of what is admitted of a job. A large admission is spread over several, each of a size that the store allows;
 * where the layout has room for it, each carries all of the job's finished tasks too.
 */
final class AdmissionRecords {
    private final FencedCommits fenced;
    private final JobRecordCommits commits;
    private final FinishedTaskLayout layout;
    private final int txnOps;

    AdmissionRecords(FencedCommits fenced, JobRecordCommits commits, FinishedTaskLayout layout, int txnOps) {
        this.fenced = fenced;
        this.commits = commits;
        this.layout = layout;
        this.txnOps = txnOps;
    }

    /**
     * Writes an admission in this commit, which may hold conditions of its own. It goes into a record that the job has
     * already, along with what is finished, as long as it fits: changes are dear, their size is not.
     */
    void admit(Job job, int attempt, List<Booking> booked, Transaction txn, RecordWriter.WriteCallback then) {
        Map<String, AdmittedTasks> writes = new LinkedHashMap<>();
        for (String key : job.records().keys()) {
            if (key.startsWith(StoreKeys.ADMISSIONS)) {
                AdmittedTasks both = addAll(standing(job, key), attempt, booked);
                if (both.split(layout.admissionBytes(job)).size() == 1) {
                    writes.put(key, both);
                    break;
                }
            }
        }
        if (writes.isEmpty()) {
            writes.putAll(spread(job, addAll(new AdmittedTasks(), attempt, booked), null));
        }
        write(job, txn, writes, then);
    }

    private static AdmittedTasks addAll(AdmittedTasks admitted, int attempt, List<Booking> booked) {
        booked.forEach(booking -> admitted.add(booking.machine().name, attempt, booking.task()));
        return admitted;
    }

    /** Writes one of the job's records anew, so that it carries what is finished by now; the one that takes the least changes. */
    void saveDone(Job job, RecordWriter.WriteCallback then) {
        Map<String, AdmittedTasks> smallest = null;
        for (String key : job.records().keys()) {
            if (!key.startsWith(StoreKeys.ADMISSIONS)) {
                continue;
            }
            // One that was written under larger limits may have to be divided.
            AdmittedTasks standing = standing(job, key);
            Map<String, AdmittedTasks> writes = standing.isEmpty() ? Map.of(key, standing) : spread(job, standing, key);
            if (smallest == null || writes.size() < smallest.size()) {
                smallest = writes;
            }
            if (smallest.size() == 1) {
                break;
            }
        }
        if (smallest != null && smallest.size() <= txnOps) {
            write(job, fenced.fenced(), smallest, then);
        }
    }

    /** Spreads what is admitted over a record that the job has, if one is named, and as many new ones as it takes. */
    private Map<String, AdmittedTasks> spread(Job job, AdmittedTasks admitted, String firstKey) {
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

    /** What a record has to go on holding. */
    private static AdmittedTasks standing(Job job, String key) {
        AdmittedTasks standing = new AdmittedTasks();
        for (Booking booking : job.bookings()) {
            if (key.equals(booking.recordKey())) {
                standing.add(booking.machine().name, booking.attempt(), booking.task());
            }
        }
        return standing;
    }

    private void write(Job job, Transaction txn, Map<String, AdmittedTasks> writes, RecordWriter.WriteCallback then) {
        BitSet done = layout.isInAdmissions(job) ? job.doneTasks() : null;
        int writeNumber = job.records().nextWriteNumber();
        Map<String, Map<String, Object>> records = new LinkedHashMap<>();
        writes.forEach((key, part) ->
                records.put(key, AdmissionRecordCodec.encode(part, job.lastAttempt(), writeNumber, done)));
        commits.commit(job, txn, records, writeNumber, onRecord -> {
            if (onRecord && done != null) {
                job.markDonePersisted(done);
            }
            if (onRecord) {
                writes.forEach((key, part) -> nameRecord(job, key, part));
            }
            then.completed(onRecord);
        });
    }

    private static void nameRecord(Job job, String key, AdmittedTasks part) {
        part.visit((machine, attempt, first, last) -> {
            for (int task = first; task <= last; task++) {
                Booking booking = job.booking(task);
                if (booking != null && booking.attempt() == attempt) {
                    booking.setRecordKey(key);
                }
            }
        });
    }
}
