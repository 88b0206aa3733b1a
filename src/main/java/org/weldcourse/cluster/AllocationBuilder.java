package org.weldcourse.cluster;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.weldcourse.jobs.JobSpec;

/** Builds the view of a machine's bookings for snapshots. */
final class AllocationBuilder {
    /** Above this number, the tasks of a job that wait on a machine are shown as this many views of several tasks. */
    static final int MAX_VIEWS_OF_WAITING_TASKS = 256;

    private final RunTimeEstimator runTimes;
    private final List<Snapshot.TaskView> tasks = new ArrayList<>();

    private AllocationBuilder(RunTimeEstimator runTimes) {
        this.runTimes = runTimes;
    }

    /** Builds the view of bookings on a machine that has these images. */
    static Snapshot.Allocation allocation(
            Collection<BookingGroup> groups, Set<String> images, RunTimeEstimator runTimes) {
        AllocationBuilder builder = new AllocationBuilder(runTimes);
        double cpus = 0;
        double gpus = 0;
        double memoryGb = 0;
        Set<String> held = new HashSet<>(images);
        for (BookingGroup group : groups) {
            JobSpec spec = group.spec();
            cpus += spec.cpus() * group.size();
            gpus += spec.gpus() * group.size();
            memoryGb += spec.memoryGb() * group.size();
            held.add(spec.image());
            builder.addTasks(group);
        }
        return new Snapshot.Allocation(cpus, gpus, memoryGb, held, builder.tasks);
    }

    private void addTasks(BookingGroup group) {
        long expectedRunMicros = runTimes.expectedMicros(group.job());
        for (Booking booking : group.present()) {
            tasks.add(view(booking, expectedRunMicros));
        }
        addWaiting(group, group.waiting(), group.waitingCount(), group.job().isEvicted(), expectedRunMicros);
        addWaiting(group, group.stopped(), group.stoppedCount(), true, expectedRunMicros);
    }

    private void addWaiting(
            BookingGroup group, Iterable<Booking> bookings, int count, boolean terminating, long expectedRunMicros) {
        if (count <= MAX_VIEWS_OF_WAITING_TASKS) {
            for (Booking booking : bookings) {
                tasks.add(view(booking, expectedRunMicros));
            }
            return;
        }
        int perView = (count + MAX_VIEWS_OF_WAITING_TASKS - 1) / MAX_VIEWS_OF_WAITING_TASKS;
        for (int viewed = 0; viewed < count; viewed += perView) {
            tasks.add(new Snapshot.TaskView(
                    group.spec(),
                    Snapshot.ANY_WAITING_TASK,
                    Math.min(perView, count - viewed),
                    terminating,
                    Snapshot.NOT_RUNNING,
                    expectedRunMicros));
        }
    }

    private static Snapshot.TaskView view(Booking booking, long expectedRunMicros) {
        return new Snapshot.TaskView(
                booking.job().spec(),
                booking.task(),
                booking.isStopRequested(),
                booking.isRunning() ? booking.runningSinceMicros() : Snapshot.NOT_RUNNING,
                expectedRunMicros);
    }
}
