package org.weldcourse.app;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.weldcourse.simulation.JobBodies.jobBody;

import java.util.List;
import java.util.Map;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.weldcourse.settings.Settings;
import org.weldcourse.simulation.SimulatedCluster;

/**
 * Guards against broken rules when something happens between two parts of long work on a large gang: each event takes 1
 * ms, so that the bookings of a gang of 8,000 tasks, their release and their restoration last for a while.
 */
class InterruptedPartsTest {
    private static final String GANG = "req-000001";
    private static final String SMALL = "req-000002";
    private static final int TASKS = 8_000;
    private static final long EVENT_MICROS = 1_000;
    private static final long HOUR_MICROS = 3_600_000_000L;

    /** The limit of team {@code core} is reached by the gang alone. */
    private final SimulatedCluster cluster =
            new SimulatedCluster(2, 16, 32 * 1024, List.of(new Settings.Team("core", 0, 15, 0, 0)));

    private void submitGang() {
        cluster.clock.passSeconds(2);
        cluster.invariants().fetchMicros.put(GANG, HOUR_MICROS);
        Map<String, Object> gang = jobBody(
                GANG,
                "shape",
                "ensemble",
                "together",
                true,
                "beads",
                TASKS,
                "cpus",
                14.0 / TASKS,
                "mem_gb",
                50.0 / TASKS);
        assertEquals(201, cluster.submit(cluster.leader(), gang).status());
        cluster.clock.eventsTake(EVENT_MICROS);
    }

    /** Waits until the leader has begun to book the gang, and then for another while. */
    private void awaitBooking(long microsLater) {
        long before = operations();
        for (int i = 0; i < 30_000 && operations() < before + TASKS / 20; i++) {
            cluster.clock.pass(EVENT_MICROS);
        }
        assertTrue(operations() > before, "the gang is being booked");
        cluster.clock.pass(microsLater);
    }

    private long operations() {
        return cluster.controller(cluster.leader()).bookingOperations().count();
    }

    private String otherNode() {
        return cluster.leader().equals("n0") ? "n1" : "n0";
    }

    @ParameterizedTest
    @ValueSource(longs = {0, 5_000, 20_000, 100_000})
    void cancellationBetweenTwoParts(long microsLater) {
        submitGang();
        awaitBooking(microsLater);
        cluster.cancelAsync(otherNode(), GANG);
        cluster.clock.passSeconds(15);
        assertEquals("cancelled", cluster.poll(otherNode(), GANG).state());
        assertEquals(0, cluster.startsAfterCancellation());
        cluster.submit(otherNode(), jobBody(SMALL, "beads", 1));
        assertTrue(cluster.reaches(otherNode(), SMALL, "done", 90), "the limit is free again");
    }

    @ParameterizedTest
    @ValueSource(longs = {0, 5_000, 20_000, 100_000})
    void leaderEndsBetweenTwoParts(long microsLater) {
        submitGang();
        awaitBooking(microsLater);
        cluster.killNode(cluster.leader());
        cluster.clock.passSeconds(25);
        assertEquals("running", cluster.poll(cluster.leader(), GANG).state());
    }

    @ParameterizedTest
    @ValueSource(longs = {0, 5_000, 20_000, 100_000})
    void machineIsLostBetweenTwoParts(long microsLater) {
        submitGang();
        awaitBooking(microsLater);
        for (String machine : List.copyOf(cluster.workers.keySet())) {
            cluster.cutHeartbeats(machine);
            cluster.workers.get(machine).freeze(true);
        }
        cluster.clock.passSeconds(60);
        assertEquals("running", cluster.poll(otherNode(), GANG).state());
        assertTrue(cluster.workers.values().stream().anyMatch(worker -> worker.listedTasks() > 0), "started again");
    }

    /** The cancellation arrives while a new leader restores the bookings. */
    @ParameterizedTest
    @ValueSource(longs = {0, 20_000, 80_000})
    void cancellationDuringTheRecovery(long microsLater) {
        submitGang();
        awaitBooking(2_000_000);
        String leader = cluster.leader();
        cluster.killNode(leader);
        for (int i = 0; i < 20_000 && cluster.leader() == null; i++) {
            cluster.clock.pass(EVENT_MICROS);
        }
        cluster.clock.pass(microsLater);
        cluster.cancelAsync(cluster.leader(), GANG);
        cluster.clock.passSeconds(20);
        assertTrue(cluster.reaches(cluster.leader(), GANG, "cancelled", 20));
        cluster.checkCancelled();
        assertEquals(0, cluster.startsAfterCancellation());
    }

    /** The store refuses the leader while it books: the outcome of the write is not known for a while. */
    @ParameterizedTest
    @ValueSource(longs = {0, 10_000, 40_000})
    void storeRefusesTheLeaderBetweenTwoParts(long microsLater) {
        submitGang();
        awaitBooking(microsLater);
        String leader = cluster.leader();
        cluster.refuseStore(leader, true);
        cluster.clock.passSeconds(8);
        cluster.refuseStore(leader, false);
        cluster.clock.passSeconds(20);
        assertEquals("running", cluster.poll(cluster.leader(), GANG).state());
    }
}
