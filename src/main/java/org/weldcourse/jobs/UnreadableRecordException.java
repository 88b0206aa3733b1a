package org.weldcourse.jobs;

/** Thrown for a stored record that this version can't decode; the message gives the reason. */
public final class UnreadableRecordException extends RuntimeException {
    UnreadableRecordException(String message) {
        super(message);
    }

    UnreadableRecordException(String message, Throwable cause) {
        super(message, cause);
    }
}
