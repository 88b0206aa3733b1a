package org.weldcourse.cluster;

import java.util.Collection;
import java.util.Collections;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/** The records that the store holds of a job, with their mod revisions, and the write of them that is under way. */
public final class JobRecords {
    private final Map<String, Long> revisions = new TreeMap<>();
    private long jobRevision;
    private int lastWriteNumber;
    private boolean writeInFlight;
    private long lastWriteMicros;

    JobRecords(long jobRevision) {
        this.jobRevision = jobRevision;
    }

    /** The revision of the job's own record, under {@code open/}. */
    public long jobRevision() {
        return jobRevision;
    }

    /** The job's own record was read as of this revision. */
    public void setJobRevision(long modRevision) {
        jobRevision = modRevision;
    }

    /** The keys of its other records, in their order. */
    public Set<String> keys() {
        return Collections.unmodifiableSet(revisions.keySet());
    }

    /** Whether there is such a record. */
    public boolean contains(String key) {
        return revisions.containsKey(key);
    }

    /** Whether there is none besides the job's own. */
    public boolean isEmpty() {
        return revisions.isEmpty();
    }

    /** The revision of this record, or 0 when there is none. */
    public long revision(String key) {
        return revisions.getOrDefault(key, 0L);
    }

    /** A record was read as of this revision, which comes from the write of this number. */
    public void restore(String key, long modRevision, int writeNumber) {
        revisions.put(key, modRevision);
        lastWriteNumber = Math.max(lastWriteNumber, writeNumber);
    }

    /** All records were read anew. */
    public void replaceAll(Map<String, Long> newRevisions) {
        revisions.clear();
        revisions.putAll(newRevisions);
    }

    /** Numbers a write: by its number, one without an answer is told from others. */
    public int nextWriteNumber() {
        return ++lastWriteNumber;
    }

    /** Whether a write is under way; the next one needs to know what came of it. */
    public boolean isWriteInFlight() {
        return writeInFlight;
    }

    /** A write is sent. */
    public void writeSent(long nowMicros) {
        writeInFlight = true;
        lastWriteMicros = nowMicros;
    }

    /** The write under way was applied. */
    public void writeApplied(Collection<String> keys, long modRevision) {
        keys.forEach(key -> revisions.put(key, modRevision));
        writeInFlight = false;
    }

    /** The write under way was refused. */
    public void writeRefused() {
        writeInFlight = false;
    }

    /** When a write was last sent, or 0. */
    public long lastWriteMicros() {
        return lastWriteMicros;
    }
}
