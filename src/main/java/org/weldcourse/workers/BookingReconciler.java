package org.weldcourse.workers;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.weldcourse.cluster.Booking;
import org.weldcourse.cluster.ClusterState;
import org.weldcourse.cluster.Machine;
import org.weldcourse.cluster.ReleaseReason;

/** Reconciles the tasks that an accepted heartbeat lists with the machine's bookings. */
final class BookingReconciler {
    private static final Logger LOG = LoggerFactory.getLogger(BookingReconciler.class);
    /**
     * How long a task may wait for room on its machine that nothing is freeing. The tasks there may end later than
     * estimated, or their stop was decided by an earlier leader and lost with it.
     */
    private static final long MAX_WAIT_FOR_ROOM_MICROS = 30_000_000;

    private final ClusterState cluster;
    private final ResponseLossDetector responseLossDetector;
    private final StartAuthorization startAuthorization;

    BookingReconciler(
            ClusterState cluster, ResponseLossDetector responseLossDetector, StartAuthorization startAuthorization) {
        this.cluster = cluster;
        this.responseLossDetector = responseLossDetector;
        this.startAuthorization = startAuthorization;
    }

    /**
     * Updates the bookings from the listed tasks; returns whether anything changed that the next admission cycle may
     * use.
     */
    boolean reconcile(Machine machine, List<TaskStatus> tasks, long nowMicros) {
        boolean changed = false;
        Set<TaskId> bookedAndListed = new HashSet<>();
        boolean startArrived = false;
        List<TaskStatus> unbooked = new ArrayList<>();
        machine.exitedTasks.clear();
        for (TaskStatus task : tasks) {
            boolean exited = task.state() == TaskState.EXITED;
            if (exited) {
                machine.exitedTasks.add(task);
            }
            Booking booking = machine.bookings.get(task.id());
            if (booking != null && booking.attempt() == task.attempt()) {
                startArrived |= booking.isStartSent();
                bookedAndListed.add(task.id());
                if (exited) {
                    cluster.taskExited(booking, task.cause(), nowMicros);
                    changed = true;
                } else {
                    changed |= booking.updateState(task.state(), nowMicros);
                }
            } else if (!exited) {
                LOG.info("{} attempt {} is on {} without a booking", task.id(), task.attempt(), machine.name);
                unbooked.add(task);
            }
        }
        cluster.setUnbookedTasks(machine, unbooked);
        responseLossDetector.checkStartCommands(machine, startArrived, bookedAndListed, nowMicros);
        return changed | releaseUnlisted(machine, bookedAndListed, nowMicros);
    }

    /**
     * Handles bookings whose task the heartbeat does not list. If the task was listed before, the worker ended it when
     * its lease expired and a new incarnation began: the booking is released. If it was never listed, the task was not
     * started or the response with the start command was lost. It may then be started again or, if it is no longer
     * wanted, released, because this heartbeat is newer than every response that told the worker to start it.
     *
     * @return whether a booking was released
     */
    private boolean releaseUnlisted(Machine machine, Set<TaskId> listed, long nowMicros) {
        boolean released = false;
        for (Booking booking : new ArrayList<>(machine.bookings.values())) {
            if (listed.contains(booking.taskId())) {
                continue;
            }
            booking.clearStartSent();
            if (booking.isReported()) {
                cluster.release(booking, ReleaseReason.NO_LONGER_LISTED, nowMicros);
                released = true;
            }
        }
        return released | releaseUnwanted(machine, nowMicros);
    }

    /**
     * Releases the bookings of admitted tasks that are no longer wanted here or wait in vain, and that no response to the machine's last
     * heartbeat or a later one told it to start. Returns whether any was released.
     */
    boolean releaseUnwanted(Machine machine, long nowMicros) {
        boolean released = false;
        for (Booking booking : new ArrayList<>(machine.bookings.values())) {
            if (booking.isPersisted()
                    && !booking.isReported()
                    && !booking.isStartSent()
                    && (isNoLongerWanted(booking) || waitsForRoomInVain(booking, nowMicros))) {
                cluster.release(booking, ReleaseReason.NEVER_LISTED, nowMicros);
                released = true;
            }
        }
        return released;
    }

    /**
     * Whether the task of an array or a service has waited too long for room that no task is stopped for. A gang waits
     * as a whole, and has a timeout of its own.
     */
    private static boolean waitsForRoomInVain(Booking booking, long nowMicros) {
        Machine machine = booking.machine();
        return !booking.job().spec().isGang()
                && machine.type != null
                && nowMicros - booking.bookedMicros() > MAX_WAIT_FOR_ROOM_MICROS
                && !RemainingCapacity.afterStops(machine).fits(booking.job().spec())
                && machine.bookings.values().stream().noneMatch(Booking::isStopRequested);
    }

    /**
     * Whether the booking of an admitted task that was never listed is released. This includes tasks of a team above
     * its limit: the store may still hold the admission of a task that was preempted under an earlier leader, beside
     * that of the task which preempted it. Once the worker has forgotten the exit, the preempted task looks as if it
     * had never been started.
     */
    private boolean isNoLongerWanted(Booking booking) {
        return booking.isStopRequested()
                || booking.machine().isCordoned()
                || startAuthorization.isOverbooked(booking.job().spec().team());
    }
}
