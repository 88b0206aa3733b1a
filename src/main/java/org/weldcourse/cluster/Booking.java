package org.weldcourse.cluster;

import org.weldcourse.workers.TaskId;
import org.weldcourse.workers.TaskState;

/**
 * The reservation of machine resources for one attempt of a task. It counts against the machine's capacity and the
 * team's quota from admission until it is released for a {@link ReleaseReason}. Times are in microseconds of the event
 * loop's clock.
 */
public final class Booking {
    private static final long NO_STOP_SENT = -1;

    private final Job job;
    private final int task;
    private final Admission admission;
    private final Machine machine;
    private final long bookedMicros;
    private BookingGroup group;
    private boolean reported;
    private boolean startSent;
    private TaskState state;
    private boolean stopRequested;
    private long gracePeriodMicros;
    /** The grace period of the last stop command, or {@link #NO_STOP_SENT}. */
    private long sentGracePeriodMicros = NO_STOP_SENT;

    private long runningSinceMicros = -1;
    private boolean startObserved;

    /** Creates a booking; {@link ClusterState} adds it to its job and its machine. */
    Booking(Job job, int task, Admission admission, Machine machine, long bookedMicros) {
        this.job = job;
        this.task = task;
        this.admission = admission;
        this.machine = machine;
        this.bookedMicros = bookedMicros;
    }

    /** The bookings of the same job on the same machine. */
    BookingGroup group() {
        return group;
    }

    void setGroup(BookingGroup bookings) {
        group = bookings;
    }

    BookingGroup.Phase phase() {
        if (reported || startSent) {
            return BookingGroup.Phase.PRESENT;
        }
        return stopRequested ? BookingGroup.Phase.STOPPED : BookingGroup.Phase.WAITING;
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
        return new TaskId(job.spec().id(), task);
    }

    /** The attempt number, which increases across all tasks of the job. */
    public int attempt() {
        return admission.attempt();
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
        return admission.isPersisted();
    }

    /** The admission that booked the task. */
    Admission admission() {
        return admission;
    }

    /** Records that the admission, with all tasks that it booked, is in the store. */
    public void markPersisted() {
        admission.markPersisted();
    }

    /** The key of the record that contains the admission, or null if not known yet. */
    public String recordKey() {
        return job.records().contents().keyOf(this);
    }

    /** Sets the key of the record that contains the admission, as a leader reads it after a failover. */
    public void setRecordKey(String key) {
        job.records().contents().add(key, machine.name, attempt(), task);
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
        BookingGroup.Phase before = phase();
        startSent = true;
        startObserved = job.spec().checkpointIntervalMicros() == 0 || attempt() == 1;
        group.moved(this, before);
    }

    /**
     * Records that a newer heartbeat does not list the task, so that an earlier start command is no longer in flight.
     */
    public void clearStartSent() {
        BookingGroup.Phase before = phase();
        startSent = false;
        group.moved(this, before);
    }

    /**
     * Records the reported state, which is not {@link TaskState#EXITED}.
     *
     * @return whether the task has just begun to run, so that its end can be estimated
     */
    public boolean updateState(TaskState newState, long nowMicros) {
        boolean wasRunning = isRunning();
        BookingGroup.Phase before = phase();
        reported = true;
        startSent = false;
        group.moved(this, before);
        if (state == newState) {
            return false;
        }
        state = newState;
        group.runningChanged(this, wasRunning);
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
     * reclaimed; by a request for this task or for all tasks of its job.
     */
    public boolean isStopRequested() {
        return stopRequested || job.isEvicted();
    }

    /** The time for saving a checkpoint after the stop command. */
    public long gracePeriodMicros() {
        if (!job.isEvicted()) {
            return gracePeriodMicros;
        }
        long evictionMicros = job.bookings().evictionGraceMicros();
        return stopRequested && evictionMicros != 0 ? gracePeriodMicros : evictionMicros;
    }

    /** Whether a stop command with the current grace period, or with none, was sent. */
    public boolean isStopSent() {
        return sentGracePeriodMicros == 0 || sentGracePeriodMicros != NO_STOP_SENT && gracePeriodMicros() != 0;
    }

    /**
     * Whether a stop command has to be sent. This includes a task that was told to start but is not reported yet: it
     * may already run, and its heartbeat may never arrive.
     */
    public boolean needsStopCommand() {
        return isStopRequested() && (reported || startSent) && !isStopSent();
    }

    /** Records that a stop command was sent. */
    public void markStopSent() {
        sentGracePeriodMicros = gracePeriodMicros();
    }

    /** Requests a stop. The grace period of an earlier request stays in force, unless the new one is zero. */
    public void requestStop(long newGracePeriodMicros) {
        BookingGroup.Phase before = phase();
        if (!stopRequested || newGracePeriodMicros == 0) {
            gracePeriodMicros = newGracePeriodMicros;
        }
        stopRequested = true;
        group.moved(this, before);
        machine.invalidateAllocation();
        machine.hasUnsentCommands = true;
    }
}
