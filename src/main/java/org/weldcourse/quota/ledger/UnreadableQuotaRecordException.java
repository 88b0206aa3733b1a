package org.weldcourse.quota.ledger;

/** Thrown for a quota record that this version cannot read in full. Nothing may be admitted based on it. */
public final class UnreadableQuotaRecordException extends Exception {
    private final String key;
    private final long format;
    private final String problem;

    UnreadableQuotaRecordException(String key, long format, String problem) {
        super(key + ": " + problem);
        this.key = key;
        this.format = format;
        this.problem = problem;
    }

    /** Returns the key of the record. */
    public String key() {
        return key;
    }

    /**
     * Returns the format stated in the record, or 0 if there is none. This version reads {@link
     * QuotaRecordCodec#FORMAT}.
     */
    public long format() {
        return format;
    }

    /** Returns what is wrong with the value, without the key. */
    public String problem() {
        return problem;
    }
}
