package org.weldcourse.cluster;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.weldcourse.fleet.MachineType;
import org.weldcourse.jobs.JobSpec;
import org.weldcourse.workers.Heartbeat;
import org.weldcourse.workers.TaskId;
import org.weldcourse.workers.TaskStatus;

/** A machine as the leader sees it, from its rental (or first sign of life) until its release is answered. */
public final class Machine {
    private static final int LOST_ANSWERS_TO_CORDON = 2;

    public final String name;
    public String address;
    public MachineType type;
    public String zone;
    public boolean spot;
    /** When it was rented as far as known, else when this leader first heard of it. */
    public long rentedMicros;

    /** Of its worker, as of the last heartbeat that counted; 0 before the first one. */
    public long incarnation;

    public long heartbeatSequence = -1;
    /** When its last heartbeat that counted came, or -1. */
    public long lastHeartbeatMicros = -1;
    /** It has reported under this leader's token: its list of tasks can be relied on. */
    public boolean reconciled;

    public long reclaimAtMicros = Long.MAX_VALUE;
    /** The cloud was asked to delete it. Nothing new starts on it, and its tasks hold their room until that is confirmed. */
    public boolean deleting;

    public boolean reportedFailed;
    /** By the cloud's word, which lags. */
    public boolean starting;

    public long idleSinceMicros;
    /** Answers in a row that its next heartbeat showed not to have arrived, and since when. */
    private int lostAnswers;

    private long answersLostSinceMicros;
    private long lastLostResponseMicros;
    public long firstHeartbeatMicros = -1;
    public final Map<TaskId, Booking> bookings = new HashMap<>();
    /** What the last heartbeat listed without a booking; it holds room until it exits. */
    public final List<TaskStatus> unbookedTasks = new ArrayList<>();

    /** The jobs of those tasks as far as they are known. */
    final List<Optional<Job>> unbookedTaskJobs = new ArrayList<>();

    public final Set<String> failedJobs = new HashSet<>();
    public int successesSinceError;
    /** Exited tasks of the last heartbeat that the worker was not yet told to forget. */
    public final List<TaskStatus> exitedTasks = new ArrayList<>();
    /** It may have something to be told that should not wait for its next heartbeat. */
    public boolean hasUnsentCommands;
    /** A direct message is on its way; a second one waits for its answer. */
    public boolean directCommandsInFlight;
    /** What its last heartbeat that counted showed to be on it. */
    Set<TaskId> presentTasks = new HashSet<>();
    /** What cycles see of its bookings; null when it has to be made anew. */
    private Snapshot.Allocation allocation;
    /** Images that it should hold with their sizes, the latest used last. */
    private final LinkedHashMap<String, Double> images = new LinkedHashMap<>();

    /** A machine known by its name alone. */
    public Machine(String name, long nowMicros) {
        this.name = name;
        this.rentedMicros = nowMicros;
        this.idleSinceMicros = nowMicros;
    }

    /** Its bookings, their states or its images are not what they were. */
    public void invalidateAllocation() {
        allocation = null;
    }

    /** Most machines are as they were at the last cycle: only the others are looked at again. */
    public Snapshot.Allocation allocation(RunTimeEstimator runTimes) {
        if (allocation == null) {
            double cpus = 0;
            double gpus = 0;
            double memoryGb = 0;
            Set<String> held = new HashSet<>(images.keySet());
            List<Snapshot.TaskView> tasks = new ArrayList<>(bookings.size());
            for (Booking booking : bookings.values()) {
                JobSpec spec = booking.job().spec();
                cpus += spec.cpus();
                gpus += spec.gpus();
                memoryGb += spec.memoryGb();
                held.add(spec.image());
                tasks.add(new Snapshot.TaskView(
                        spec,
                        booking.task(),
                        booking.isStopRequested(),
                        booking.isRunning() ? booking.runningSinceMicros() : Snapshot.NOT_RUNNING,
                        runTimes.expectedMicros(booking.job())));
            }
            allocation = new Snapshot.Allocation(cpus, gpus, memoryGb, held, tasks);
        }
        return allocation;
    }

    /** Whether tasks may be booked on it. */
    public boolean isSchedulable() {
        return reconciled
                && !isCordoned()
                && !deleting
                && !reportedFailed
                && type != null
                && reclaimAtMicros == Long.MAX_VALUE;
    }

    /** An answer to one of its heartbeats did not reach it, though its heartbeats reach us. */
    public void recordLostResponse(long nowMicros) {
        if (lostAnswers++ == 0) {
            answersLostSinceMicros = nowMicros;
        }
        lastLostResponseMicros = nowMicros;
    }

    /** A heartbeat showed that an answer reached it. */
    public void recordDeliveredResponse() {
        lostAnswers = 0;
    }

    /** When the last answer got lost, or -1 when they arrive as far as known. */
    public long lastLostResponseMicros() {
        return lostAnswers == 0 ? -1 : lastLostResponseMicros;
    }

    /**
     * Whether nothing is placed or started on it because answers got lost. One may on any day; when several do, no
     * command can be counted on to reach it.
     */
    public boolean isCordoned() {
        return lostAnswers >= LOST_ANSWERS_TO_CORDON;
    }

    /** Whether it has been cordoned and its answers lost for so long. */
    public boolean isCordonedFor(long micros, long nowMicros) {
        return isCordoned() && nowMicros - answersLostSinceMicros > micros;
    }

    public boolean isUp() {
        return lastHeartbeatMicros >= 0;
    }

    /** Whether a heartbeat is newer than the last one that counted. */
    public boolean isNewer(Heartbeat heartbeat) {
        return heartbeat.incarnation() > incarnation
                || heartbeat.incarnation() == incarnation && heartbeat.sequence() > heartbeatSequence;
    }

    /** Notes that a task got its image; the least recently used ones fall out of the cache. */
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

    /** The images that it should hold in its cache. */
    public Set<String> images() {
        return images.keySet();
    }
}
