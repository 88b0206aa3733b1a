package org.weldcourse.simulation;

/** What the workers' tasks are, and who must know when one starts or ends. */
public interface TaskBehavior {
    long runMicros(String task);

    /** How long the task waits for its image. */
    long fetchMicros(String task);

    /** Whether the task is one of several that start together. */
    boolean isGangTask(String task);

    void taskStarted(FakeWorker worker, String task, int attempt);

    /** The machine hangs from now on. */
    void machineFrozen(FakeWorker worker);

    void taskEnded(FakeWorker worker, String task);

    void taskCompleted(String task);

    /** Whether nothing keeps the task from its end: a gang goes on only while all of it runs. */
    boolean mayComplete(String task);
}
