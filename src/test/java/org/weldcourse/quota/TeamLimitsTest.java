package org.weldcourse.quota;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.weldcourse.quota.ledger.QuotaChange;
import org.weldcourse.settings.OperatorSettings;
import org.weldcourse.simulation.FakeNetwork;
import org.weldcourse.simulation.SimulatedCluster;

/** Tests edge cases of team limits in the ledger. Each history is checked as in the random scenarios. */
class TeamLimitsTest extends TeamLimitsTestBase {
    @ParameterizedTest
    @ValueSource(ints = {1, 3})
    void limitHoldsWhenFiveControllersReserveAtOnce(int gangSize) {
        grantBudgets(CORE);
        List<Integer> statuses = new ArrayList<>();
        List<String> ids = new ArrayList<>();
        for (int i = 0; i < 6; i++) {
            for (String node : cluster.alive()) {
                Map<String, Object> body = job(CORE, 3_000_000, "shape", "ensemble", "beads", (long) gangSize);
                ids.add(id(body));
                cluster.submitAsync(node, body, answer -> statuses.add(answer.status()));
            }
        }
        cluster.clock.passSeconds(2);
        assertEquals(30, statuses.stream().filter(status -> status == 201).count());
        assertTrue(reservedCpus(CORE) <= 16, "reserved " + reservedCpus(CORE));
        assertTrue(gangSize > 1 || history.reservations() >= 5, history.reservations() + " reservations");
        ids.forEach(id -> assertTrue(cluster.reaches("n0", id, "done", 300), id));
    }

    @Test
    void lastUnitOfQuotaIsUsedByOneTask() {
        set(CORE, limitChange(1));
        for (int i = 0; i < 5; i++) {
            cluster.alive().forEach(node -> cluster.submitAsync(node, job(CORE, 500_000), answer -> {}));
            cluster.clock.passSeconds(4);
            assertTrue(reservedCpus(CORE) <= 1);
            assertTrue(runningTasks(CORE) <= 1);
        }
        for (int i = 0; i < 200 && !cluster.store.keys("open/").isEmpty(); i++) {
            cluster.clock.passSeconds(1);
        }
        assertEquals(List.of(), cluster.store.keys("open/"));
    }

    /**
     * A submission's write arrives twelve seconds late, after the limit was lowered and all budgets were withdrawn. It
     * must be refused.
     */
    @Test
    void lateReservationWriteIsRefused() {
        grantBudgets(CORE);
        int[] delayedSubmissions = new int[1];
        cluster.network.injectFaults((from, call) -> {
            boolean submission =
                    call.path().equals("/commit") && call.body().toString().contains("accepted");
            delayedSubmissions[0] += submission ? 1 : 0;
            return submission ? 12_000_000 : FakeNetwork.NORMAL;
        });
        String owner = teamRecord(CORE).budgets().keySet().iterator().next();
        String node = owner.substring(0, owner.indexOf('#'));
        int reservationsBefore = history.reservations();
        cluster.submitAsync(node, job(CORE, 1_000_000, "shape", "ensemble"), answer -> {});
        cluster.clock.passSeconds(1);
        assertTrue(delayedSubmissions[0] > 0, "the submission is in progress");
        set(CORE, limitChange(1));
        cluster.clock.passSeconds(30);
        assertEquals(reservationsBefore, history.reservations());
        cluster.network.injectFaults((from, call) -> FakeNetwork.NORMAL);
    }

    /**
     * The store applies the submission but its response is lost. The retry must neither reserve twice nor lose the
     * reservation.
     */
    @Test
    void reservationWithLostResponseCountsOnce() {
        grantBudgets(CORE);
        int[] submissions = new int[1];
        cluster.network.injectFaults((from, call) -> {
            boolean submission =
                    call.path().equals("/commit") && call.body().toString().contains("accepted");
            return submission && submissions[0]++ == 0 ? FakeNetwork.RESPONSE_LOST : FakeNetwork.NORMAL;
        });
        int reservationsBefore = history.reservations();
        String owner = teamRecord(CORE).budgets().keySet().iterator().next();
        Map<String, Object> body = job(CORE, 1_000_000, "shape", "ensemble");
        assertEquals(
                200,
                cluster.submit(owner.substring(0, owner.indexOf('#')), body).status());
        assertEquals(1, submissions[0] - 1, "one retry");
        assertEquals(reservationsBefore + 1, history.reservations());
        assertTrue(cluster.reaches("n0", id(body), "done", 60));
    }

