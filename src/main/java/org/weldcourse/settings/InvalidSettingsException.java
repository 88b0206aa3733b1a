package org.weldcourse.settings;

/**
 * Thrown for an invalid settings file of the platform or the operators. The one-line message names the invalid field
 * and the reason.
 */
public final class InvalidSettingsException extends Exception {
    private static final long serialVersionUID = 1;

    /** The kinds of problems. */
    public enum Problem {
        /** The file cannot be read. */
        UNREADABLE,
        /** The file is not in the expected format. */
        MALFORMED,
        /** A field or table is missing or has the wrong type. */
        MISSING_OR_INVALID,
        /** A value is not allowed. */
        OUT_OF_RANGE,
        /** There is no field or element of this name. */
        UNKNOWN
    }

    private final Problem problem;
    private final String field;

    /**
     * Creates an exception for one field or for a whole file.
     *
     * @param field the name of the field, table or element in the file, or the name of the file
     * @param message one line with the name of the field and the reason
     */
    public InvalidSettingsException(Problem problem, String field, String message) {
        super(message);
        this.problem = problem;
        this.field = field;
    }

    /** Returns the same error for a field inside the named table. */
    InvalidSettingsException inTable(String table) {
        return new InvalidSettingsException(problem, table + "." + field, table + ": " + getMessage());
    }

    /** The kind of problem. */
    public Problem problem() {
        return problem;
    }

    /** The name of the invalid field, table or element, or of the file. */
    public String field() {
        return field;
    }
}
