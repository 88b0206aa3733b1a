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
final class BookingReconciliation {
    private static final Logger LOG = LoggerFactory.getLogger(BookingReconciliation.class);

    private final ClusterState cluster;
    private final AnswerLossDetector answerLoss;
    private final StartAuthorization startAuthorization;

    BookingReconciliation(ClusterState cluster, AnswerLossDetector answerLoss, StartAuthorization startAuthorization) {
        this.cluster = cluster;
        this.answerLoss = answerLoss;
        this.startAuthorization = startAuthorization;
    }

    /** Whether something was learnt that the next admission cycle may use. */
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
        answerLoss.startsAnswered(machine, startArrived, bookedAndListed, nowMicros);
        return changed | freeUnlisted(machine, bookedAndListed, nowMicros);
    }

    /**
     * Bookings that the heartbeat does not list. Seen before and not now, with no exit: a new incarnation swept the
     * task away. Never seen: it was never started, or the answer that said so was lost, and it may be started again or,
     * when it is unwanted, given up: this heartbeat is newer than any answer that told it to start.
     */
    private boolean freeUnlisted(Machine machine, Set<TaskId> listed, long nowMicros) {
        boolean freed = false;
        for (Booking booking : new ArrayList<>(machine.bookings.values())) {
            if (listed.contains(booking.taskId())) {
                continue;
            }
            booking.clearStartSent();
            if (booking.isReported() || booking.isPersisted() && isUnwanted(booking)) {
                ReleaseReason evidence =
                        booking.isReported() ? ReleaseReason.NO_LONGER_LISTED : ReleaseReason.NEVER_LISTED;
                cluster.release(booking, evidence, nowMicros);
                freed = true;
            }
        }
        return freed;
    }

    /**
     * Whether a task that was admitted and never listed is given up. One of a team above its limit is: what was
     * preempted under an earlier leader is still on record beside what preempted it, and if the machine has forgotten
     * its exit, it looks as if it had never been told to start.
     */
    private boolean isUnwanted(Booking booking) {
        return booking.isStopRequested()
                || booking.machine().isCordoned()
                || startAuthorization.isOverbooked(booking.job().spec().team());
    }
}
