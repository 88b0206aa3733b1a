package org.weldcourse.workers;

import java.util.Set;
import org.weldcourse.cluster.Booking;
import org.weldcourse.cluster.BookingGroup;
import org.weldcourse.cluster.Machine;

/**
 * Detects machines whose heartbeats arrive but which do not receive the responses, judging by the contents of their
 * heartbeats. It updates the machine's count of lost responses, which decides whether the machine is cordoned
 * ({@link Machine#isCordoned}).
 */
final class ResponseLossDetector {
    private final long leaseMicros;

    ResponseLossDetector(long leaseMicros) {
        this.leaseMicros = leaseMicros;
    }

    /** Must be called before the machine is updated from the first heartbeat of the new incarnation. */
    void onNewIncarnation(Machine machine, long nowMicros) {
        if (machine.incarnation > 0 && nowMicros - machine.lastHeartbeatMicros < leaseMicros) {
            // The lease expired although heartbeats kept arriving, so the responses did not reach the worker.
            machine.recordLostResponse(nowMicros);
        }
    }

    /**
     * Checks whether the start commands of the last response reached the worker: then its heartbeat lists their tasks.
     *
     * @param startArrived whether at least one of the tasks to start is listed
     */
    void checkStartCommands(Machine machine, boolean startArrived, Set<TaskId> listed, long nowMicros) {
        if (startArrived) {
            machine.recordDeliveredResponse();
            return;
        }
        for (BookingGroup group : machine.bookings.groups()) {
            for (Booking booking : group.present()) {
                if (booking.isStartSent() && !listed.contains(booking.taskId())) {
                    machine.recordLostResponse(nowMicros);
                    return;
                }
            }
        }
    }

    /** Must be called after the other checks, because an incarnation that outlives its lease clears their findings. */
    void checkIncarnationOutlivesLease(Machine machine, long nowMicros) {
        long lostMicros = machine.lastLostResponseMicros();
        if (lostMicros >= 0 && nowMicros - lostMicros > leaseMicros * 3 / 2) {
            // The incarnation would have ended by now if no response had reached the worker since the lost one.
            machine.recordDeliveredResponse();
        }
    }
}
