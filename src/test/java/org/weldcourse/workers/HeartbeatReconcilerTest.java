package org.weldcourse.workers;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.weldcourse.simulation.JobBodies.jobBody;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.weldcourse.cluster.Booking;
import org.weldcourse.cluster.ClusterState;
import org.weldcourse.cluster.Job;
import org.weldcourse.cluster.Machine;
import org.weldcourse.http.Json;
import org.weldcourse.jobs.JobSpecCodec;

/** Tests of {@link HeartbeatReconciler}. */
class HeartbeatReconcilerTest {
    private static final StartAuthorization.TeamQuotas UNLIMITED = new StartAuthorization.TeamQuotas() {
        @Override
        public boolean isOverbooked(String team) {
            return false;
        }

        @Override
        public boolean isLimitExceeded(String team) {
            return false;
        }

        @Override
        public String describeLimit(String team) {
            return "any";
        }
    };

    private final ClusterState cluster = new ClusterState();
    private final StartAuthorization startAuthorization = new StartAuthorization(cluster, UNLIMITED, new StartCounts());
    private final HeartbeatReconciler reconciler = new HeartbeatReconciler(cluster, 7, 10_000_000, startAuthorization);
    private final CommandSelector commandSelector = new CommandSelector(cluster, startAuthorization);

    private static Heartbeat heartbeat(long sequence, long fencingToken, TaskId task) {
        return heartbeat(sequence, fencingToken, List.of(new TaskStatus(task, 1, TaskState.RUNNING, null)));
    }

    private static Heartbeat heartbeat(long sequence, long fencingToken, List<TaskStatus> tasks) {
        return new Heartbeat(
                "m-000001", "x:1", "large", "a", false, 1, sequence, fencingToken, Heartbeat.NO_RECLAIM_NOTICE, tasks);
    }

    private Booking admit(int attempt, Machine machine) throws Exception {
        if (!cluster.jobs.containsKey("req-000001")) {
            cluster.jobs.put(
                    "req-000001",
                    new Job(JobSpecCodec.decode(Json.objectOrEmpty(Json.bytes(jobBody("req-000001")))), 1, 0));
        }
        Booking booking = cluster.book(cluster.jobs.get("req-000001"), 0, attempt, machine, 0);
        booking.markPersisted();
        return booking;
    }

    /** Reconciles a heartbeat and selects the commands of its response, as the leader does. */
    private Response reconcile(Machine machine, Heartbeat heartbeat, boolean mayStart, long nowMicros) {
        HeartbeatReconciler.Result result = reconciler.reconcile(machine, heartbeat, nowMicros);
        List<WorkerCommand> commands = result.accepted()
                ? commandSelector.selectCommands(machine, mayStart, nowMicros)
                : commandSelector.stopCommandsForCancelledTasks(heartbeat);
        return new Response(commands, result.changed());
    }

    private record Response(List<WorkerCommand> commands, boolean changed) {}

    @Test
    void everyResponseStopsCancelledTasksBeforeTheNextCycle() throws Exception {
        Machine machine = cluster.getOrAddMachine("m-000001", 0);
        Booking booking = admit(1, machine);
        Job job = booking.job();
        assertEquals(
                List.of(),
                reconcile(machine, heartbeat(1, 7, booking.taskId()), true, 1_000)
                        .commands());
        job.cancel();
        List<WorkerCommand> stop = List.of(WorkerCommand.stop(booking.taskId(), 1, 0));
        assertEquals(
                stop,
                reconcile(machine, heartbeat(2, 7, booking.taskId()), true, 2_000)
                        .commands());
        // The response carries the stop even if the heartbeat has another token or the machine is being deleted.
        assertEquals(
                stop,
                reconcile(machine, heartbeat(3, 6, booking.taskId()), true, 3_000)
                        .commands());
        machine.deleting = true;
        assertEquals(
                stop,
                reconcile(machine, heartbeat(4, 7, booking.taskId()), true, 4_000)
                        .commands());
        assertTrue(booking.isStopSent());
    }

