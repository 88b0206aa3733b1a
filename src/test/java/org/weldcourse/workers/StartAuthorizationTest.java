package org.weldcourse.workers;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.weldcourse.simulation.JobBodies.jobBody;

import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.weldcourse.cluster.Booking;
import org.weldcourse.cluster.ClusterState;
import org.weldcourse.cluster.Job;
import org.weldcourse.cluster.Machine;
import org.weldcourse.jobs.InvalidJobException;
import org.weldcourse.jobs.JobSpec;
import org.weldcourse.jobs.JobSpecCodec;
import org.weldcourse.quota.QuotaInvariant;
import org.weldcourse.quota.ResourceAmount;

/** Tests of {@link StartAuthorization} and of the usage that counts against a team's limit. */
class StartAuthorizationTest {
    private static final String TEAM = "core";
    private static final ResourceAmount LIMIT = ResourceAmount.limit(4, 2);

    private final ClusterState cluster = new ClusterState();
    private final StartCounts counts = new StartCounts();
    private final Machine machine = cluster.getOrAddMachine("m-000001", 0);
    private final StartAuthorization startAuthorization = new StartAuthorization(
            cluster,
            new StartAuthorization.TeamQuotas() {
                @Override
                public boolean isOverbooked(String team) {
                    return QuotaInvariant.isExceeded(LIMIT, cluster.quotaUsage.bookedBy(team));
                }

                @Override
                public boolean isLimitExceeded(String team) {
                    return QuotaInvariant.isExceeded(LIMIT, cluster.quotaUsage.usedBy(team));
                }

                @Override
                public String describeLimit(String team) {
                    return LIMIT.toString();
                }
            },
            counts);

    private Job job;

    private static JobSpec spec(String id, double cpus, double gpus) throws InvalidJobException {
        return JobSpecCodec.decode(jobBody(id, "crew", TEAM, "cpus", cpus, "gpus", gpus, "beads", 3L));
    }

    @BeforeEach
    void addOpenJob() throws Exception {
        job = new Job(spec("req-000001", 2, 1), 1, 0);
        cluster.jobs.put(job.spec().id(), job);
    }

    private Booking persistedBooking(int task) {
        Booking booking = cluster.book(job, task, 1, machine, 0);
        booking.markPersisted();
        return booking;
    }

    private static TaskStatus running(String id, int task, int attempt) {
        return new TaskStatus(new TaskId(id, task), attempt, TaskState.RUNNING, null);
    }

    @Test
    void persistedBookingWithinTheLimitMayStart() {
        Booking booking = cluster.book(job, 0, 1, machine, 0);
        assertFalse(startAuthorization.allows(booking, 0), "not persisted yet");
        booking.markPersisted();
        assertTrue(startAuthorization.allows(booking, 0));
    }

    @Test
    void bookingsAboveTheLimitCountAsViolation() {
        Booking booking = persistedBooking(0);
        persistedBooking(1);
        persistedBooking(2);
        assertFalse(startAuthorization.allows(booking, 0));
        assertEquals(1, counts.violations());
    }

    @Test
    void unbookedTaskWithholdsStartsUntilItIsGone() {
        Booking booking = persistedBooking(0);
        persistedBooking(1);
        Machine other = cluster.getOrAddMachine("m-000002", 0);
        cluster.setUnbookedTasks(other, List.of(running(job.spec().id(), 2, 7)));
        assertFalse(startAuthorization.allows(booking, 0));
        assertEquals(1, counts.withheld());
        assertEquals(0, counts.violations());
        assertEquals(ResourceAmount.of(2, 1), cluster.quotaUsage.unbookedBy(TEAM));
        cluster.setUnbookedTasks(other, List.of());
        assertTrue(startAuthorization.allows(booking, 0));
        assertEquals(ResourceAmount.ZERO, cluster.quotaUsage.unbookedBy(TEAM));
    }

    private Job addJobWithZoneConstraint(String id, String constraint, String shape) throws Exception {
        Job bound = new Job(
                JobSpecCodec.decode(
                        jobBody(id, "crew", TEAM, "cpus", 0.5, "beads", 3L, constraint, true, "shape", shape)),
                1,
                0);
        cluster.jobs.put(id, bound);
        return bound;
    }

    /** Guards against a wrong zone because of tasks that machines report and no record of this leader's contains. */
    @Test
    void unbookedTaskCountsInItsZone() throws Exception {
        Machine other = cluster.getOrAddMachine("m-000002", 0);
        machine.zone = "a";
        for (String zone : List.of("a", "b")) {
            other.zone = zone;
            Job single = addJobWithZoneConstraint("req-000002", "together", "array");
            Booking booking = cluster.book(single, 0, 2, machine, 0);
            booking.markPersisted();
            cluster.setUnbookedTasks(other, List.of(running("req-000002", 1, 1)));
            assertEquals(zone.equals("a"), startAuthorization.allows(booking, 0), zone);
            cluster.setUnbookedTasks(other, List.of());
            assertTrue(startAuthorization.allows(booking, 0));
            cluster.discard(booking);

            Job spread = addJobWithZoneConstraint("req-000003", "apart", "array");
            Booking replica = cluster.book(spread, 0, 2, machine, 0);
            replica.markPersisted();
            cluster.setUnbookedTasks(other, List.of(running("req-000003", 1, 1), running("req-000003", 2, 1)));
            assertEquals(zone.equals("b"), startAuthorization.allows(replica, 0), zone);
            cluster.setUnbookedTasks(other, List.of());
            cluster.discard(replica);
        }
    }

    @Test
    void singleZoneGangIsNotBookedWhileATaskOfAnEarlierAttemptIsOnAMachine() throws Exception {
        Machine other = cluster.getOrAddMachine("m-000002", 0);
        Job gang = addJobWithZoneConstraint("req-000002", "together", "ensemble");
        assertTrue(gang.canBeBooked(0));
        cluster.setUnbookedTasks(other, List.of(running("req-000002", 1, 1)));
        assertFalse(gang.canBeBooked(0));
        cluster.setUnbookedTasks(other, List.of());
        assertTrue(gang.canBeBooked(0));
    }

    @Test
    void unknownTasksInAHeartbeatCountOnlyAgainstTheirOwnTeam() {
        Machine other = cluster.getOrAddMachine("m-000002", 0);
        cluster.setUnbookedTasks(
                other,
                List.of(running("req-777777", 0, 1), running(job.spec().id(), 99_999, 1), running("req-777777", 1, 1)));
        assertEquals(2, cluster.tasksOfUnknownJobs());
        assertEquals(
                ResourceAmount.of(2, 1),
                cluster.quotaUsage.unbookedBy(TEAM),
                "an index beyond the job's size still counts");
        assertTrue(job.mayBeOnMachines());
        cluster.removeMachine(other, 0);
        assertEquals(0, cluster.tasksOfUnknownJobs());
        assertEquals(ResourceAmount.ZERO, cluster.quotaUsage.unbookedBy(TEAM));
        assertFalse(job.mayBeOnMachines());
    }

    @Test
    void newAttemptOnTheSameMachineKeepsTheUsageOfTheOldOne() {
        persistedBooking(0);
        cluster.book(job, 0, 2, machine, 0);
        assertEquals(ResourceAmount.of(4, 2), cluster.quotaUsage.bookedBy(TEAM));
    }

    @Test
    void unreadableRecordOfUnknownTeamWithholdsAllStarts() {
        cluster.quotaUsage.blockForUnreadableJob(null);
        Booking booking = persistedBooking(0);
        assertFalse(startAuthorization.allows(booking, 0));
        assertEquals(0, counts.violations());
    }
}
