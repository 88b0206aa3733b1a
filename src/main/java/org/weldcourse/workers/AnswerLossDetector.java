package org.weldcourse.workers;

import java.util.Set;
import org.weldcourse.cluster.Booking;
import org.weldcourse.cluster.Machine;

/**
 * Finds machines that our answers don't reach though their heartbeats reach us, by what the heartbeats show, and has
 * them cordoned ({@link Machine#isCordoned}) or not any more.
 */
final class AnswerLossDetector {
    private final long leaseMicros;

    AnswerLossDetector(long leaseMicros) {
        this.leaseMicros = leaseMicros;
    }

    /** To be called before the heartbeat with the new incarnation is taken note of in the machine. */
    void incarnationBegan(Machine machine, long nowMicros) {
        if (machine.incarnation > 0 && nowMicros - machine.lastHeartbeatMicros < leaseMicros) {
            // Its heartbeats came all the time, and yet its lease expired.
            machine.recordLostResponse(nowMicros);
        }
    }

    /**
     * Compares the tasks that the last answer told it to start with those that it lists.
     *
     * @param startArrived whether one of them is listed
     */
    void startsAnswered(Machine machine, boolean startArrived, Set<TaskId> listed, long nowMicros) {
        if (startArrived) {
            machine.recordDeliveredResponse();
            return;
        }
        for (Booking booking : machine.bookings.values()) {
            if (booking.isStartSent() && !listed.contains(booking.taskId())) {
                machine.recordLostResponse(nowMicros);
                return;
            }
        }
    }

    /** To be called after all else that the heartbeat shows of answers. */
    void incarnationGoesOn(Machine machine, long nowMicros) {
        long lostMicros = machine.lastLostResponseMicros();
        if (lostMicros >= 0 && nowMicros - lostMicros > leaseMicros * 3 / 2) {
            // Without an answer since then this incarnation would be over.
            machine.recordDeliveredResponse();
        }
    }
}