    @Test
    void oldHeartbeatsAndThoseWithAnotherTokenChangeNothing() throws Exception {
        Machine machine = cluster.getOrAddMachine("m-000001", 0);
        Booking booking = admit(1, machine);
        assertFalse(reconcile(machine, heartbeat(1, 6, booking.taskId()), true, 1_000)
                .changed());
        assertFalse(booking.isReported());
        assertFalse(machine.isUp());
        assertTrue(reconcile(machine, heartbeat(5, 7, booking.taskId()), true, 2_000)
                .changed());
        assertTrue(booking.isReported());
        for (long sequence = 4; sequence <= 5; sequence++) {
            assertFalse(reconcile(machine, heartbeat(sequence, 7, List.of()), true, 3_000)
                    .changed());
        }
        assertEquals(booking, machine.bookings.get(booking.taskId()));
    }

    /** Guards against a machine that is not prompted for heartbeats any more because of a response that nobody awaits. */
    @Test
    void newerHeartbeatEndsTheWaitForAHeldResponse() {
        Machine machine = cluster.getOrAddMachine("m-000001", 0);
        machine.heartbeatResponsePending = true;
        reconcile(machine, heartbeat(1, 6, List.of()), true, 1_000);
        assertTrue(machine.heartbeatResponsePending, "refused, as it carries another token");
        reconcile(machine, heartbeat(2, 7, List.of()), true, 2_000);
        assertFalse(machine.heartbeatResponsePending);
    }

    @Test
    void taskThatIsNoLongerListedBecomesPendingAgain() throws Exception {
        Machine machine = cluster.getOrAddMachine("m-000001", 0);
        Booking booking = admit(1, machine);
        reconcile(machine, heartbeat(1, 7, booking.taskId()), true, 1_000);
        assertFalse(booking.job().pendingTasks().get(0));
        assertTrue(reconcile(machine, heartbeat(2, 7, List.of()), true, 2_000).changed());
        assertTrue(machine.bookings.isEmpty());
        assertTrue(booking.job().pendingTasks().get(0));
    }

    @Test
    void machineThatMissesTwoResponsesIsCordonedUntilOneArrives() throws Exception {
        Machine machine = cluster.getOrAddMachine("m-000001", 0);
        Booking first = admit(1, machine);
        first.markStartSent();
        reconcile(machine, heartbeat(1, 7, List.of()), false, 1_000);
        assertFalse(machine.isCordoned());
        assertEquals(first, machine.bookings.get(first.taskId()), "the start may be repeated");
        first.markStartSent();
        reconcile(machine, heartbeat(2, 7, List.of()), false, 2_000);
        assertTrue(machine.isCordoned());
        assertTrue(machine.bookings.isEmpty(), "released, so that another machine can be booked");
        Booking second = admit(2, machine);
        second.markStartSent();
        List<TaskStatus> listed = List.of(new TaskStatus(second.taskId(), 2, TaskState.FETCHING_IMAGE, null));
        reconcile(machine, heartbeat(3, 7, listed), false, 3_000);
        assertFalse(machine.isCordoned());
    }

    @Test
    void leaseExpiryWhileHeartbeatsArriveCountsAsLostResponse() {
        Machine machine = cluster.getOrAddMachine("m-000001", 0);
        for (long incarnation = 1; incarnation <= 3; incarnation++) {
            assertFalse(machine.isCordoned());
            Heartbeat heartbeat = new Heartbeat(
                    "m-000001", "x:1", "large", "a", false, incarnation, 1, 7, Heartbeat.NO_RECLAIM_NOTICE, List.of());
            reconcile(machine, heartbeat, false, incarnation * 9_000_000);
        }
        assertTrue(machine.isCordoned());
        // An incarnation that lasts longer than one and a half leases must have received a response.
        reconcile(machine, heartbeat(9, 7, List.of()), false, 28_000_000);
        assertTrue(machine.isCordoned(), "heartbeat of an earlier incarnation");
        Heartbeat later =
                new Heartbeat("m-000001", "x:1", "large", "a", false, 3, 2, 7, Heartbeat.NO_RECLAIM_NOTICE, List.of());
        reconcile(machine, later, false, 42_000_001);
        assertFalse(machine.isCordoned());
    }
}
