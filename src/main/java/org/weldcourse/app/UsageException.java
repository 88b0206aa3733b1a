package org.weldcourse.app;

/** Thrown for an invalid or incomplete command line. The message is one line. */
final class UsageException extends Exception {
    private static final long serialVersionUID = 1;

    UsageException(String message) {
        super(message);
    }
}
