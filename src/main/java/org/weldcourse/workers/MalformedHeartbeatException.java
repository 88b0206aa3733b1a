package org.weldcourse.workers;

/** Thrown for a body that is not a valid heartbeat; the message names the fields as the protocol does. */
public final class MalformedHeartbeatException extends Exception {
    MalformedHeartbeatException(String message) {
        super(message);
    }

    MalformedHeartbeatException(String message, Throwable cause) {
        super(message, cause);
    }
}
