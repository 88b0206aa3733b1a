package org.weldcourse.cluster;

import java.util.Collection;
import java.util.Collections;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/** A job's records in the store with their mod revisions, and the state of the write that is in flight. */
public final class JobRecords {
    private final Map<String, Long> revisions = new TreeMap<>();
    private final RecordContents contents = new RecordContents();
    private long jobRevision;
    private int lastWriteNumber;
    private boolean writeInFlight;
    private long lastWriteMicros;

    JobRecords(long jobRevision) {
        this.jobRevision = jobRevision;
    }

    /** The revision of the job record, under {@code open/}. */
    public long jobRevision() {
        return jobRevision;
    }

    /** Sets the revision at which the job record was read. */
    public void setJobRevision(long modRevision) {
        jobRevision = modRevision;
    }

    /** The keys of the job's other records, in ascending order. */
    public Set<String> keys() {
        return Collections.unmodifiableSet(revisions.keySet());
    }

    /** The admitted tasks that the records contain. */
    public RecordContents contents() {
        return contents;
    }

    /** Whether a record with this key exists. */
    public boolean contains(String key) {
        return revisions.containsKey(key);
    }

    /** Whether there is no record besides the job record. */
    public boolean isEmpty() {
        return revisions.isEmpty();
    }

    /** The revision of the record with this key, or 0 if it does not exist. */
    public long revision(String key) {
        return revisions.getOrDefault(key, 0L);
    }

    /** Restores a record that was read at this revision, and that the write of this number produced. */
    public void restore(String key, long modRevision, int writeNumber) {
        revisions.put(key, modRevision);
        lastWriteNumber = Math.max(lastWriteNumber, writeNumber);
    }

    /** Replaces the known records after all of them were read again. */
    public void replaceAll(Map<String, Long> newRevisions) {
        revisions.clear();
        revisions.putAll(newRevisions);
    }

    /** Returns the number for the next write. The number identifies a write whose outcome is unknown. */
    public int nextWriteNumber() {
        return ++lastWriteNumber;
    }

    /** Whether a write is in flight; the next one has to wait for its outcome. */
    public boolean isWriteInFlight() {
        return writeInFlight;
    }

    /** Records that a write was sent. */
    public void writeSent(long nowMicros) {
        writeInFlight = true;
        lastWriteMicros = nowMicros;
    }

    /** Records that the store applied the write in flight. */
    public void writeApplied(Collection<String> keys, long modRevision) {
        keys.forEach(key -> revisions.put(key, modRevision));
        writeInFlight = false;
    }

    /** Records that the store refused the write in flight. */
    public void writeRefused() {
        writeInFlight = false;
    }

    /** When the last write was sent, or 0. */
    public long lastWriteMicros() {
        return lastWriteMicros;
    }
}
