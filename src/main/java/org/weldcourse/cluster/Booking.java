package org.weldcourse.cluster;

import org.weldcourse.workers.TaskId;
import org.weldcourse.workers.TaskState;

/**
 * A task's place on a machine, from its admission until there is evidence that it is gone from there. It counts against the
 * machine's room and the team's quota for all that time. Times are microseconds of the event loop's clock.
 */
public final class Booking {
    private final Job job;
    private final int task;
    private final TaskId taskId;
    private final int attempt;
    private final Machine machine;
    private final long bookedMicros;
    private boolean persisted;
    private String recordKey;
    private boolean reported;
    private boolean startSent;
    private TaskState state;
    private boolean stopRequested;
    private long gracePeriodMicros;
    private boolean stopSent;
    private long runningSinceMicros = -1;
    private boolean startObserved;

    /** A booking that is not on record yet. */
    Booking(Job job, int task, int attempt, Machine machine, long bookedMicros) {
        this.job = job;
        this.task = task;
        this.taskId = new TaskId(job.spec().id(), task);
        this.attempt = attempt;
        this.machine = machine;
        this.bookedMicros = bookedMicros;
    }

    /** The job that the task belongs to. */
    public Job job() {
        return job;
    }

    /** The task's index within its job. */
    public int task() {
        return task;
    }

    /** The name of the task in heartbeats, commands and logs. */
    public TaskId taskId() {
        return taskId;
    }

    /** The number of the attempt, counted up for all tasks of the job. */
    public int attempt() {
        return attempt;
    }

    /** The machine whose room it holds. */
    public Machine machine() {
        return machine;
    }

    /** When it was booked. */
    public long bookedMicros() {
        return bookedMicros;
    }

    /** Whether the store holds the admission; before that the task must not run. */
    public boolean isPersisted() {
        return persisted;
    }

    /** The store holds the admission now. */
    public void markPersisted() {
        persisted = true;
    }

    /** The key of the record that holds the admission, or null before it is known. */
    public String recordKey() {
        return recordKey;
    }

    /** The admission is held by the record under this key, be it moved there or written for the first time. */
    public void setRecordKey(String key) {
        recordKey = key;
    }

    /** Whether the machine listed the task at least once under this leader. */
    public boolean isReported() {
        return reported;
    }

    /** Whether a start went out in answer to the machine's last heartbeat, so that the task may be there unreported. */
    public boolean isStartSent() {
        return startSent;
    }

    /** The state that the machine reported last, or null before the first time. */
    public TaskState state() {
        return state;
    }

    /** Whether the machine reported it as running, or as saving its checkpoint. */
    public boolean isRunning() {
        return state == TaskState.RUNNING || state == TaskState.SAVING_CHECKPOINT;
    }

    /** When it was first reported as running, or -1. */
    public long runningSinceMicros() {
        return runningSinceMicros;
    }

    /** Whether this leader started it from its beginning, so that the time since it was first seen running is all that it ran. */
    boolean isStartObserved() {
        return startObserved;
    }

    /** A start goes out in answer to the heartbeat at hand. */
    public void markStartSent() {
        startSent = true;
        startObserved = job.spec().checkpointIntervalMicros() == 0 || attempt == 1;
    }

    /** A newer heartbeat does not list it: a start that went out before is not on its way any more. */
    public void clearStartSent() {
        startSent = false;
    }

    /** The machine lists it in this state, which is not {@link TaskState#EXITED}; true when it began to run, so that its length can be foretold. */
    public boolean updateState(TaskState newState, long nowMicros) {
        boolean wasRunning = isRunning();
        reported = true;
        startSent = false;
        if (state == newState) {
            return false;
        }
        state = newState;
        machine.invalidateAllocation();
        if (newState != TaskState.FETCHING_IMAGE) {
            machine.cacheImage(job.spec().image(), job.spec().imageGb());
        }
        if (isRunning() && !wasRunning) {
            runningSinceMicros = nowMicros;
            return true;
        }
        return false;
    }

    /** Whether its end was asked for: by its user, for preemption or before its machine is reclaimed. */
    public boolean isStopRequested() {
        return stopRequested;
    }

    /** How long it is given to save its checkpoint once it is told to stop. */
    public long gracePeriodMicros() {
        return gracePeriodMicros;
    }

    /** Whether a stop went out since its end was last asked for. */
    public boolean isStopSent() {
        return stopSent;
    }

    /**
     * Whether its machine has to be told to stop it: what was told to start may be there before any heartbeat shows it, and
     * none may come.
     */
    public boolean needsStopCommand() {
        return stopRequested && (reported || startSent) && !stopSent;
    }

    /** A stop goes out to the machine. */
    public void markStopSent() {
        stopSent = true;
    }

    /** Asks for its end; a longer grace that was asked for before is kept unless this one says none. */
    public void requestStop(long newGracePeriodMicros) {
        if (!stopRequested || newGracePeriodMicros == 0 && gracePeriodMicros != 0) {
            gracePeriodMicros = newGracePeriodMicros;
            stopSent = false;
        }
        stopRequested = true;
        machine.invalidateAllocation();
        machine.hasUnsentCommands = true;
    }
}
