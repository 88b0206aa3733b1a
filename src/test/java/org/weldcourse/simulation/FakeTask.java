package org.weldcourse.simulation;

/** One attempt of a task on a fake worker. */
final class FakeTask {
    static final String FETCHING = "fetching";
    static final String GATHERING = "gathering";
    static final String RUNNING = "running";
    static final String EXITED = "exited";

    final int attempt;
    String state = FETCHING;
    String cause;

    FakeTask(int attempt) {
        this.attempt = attempt;
    }

    boolean isExited() {
        return state.equals(EXITED);
    }
}
