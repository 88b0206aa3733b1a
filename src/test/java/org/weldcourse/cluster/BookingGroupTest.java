package org.weldcourse.cluster;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.Random;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.weldcourse.http.Json;
import org.weldcourse.jobs.JobSpecCodec;
import org.weldcourse.simulation.JobBodies;

/** Guards against stop requests of waiting tasks that are lost or made twice, when some come while others are made in parts. */
class BookingGroupTest {
    private static final int PART = PendingBookingChanges.MAX_CHANGES_PER_PART;
    private static final int TASKS = 6 * PART;

    private final ClusterState cluster = new ClusterState();
    private final Machine machine = cluster.getOrAddMachine("m-1", 0);
    private BookingGroup group;

    @BeforeEach
    void book() throws Exception {
        Job job = new Job(
                JobSpecCodec.decode(Json.objectOrEmpty(Json.bytes(JobBodies.jobBody("req-000001", "beads", TASKS)))),
                1,
                0);
        for (int task = 0; task < TASKS; task++) {
            cluster.book(job, task, 1, machine, 0);
        }
        group = machine.bookings.groups().iterator().next();
    }

    private void makeAllParts() {
        while (cluster.hasPendingChanges()) {
            cluster.makePendingChanges();
        }
    }

    private void assertStopped(int tasks) {
        assertEquals(tasks, group.stoppedCount());
        assertEquals(TASKS - tasks, group.waitingCount());
    }

    @Test
    void requestAfterTheLastStopOfAPartIsMadeInFull() {
        group.stopWaiting(cluster, PART);
        assertStopped(PART);
        group.stopWaiting(cluster, 2 * PART + 500);
        makeAllParts();
        assertStopped(3 * PART + 500);
    }

    @Test
    void requestBetweenTwoPartsIsAdded() {
        group.stopWaiting(cluster, 2 * PART);
        cluster.makePendingChanges();
        group.stopWaiting(cluster, PART + 1);
        makeAllParts();
        assertStopped(3 * PART + 1);
    }

    @Test
    void stopsAsManyAsWereAskedForWheneverTheyWere() {
        for (int seed = 0; seed < 50; seed++) {
            Random random = new Random(seed);
            int asked = group.stoppedCount();
            while (asked < TASKS / 50 * (seed + 1)) {
                int more = Math.min(TASKS - asked, random.nextBoolean() ? PART : 1 + random.nextInt(PART + 500));
                group.stopWaiting(cluster, more);
                asked += more;
                if (random.nextBoolean()) {
                    cluster.makePendingChanges();
                }
            }
            makeAllParts();
            assertStopped(asked);
        }
    }
}
