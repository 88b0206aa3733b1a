package org.weldcourse.cluster;

import org.weldcourse.workers.TaskId;
import org.weldcourse.workers.TaskState;

/**
 * The reservation of machine resources for one attempt of a task. It counts against the machine's capacity and the
 * team's quota from admission until it is released for a {@link ReleaseReason}. Times are in microseconds of the event
 * loop's clock.
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

    /** Creates a booking that is not persisted yet. */
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

    /** The id of the task in heartbeats, commands and logs. */
    public TaskId taskId() {
        return taskId;
    }

    /** The attempt number, which increases across all tasks of the job. */
    public int attempt() {
        return attempt;
    }

    /** The machine that the task is booked on. */
    public Machine machine() {
        return machine;
    }

    /** When the task was booked. */
    public long bookedMicros() {
        return bookedMicros;
    }

    /** Whether the admission is in the store; until then the task must not start. */
    public boolean isPersisted() {
        return persisted;
    }

    /** Records that the admission is in the store. */
    public void markPersisted() {
        persisted = true;
    }

    /** The key of the record that contains the admission, or null if not known yet. */
    public String recordKey() {
        return recordKey;
    }

    /** Sets the key of the record that contains the admission, when it is first written or moved to another record. */
    public void setRecordKey(String key) {
        recordKey = key;
    }

    /** Whether a heartbeat to this leader has listed the task. */
    public boolean isReported() {
        return reported;
    }

    /** Whether the response to the last heartbeat told the machine to start the task, which may thus run unreported. */
    public boolean isStartSent() {
        return startSent;
    }

    /** The last reported state, or null before the first report. */
    public TaskState state() {
        return state;
    }

    /** Whether the task is reported as running or saving its checkpoint. */
    public boolean isRunning() {
        return state == TaskState.RUNNING || state == TaskState.SAVING_CHECKPOINT;
    }

    /** When the task was first reported as running, or -1. */
    public long runningSinceMicros() {
        return runningSinceMicros;
    }

    /**
     * Whether this leader started the task without a checkpoint to resume from, so that its observed run time is
     * complete.
     */
    boolean isStartObserved() {
        return startObserved;
    }

    /** Records that the response to the current heartbeat contains a start command. */
    public void markStartSent() {
        startSent = true;
        startObserved = job.spec().checkpointIntervalMicros() == 0 || attempt == 1;
    }

    /**
     * Records that a newer heartbeat does not list the task, so that an earlier start command is no longer in flight.
     */
    public void clearStartSent() {
        startSent = false;
    }

    /**
     * Records the reported state, which is not {@link TaskState#EXITED}.
     *
     * @return whether the task has just begun to run, so that its end can be estimated
     */
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

    /**
     * Whether the task is to be stopped: cancelled by its user, preempted, or on a machine that is about to be
     * reclaimed.
     */
    public boolean isStopRequested() {
        return stopRequested;
    }

    /** The time for saving a checkpoint after the stop command. */
    public long gracePeriodMicros() {
        return gracePeriodMicros;
    }

    /** Whether a stop command was sent since the last stop request. */
    public boolean isStopSent() {
        return stopSent;
    }

    /**
     * Whether a stop command has to be sent. This includes a task that was told to start but is not reported yet: it
     * may already run, and its heartbeat may never arrive.
     */
    public boolean needsStopCommand() {
        return stopRequested && (reported || startSent) && !stopSent;
    }

    /** Records that a stop command was sent. */
    public void markStopSent() {
        stopSent = true;
    }

    /** Requests a stop. The grace period of an earlier request stays in force, unless the new one is zero. */
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
