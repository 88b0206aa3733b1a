package org.weldcourse.workers;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.weldcourse.cluster.Booking;
import org.weldcourse.cluster.BookingGroup;
import org.weldcourse.cluster.ClusterState;
import org.weldcourse.cluster.Machine;
import org.weldcourse.cluster.ReleaseReason;

/** Reconciles the tasks that an accepted heartbeat lists with the machine's bookings. */
final class BookingReconciler {
    private static final Logger LOG = LoggerFactory.getLogger(BookingReconciler.class);
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
        for (BookingGroup group : List.copyOf(machine.bookings.groups())) {
            for (Booking booking : group.presentCopy()) {
                if (listed.contains(booking.taskId())) {
                    continue;
                }
                booking.clearStartSent();
                if (booking.isReported()) {
                    cluster.release(booking, ReleaseReason.NO_LONGER_LISTED, nowMicros);
                    released = true;
                }
            }
        }
        return released | releaseUnwanted(machine, nowMicros);
    }

    /**
     * Releases the bookings of admitted tasks that are no longer wanted here or wait in vain, and that no response to the
     * machine's last heartbeat or a later one told it to start. If there are very many, the rest is released after other
     * events: none of them is started meanwhile, and a task that is wanted again by then is kept. Returns whether any was
     * released.
     */
    boolean releaseUnwanted(Machine machine, long nowMicros) {
        if (machine.releasingUnwanted) {
            return false;
        }
        UnwantedBookings unwanted = new UnwantedBookings(machine, startAuthorization, nowMicros);
        if (!unwanted.hasNext()) {
            return false;
        }
        machine.releasingUnwanted = true;
        cluster.releaseInParts(
                unwanted, ReleaseReason.NEVER_LISTED, () -> machine.releasingUnwanted = false, () -> nowMicros);
        return true;
    }
}
