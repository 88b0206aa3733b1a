package org.weldcourse.cluster;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.weldcourse.fleet.MachineType;
import org.weldcourse.jobs.JobSpec;
import org.weldcourse.placement.Feasibility;
import org.weldcourse.placement.PlacementTarget;
import org.weldcourse.workers.Heartbeat;
import org.weldcourse.workers.TaskId;
import org.weldcourse.workers.TaskStatus;

/** A machine as the leader knows it, from its rental (or first heartbeat) until the cloud confirms its deletion. */
public final class Machine implements PlacementTarget {
    private static final int LOST_RESPONSES_TO_CORDON = 2;

    public final String name;
    /** The worker's address for direct commands, or null if not known yet. */
    public String address;
    /** The machine type, or null if not known yet. */
    public MachineType type;
    /** The zone, or null if not known yet. */
    public String zone;

    /** Whether this is a spot machine, which the cloud may reclaim. */
    public boolean spot;
    /** When the machine was rented, if known; else when this leader first learned of it. */
    public long rentedMicros;

    /** The worker's incarnation in the last accepted heartbeat; 0 before the first one. */
    public long incarnation;

    /** The sequence number of the last accepted heartbeat, or -1. */
    public long heartbeatSequence = -1;
    /** When the last accepted heartbeat arrived, or -1. */
    public long lastHeartbeatMicros = -1;
    /** Whether the machine has reported under this leader's fencing token, so that its task list can be relied on. */
    public boolean reconciled;

    /** When the cloud reclaims this spot machine, or {@link Long#MAX_VALUE} if no reclaim was announced. */
    public long reclaimAtMicros = Long.MAX_VALUE;
    /**
     * Whether deletion was requested. Nothing is started here, and bookings stay until the cloud confirms the deletion.
     */
    public boolean deleting;

    /** Whether the cloud's machine list has shown the machine as failed. */
    public boolean reportedFailed;
    /** Whether the cloud's machine list, which lags, shows the machine as starting. */
    public boolean starting;

    /** The gang that the last admission cycle reserved the machine for, or null. */
    public JobSpec reservedFor;
    /** Since when nothing has been booked here; meaningful only while there are no bookings. */
    public long idleSinceMicros;
    /** Consecutive heartbeat responses that did not reach the worker, as its next heartbeats showed. */
    private int consecutiveLostResponses;

    private long responsesLostSinceMicros;
    private long lastLostResponseMicros;
    /** When the first heartbeat arrived, or -1. */
    public long firstHeartbeatMicros = -1;
    /** The tasks booked on this machine. */
    public final MachineBookings bookings = new MachineBookings();
    /** Tasks that the last heartbeat listed without a booking; they count as usage until they exit. */
    public final List<TaskStatus> unbookedTasks = new ArrayList<>();

    /** The jobs of the unbooked tasks; empty for a job that is not known. */
    final List<Optional<Job>> unbookedTaskJobs = new ArrayList<>();

    /** The evidence that the machine is faulty. */
    public final MachineFailures failures = new MachineFailures();
    /** Exited tasks in the last heartbeat that the worker has not been told to forget yet. */
    public final List<TaskStatus> exitedTasks = new ArrayList<>();
    /** The start commands that the worker may get once more, as copies. */
    public final RecentStarts recentStarts = new RecentStarts();
    /** Whether there may be commands that should not wait for the next heartbeat. */
    public boolean hasUnsentCommands;
    /** Whether bookings that are no longer wanted here are being released, in parts. */
    public boolean releasingUnwanted;
    /** Whether the response to the last heartbeat is held back until the open jobs were read. */
    public boolean heartbeatResponsePending;
    /** Whether a direct command request is in flight; the next one waits for its response. */
    public boolean directCommandsInFlight;
    /** The tasks that the last accepted heartbeat listed as not exited. */
    Set<TaskId> presentTasks = new HashSet<>();
    /** Cached allocation for snapshots; null when it must be computed again. */
    private Snapshot.Allocation allocation;
    /** Sizes in GB of the images that should be in the machine's cache, most recently used last. */
    private final LinkedHashMap<String, Double> images = new LinkedHashMap<>();