    private List<String> ownersOtherThanTheLeader() {
        return teamRecord(CORE).budgets().keySet().stream()
                .filter(name -> !name.startsWith(cluster.leader()))
                .toList();
    }

    @Test
    void pausedControllerResumesWithStaleBudgets() {
        grantBudgets(CORE);
        for (int i = 0; i < 10 && ownersOtherThanTheLeader().isEmpty(); i++) {
            cluster.clock.passSeconds(1);
        }
        String owner = ownersOtherThanTheLeader().get(0);
        String node = owner.substring(0, owner.indexOf('#'));
        cluster.pauseNode(node);
        for (int i = 0; i < 4; i++) {
            cluster.submitAsync(node, job(CORE, 2_000_000, "shape", "ensemble"), answer -> {});
        }
        set(CORE, limitChange(2));
        cluster.clock.passSeconds(20);
        int reservationsBefore = history.reservations();
        cluster.resumeNode(node);
        cluster.clock.passSeconds(1);
        assertEquals(reservationsBefore, history.reservations(), "its budget was withdrawn");
        for (int i = 0; i < 100 && !cluster.store.keys("open/").isEmpty(); i++) {
            cluster.clock.passSeconds(1);
        }
        assertEquals(List.of(), cluster.store.keys("open/"), "the jobs were accepted without reservations");
    }

    /** A restarted process does not know what the previous one spent of its budget, so it must not use that budget. */
    @Test
    void restartedProcessDoesNotReuseItsFormerBudget() {
        grantBudgets(CORE);
        String owner = teamRecord(CORE).budgets().keySet().iterator().next();
        String node = owner.substring(0, owner.indexOf('#'));
        cluster.killNode(node);
        cluster.startNode(node);
        cluster.clock.passSeconds(8);
        int reservationsBefore = history.reservations();
        submitAccepted(node, job(CORE, 1_000_000, "shape", "ensemble"));
        assertEquals(reservationsBefore, history.reservations());
    }

    /** The leader reclaims budgets within seconds, without any answer from the controllers that hold them. */
    @Test
    void budgetOfAnIsolatedControllerIsReclaimed() {
        grantBudgets(CORE);
        for (String node : cluster.alive()) {
            if (!node.equals(cluster.leader())) {
                cluster.cutFromStore(node);
            }
        }
        Map<String, Object> body = job(CORE, FOREVER, "shape", "service", "beads", 16L, "expected_s", 0.0);
        submitAccepted(cluster.leader(), body);
        for (int i = 0; i < 60 && runningTasks(CORE) < 16; i++) {
            cluster.clock.passSeconds(1);
        }
        assertEquals(16, runningTasks(CORE), "the whole limit is in use");
        assertTrue(teamRecord(CORE).budgets().isEmpty());
    }

    @Test
    void severalTeamsReclaimTheirGuaranteesAtOnce() {
        putTeamsInCohort(12);
        submitService(CORE, 12);
        cluster.clock.passSeconds(40);
        assertEquals(12, runningTasks(CORE), "borrows all unused guarantees");
        cluster.submitAsync("n1", job("edge", FOREVER, "shape", "service", "beads", 4L, "expected_s", 0.0), a -> {});
        cluster.submitAsync("n2", job("late", FOREVER, "shape", "ensemble", "beads", 4L), answer -> {});
        double seconds = secondsUntilGuarantees("edge", "late");
        System.out.println("guarantees of two teams restored after " + seconds + " s");
        assertTrue(seconds <= 30, seconds + " s");
        assertEquals(4, runningTasks(CORE));
    }

    /**
     * Tasks on a hung machine count against the limit until the machine's lease has expired and the machine was
     * released. These two steps bound the time to reclaim a guarantee.
     */
    @Test
    void guaranteeIsReclaimedWhileTheBorrowersMachinesHang() {
        putTeamsInCohort(12);
        submitService(CORE, 12);
        cluster.clock.passSeconds(40);
        assertEquals(12, runningTasks(CORE));
        cluster.workers.values().forEach(worker -> worker.freeze(true));
        submitAccepted("n1", job("edge", FOREVER, "shape", "ensemble", "beads", 4L));
        double seconds = secondsUntilGuarantees("edge");
        System.out.println("guarantee restored after " + seconds + " s with every machine hung");
        assertTrue(seconds <= 90, seconds + " s");
    }

