package org.weldcourse.jobs;

/**
 * Thrown for a submission or a job record with a missing or invalid field; the message names the field and the rule.
 */
public final class InvalidJobException extends Exception {
    private final String field;

    InvalidJobException(String field, String rule) {
        super("field " + field + " must be " + rule);
        this.field = field;
    }

    /** The name of the field in the protocol. */
    public String field() {
        return field;
    }

    /** The text of the 400 response to the user. */
    String responseText() {
        return "missing or invalid field: " + field;
    }
}
