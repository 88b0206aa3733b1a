package org.weldcourse.workers;

import org.weldcourse.cluster.Booking;
import org.weldcourse.cluster.BookingGroup;
import org.weldcourse.cluster.Machine;
import org.weldcourse.fleet.MachineType;
import org.weldcourse.jobs.JobSpec;

/** The capacity of a machine that its tasks leave for starts. */
final class RemainingCapacity {
    private final MachineType type;
    private double allocatedCpus;
    private double allocatedGpus;
    private double allocatedMemoryGb;

    private RemainingCapacity(MachineType type) {
        this.type = type;
    }

    /**
     * The capacity that is left after the commands that stop tasks. The worker executes commands in order: a stopped
     * task that saves no checkpoint exits at once, before the starts.
     */
    static RemainingCapacity afterStops(Machine machine) {
        RemainingCapacity remaining = new RemainingCapacity(machine.type);
        for (BookingGroup group : machine.bookings.groups()) {
            for (Booking booking : group.present()) {
                if (booking.isReported() && (!booking.isStopRequested() || willSaveCheckpoint(booking))) {
                    remaining.allocate(group.spec());
                }
            }
        }
        return remaining;
    }

    private static boolean willSaveCheckpoint(Booking booking) {
        boolean canSave = booking.job().spec().checkpointIntervalMicros() > 0
                && booking.gracePeriodMicros() > 0
                && booking.gracePeriodMicros() >= booking.job().spec().checkpointSaveMicros();
        return canSave && booking.isRunning();
    }

    void allocate(JobSpec spec) {
        allocatedCpus += spec.cpus();
        allocatedGpus += spec.gpus();
        allocatedMemoryGb += spec.memoryGb();
    }

    boolean fits(JobSpec spec) {
        double tolerance = MachineType.EPSILON;
        return allocatedCpus + spec.cpus() <= type.cpus() + tolerance
                && allocatedGpus + spec.gpus() <= type.gpus() + tolerance
                && allocatedMemoryGb + spec.memoryGb() <= type.memoryGb() + tolerance;
    }
}