    /**
     * Urgent gangs of a team without a guarantee fill the cohort, and more of them wait. The admission cycle placed
     * them first and they repeatedly retook the quota that lower-priority work had claimed as its guarantee.
     */
    @Test
    void urgentBorrowersDoNotRetakeQuotaClaimedByAGuarantee() {
        putTeamsInCohort(12);
        set("edge", new QuotaChange(0.0, null, null, null, null, null));
        for (int i = 0; i < 4; i++) {
            submitAccepted("n0", job("edge", FOREVER, "shape", "ensemble", "beads", 6L, "rank", "urgent"));
        }
        cluster.clock.passSeconds(40);
        assertEquals(12, runningTasks("edge"));
        Map<String, Object> owner = job(CORE, 5_000_000, "beads", 4L, "rank", "normal");
        submitAccepted("n1", owner);
        assertTrue(cluster.reaches("n2", id(owner), "done", 40));
    }

    /**
     * Two reserved gangs fill the limit and are preempted by a gang of higher priority. They must not reclaim the quota
     * through their reservations.
     */
    @Test
    void preemptedJobDoesNotRetakeItsReservedQuota() {
        set(CORE, limitChange(4));
        grantBudgets(CORE);
        List<String> ids = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            for (String node : cluster.alive()) {
                Map<String, Object> body = job(CORE, 4_000_000, "shape", "ensemble", "rank", "normal");
                ids.add(id(body));
                cluster.submitAsync(node, body, answer -> {});
            }
            cluster.clock.pass(400_000);
        }
        Map<String, Object> urgent = job(CORE, 4_000_000, "shape", "ensemble", "beads", 4L, "rank", "urgent");
        submitAccepted("n0", urgent);
        assertTrue(cluster.reaches("n1", id(urgent), "done", 60));
        ids.forEach(id -> assertTrue(cluster.reaches("n2", id, "done", 200), id));
    }

    @Test
    void lostReplicaIsReplacedAtTheLimitAndCancelledReservationIsReleased() {
        grantBudgets(CORE);
        Map<String, Object> service = submitService(CORE, 16);
        for (int i = 0; i < 60 && runningTasks(CORE) < 16; i++) {
            cluster.clock.passSeconds(1);
        }
        assertEquals(16, runningTasks(CORE));
        cluster.restartMachine(cluster.workerOf(id(service) + "/0").machine().name());
        cluster.clock.passSeconds(40);
        assertEquals(16, runningTasks(CORE));
        assertEquals("cancelled", cluster.cancel("n1", id(service)).state());
        Map<String, Object> next = job(CORE, 1_000_000, "shape", "ensemble", "beads", 16L);
        submitAccepted("n2", next);
        assertTrue(cluster.reaches("n3", id(next), "done", 120));
    }

    /**
     * Nodes that take limits from the settings ignore the ledger. When nodes return to the ledger, existing
     * reservations must still count.
     */
    @Test
    void teamLimitSourceChangesWhileServing() {
        grantBudgets(CORE);
        List<String> ids = new ArrayList<>();
        for (OperatorSettings.TeamLimitSource mode : List.of(
                OperatorSettings.TeamLimitSource.SETTINGS,
                OperatorSettings.TeamLimitSource.RECORDED_WITH_SOLVER,
                OperatorSettings.TeamLimitSource.SETTINGS)) {
            cluster.operatorSettings(SimulatedCluster.withTeamLimitSource(mode));
            for (String node : cluster.nodes()) {
                Map<String, Object> body = job(CORE, 4_000_000, "beads", 4L);
                ids.add(id(submitAccepted(node, body)));
                cluster.killNode(node);
                cluster.clock.passSeconds(1);
                cluster.startNode(node);
                cluster.clock.passSeconds(4);
            }
        }
        ids.forEach(id -> assertTrue(cluster.reaches("n0", id, "done", 200), id));
    }
}
