package org.weldcourse.simulation;

/** Decides how the tasks on fake workers behave, and is notified of their starts and ends. */
public interface TaskBehavior {
    /** Time from the start of the task to its exit: negative for an exit with an error, {@code Long.MAX_VALUE} for none. */
    long runMicros(String task);

    /** Duration of the image pull. */
    long fetchMicros(String task);

    /** Whether the task belongs to a gang. */
    boolean isGangTask(String task);

    void taskStarted(FakeWorker worker, String task, int attempt);

    /** Called when the machine freezes. */
    void machineFrozen(FakeWorker worker);

    void taskEnded(FakeWorker worker, String task);

    void taskCompleted(String task);

    /** Whether the task may complete now; a gang member may complete only while all members run. */
    boolean mayComplete(String task);
}