    /** Creates a machine of which only the name is known. */
    public Machine(String name, long nowMicros) {
        this.name = name;
        this.rentedMicros = nowMicros;
        this.idleSinceMicros = nowMicros;
    }

    /** Discards the cached allocation after a change of bookings, task states or images. */
    public void invalidateAllocation() {
        allocation = null;
    }

    /** The resources taken by bookings. It is cached because most machines do not change from one cycle to the next. */
    public Snapshot.Allocation allocation(RunTimeEstimator runTimes) {
        if (allocation == null) {
            allocation = AllocationBuilder.allocation(bookings.groups(), images.keySet(), runTimes);
        }
        return allocation;
    }

    /** Whether tasks may be booked on this machine. */
    public boolean isSchedulable() {
        return condition() == Feasibility.FEASIBLE;
    }

    @Override
    public Feasibility condition() {
        if (deleting || reportedFailed || reclaimAtMicros != Long.MAX_VALUE) {
            return Feasibility.DRAINING;
        }
        if (failures.isSuspected()) {
            return Feasibility.FAULTY;
        }
        if (isCordoned()) {
            return Feasibility.CORDONED;
        }
        return reconciled && type != null && zone != null ? Feasibility.FEASIBLE : Feasibility.NOT_REPORTED;
    }

    @Override
    public String name() {
        return name;
    }

    @Override
    public MachineType type() {
        return type;
    }

    @Override
    public String zone() {
        return zone;
    }

    @Override
    public boolean spot() {
        return spot;
    }

    @Override
    public JobSpec reservedFor() {
        return reservedFor;
    }

    /** Records that the response to a heartbeat did not reach the worker, although its heartbeats arrive here. */
    public void recordLostResponse(long nowMicros) {
        if (consecutiveLostResponses++ == 0) {
            responsesLostSinceMicros = nowMicros;
        }
        lastLostResponseMicros = nowMicros;
    }

    /** Records that a heartbeat response reached the worker. */
    public void recordDeliveredResponse() {
        consecutiveLostResponses = 0;
    }

    /** When the last response was lost, or -1 if responses are known or assumed to arrive. */
    public long lastLostResponseMicros() {
        return consecutiveLostResponses == 0 ? -1 : lastLostResponseMicros;
    }

    /**
     * Whether nothing is booked or started here because heartbeat responses were lost. A single loss is tolerated;
     * after several, commands cannot be expected to reach the worker.
     */
    public boolean isCordoned() {
        return consecutiveLostResponses >= LOST_RESPONSES_TO_CORDON;
    }

    /** Whether no task is started here: commands do not arrive, or the machine is suspected to be faulty. */
    public boolean isClosedToStarts() {
        return isCordoned() || failures.isSuspected();
    }

    /** Whether the machine is cordoned and its responses have been lost for longer than this. */
    public boolean isCordonedFor(long micros, long nowMicros) {
        return isCordoned() && nowMicros - responsesLostSinceMicros > micros;
    }

    /** Whether any heartbeat has been accepted. */
    public boolean isUp() {
        return lastHeartbeatMicros >= 0;
    }

    /** Whether a heartbeat is newer than the last accepted one. */
    public boolean isNewer(Heartbeat heartbeat) {
        return heartbeat.incarnation() > incarnation
                || heartbeat.incarnation() == incarnation && heartbeat.sequence() > heartbeatSequence;
    }

    /** Whether this is the last accepted heartbeat. */
    public boolean isLast(Heartbeat heartbeat) {
        return heartbeat.incarnation() == incarnation && heartbeat.sequence() == heartbeatSequence;
    }

    /** Adds a task's image to the cache and removes the least recently used ones that no longer fit. */
    public void cacheImage(String image, double gb) {
        invalidateAllocation();
        images.remove(image);
        images.put(image, gb);
        double held = 0;
        for (double size : images.values()) {
            held += size;
        }
        while (type != null && held > type.cacheGb() && images.size() > 1) {
            String oldest = images.keySet().iterator().next();
            held -= images.remove(oldest);
        }
    }

    /** The images that should be in the machine's cache. */
    public Set<String> images() {
        return images.keySet();
    }
}
