package org.weldcourse.cluster;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** Books the tasks of an admitted attempt. The leader and the standby's warm-up share this code. */
public final class AttemptBookings {
    private AttemptBookings() {}

    /**
     * Books a job's tasks on the machines that the planner chose.
     *
     * @param tasks task indexes by machine name
     * @return the bookings, which are not persisted yet
     */
    public static List<Booking> book(
            ClusterState cluster, Job job, int attempt, Map<String, int[]> tasks, long nowMicros) {
        List<Booking> booked = new ArrayList<>();
        tasks.forEach((machineName, indexes) -> {
            Machine machine = cluster.machines.get(machineName);
            for (int task : indexes) {
                booked.add(cluster.book(job, task, attempt, machine, nowMicros));
            }
        });
        return booked;
    }
}
