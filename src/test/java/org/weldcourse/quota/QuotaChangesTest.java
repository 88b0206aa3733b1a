package org.weldcourse.quota;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.EnumSet;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.weldcourse.http.Json;
import org.weldcourse.quota.ledger.OverQuotaPolicy;
import org.weldcourse.quota.ledger.QuotaChange;
import org.weldcourse.quota.ledger.QuotaEditor;
import org.weldcourse.quota.ledger.QuotaLedgerException.Reason;
import org.weldcourse.quota.ledger.QuotaRecordCodec;
import org.weldcourse.quota.ledger.TeamQuota;
import org.weldcourse.simulation.FakeNetwork;

/** Tests limit changes while jobs are served, and changes that are refused. */
class QuotaChangesTest extends TeamLimitsTestBase {
    private static final Set<Reason> INVALID_CHANGE_REASONS =
            EnumSet.of(Reason.INVALID_AMOUNT, Reason.GUARANTEE_OVER_LIMIT, Reason.UNKNOWN_COHORT);

    /** Replays a fixed scenario and lowers the limit before a different commit each time. */
    @ParameterizedTest
    @EnumSource(OverQuotaPolicy.class)
    void limitIsLoweredBeforeEachCommit(OverQuotaPolicy policy) {
        int commits = lowerLimitBefore(-1, policy);
        assertTrue(commits > 10, commits + " commits");
        for (int commitIndex = 0; commitIndex < commits; commitIndex++) {
            lowerLimitBefore(commitIndex, policy);
        }
    }

    private int lowerLimitBefore(int commitIndex, OverQuotaPolicy policy) {
        TeamLimitsTestBase scenario = new TeamLimitsTestBase();
        int[] commits = new int[1];
        // Counts the start and the completion of the operator's change.
        int[] operatorCalls = new int[1];
        scenario.cluster.network.injectFaults((from, call) -> {
            if (call.path().equals("/commit") && !from.equals("operator") && commits[0]++ == commitIndex) {
                operatorCalls[0]++;
                QuotaChange change = new QuotaChange(1.0, 2.0, null, null, policy, null);
                scenario.operator.set(team(CORE), change, result -> operatorCalls[0]++);
                return 20_000;
            }
            return FakeNetwork.NORMAL;
        });
        for (int i = 0; i < 3; i++) {
            for (String node : List.of("n0", "n1", "n2")) {
                String shape = i == 1 ? "array" : "ensemble";
                scenario.cluster.submitAsync(
                        node, scenario.job(CORE, 1_500_000, "shape", shape, "beads", 2L), answer -> {});
            }
            scenario.cluster.clock.passSeconds(i == 0 ? 9 : 3);
        }
        for (int i = 0; i < 120 && !scenario.cluster.store.keys("open/").isEmpty(); i++) {
            scenario.cluster.clock.passSeconds(1);
        }
        assertEquals(List.of(), scenario.cluster.store.keys("open/"), "limit lowered before commit " + commitIndex);
        assertTrue(commitIndex < 0 || operatorCalls[0] == 2, "the limit was lowered");
        return commits[0];
    }

    @Test
    void tasksOverALoweredLimitArePreemptedOrDrainedByPolicy() {
        submitAccepted("n0", job(CORE, FOREVER, "shape", "service", "beads", 10L, "expected_s", 0.0));
        cluster.clock.passSeconds(30);
        assertEquals(10, runningTasks(CORE));
        set(CORE, limitChange(6));
        cluster.clock.passSeconds(20);
        assertEquals(10, runningTasks(CORE), "the policy is to drain, and replicas never end");
        set(CORE, new QuotaChange(null, null, null, null, OverQuotaPolicy.PREEMPT, null));
        cluster.clock.passSeconds(20);
        assertEquals(6, runningTasks(CORE));
        set(CORE, limitChange(3));
        cluster.clock.passSeconds(20);
        assertEquals(3, runningTasks(CORE), "a limit below the guarantee is enforced too");
        set(CORE, limitChange(8));
        cluster.killNode(cluster.leader());
        cluster.clock.passSeconds(40);
        assertEquals(8, runningTasks(CORE), "limit raised during a leader change");
    }

    @Test
    void cohortLimitIsLoweredBelowRunningTasks() {
        putTeamsInCohort(16);
        submitService(CORE, 8);
        submitService("edge", 8);
        cluster.clock.passSeconds(40);
        assertEquals(16, runningTasks(CORE) + runningTasks("edge"));
        QuotaChange change = new QuotaChange(null, 12.0, null, null, OverQuotaPolicy.PREEMPT, null);
        assertTrue(edit(callback -> operator.setCohort("all", change, callback)).isChanged());
        cluster.clock.passSeconds(20);
        assertEquals(12, runningTasks(CORE) + runningTasks("edge"));
        assertTrue(runningTasks(CORE) >= 4 && runningTasks("edge") >= 4, "guarantees are kept");
    }

    @Test
    void unreadableRecordStopsOnlyItsTeam() {
        for (Object unreadable : List.of(Json.of("format", 2L, "team", CORE), Json.of("cpus", "many"))) {
            cluster.store.putRecord(QuotaRecordCodec.teamKey(CORE), unreadable);
            cluster.clock.passSeconds(2);
            Map<String, Object> stopped = submitAccepted("n0", job(CORE, 1_000_000));
            Map<String, Object> other = submitAccepted("n1", job("edge", 1_000_000));
            assertTrue(cluster.reaches("n2", id(other), "done", 60));
            cluster.clock.passSeconds(10);
            assertEquals("queued", cluster.poll("n2", id(stopped)).state());
            assertEquals("cancelled", cluster.cancel("n2", id(stopped)).state());
            QuotaEditor.Result<?> result = edit(callback -> operator.set(team(CORE), limitChange(3), callback));
            assertFalse(result.isChanged());
            assertTrue(result.problem().contains(QuotaRecordCodec.teamKey(CORE)), result.problem());
            assertEquals(Reason.UNREADABLE_RECORD, result.failure().reason());
        }
    }

    @Test
    void raisedLimitAcceptsALargerJobAndLoweredLimitQueuesAnAcceptedJob() {
        Map<String, Object> large = job(CORE, 1_000_000, "shape", "ensemble", "beads", 12L);
        set(CORE, limitChange(8));
        cluster.clock.passSeconds(1);
        assertEquals(422, cluster.submit("n1", large).status());
        set(CORE, limitChange(14));
        assertEquals(201, cluster.submit("n1", large).status());
        set(CORE, limitChange(2));
        assertEquals(200, cluster.submit("n2", large).status(), "an accepted job stays accepted under a lower limit");
        cluster.clock.passSeconds(30);
        set(CORE, limitChange(16));
        assertTrue(cluster.reaches("n3", id(large), "done", 100));
    }

    /** An unreadable team record must not make the quota that the team uses appear free to its cohort. */
    @Test
    void usageCountsAgainstTheCohortWhileTheTeamRecordIsUnreadable() {
        putTeamsInCohort(12);
        submitService(CORE, 8);
        cluster.clock.passSeconds(40);
        assertEquals(8, runningTasks(CORE));
        cluster.store.putRecord(QuotaRecordCodec.teamKey(CORE), Json.of("format", 2L, "team", CORE));
        cluster.clock.passSeconds(2);
        submitService("edge", 8);
        cluster.clock.passSeconds(40);
        assertEquals(4, runningTasks("edge"));
        cluster.killNode(cluster.leader());
        cluster.clock.passSeconds(60);
        assertEquals(8, runningTasks(CORE));
        assertEquals(4, runningTasks("edge"), "also under a leader that never read a valid record");
    }

    @Test
    void invalidChangesReportTheReasonAndWriteNothing() {
        Map<QuotaChange, String> invalidChanges = new HashMap<>();
        invalidChanges.put(new QuotaChange(-1.0, null, null, null, null, null), "cpus:");
        invalidChanges.put(new QuotaChange(null, Double.NaN, null, null, null, null), "cpus-max:");
        invalidChanges.put(new QuotaChange(9.0, 8.0, null, null, null, null), "guarantee");
        invalidChanges.put(new QuotaChange(null, null, null, null, null, "unheard-of"), "cohort:");
        Map<String, Object> before = cluster.store.value(QuotaRecordCodec.teamKey(CORE));
        invalidChanges.forEach((change, expectedText) -> {
            QuotaEditor.Result<?> result = edit(callback -> operator.set(team(CORE), change, callback));
            assertFalse(result.isChanged());
            assertTrue(result.problem().contains(expectedText), result.problem());
            assertTrue(INVALID_CHANGE_REASONS.contains(result.failure().reason()), result.problem());
        });
        putTeamsInCohort(12);
        QuotaChange small = new QuotaChange(null, 11.0, null, null, null, null);
        QuotaEditor.Result<?> tooSmall = edit(callback -> operator.setCohort("all", small, callback));
        assertTrue(tooSmall.problem().contains("can't cover guarantees"), tooSmall.problem());
        assertEquals(Reason.COHORT_TOO_SMALL, tooSmall.failure().reason());
        assertEquals(
                before.get("cpus_max"),
                cluster.store.value(QuotaRecordCodec.teamKey(CORE)).get("cpus_max"));
        cluster.store.down(true);
        QuotaEditor.Result<?> unreachable = edit(callback -> operator.set(team(CORE), limitChange(3), callback));
        assertEquals("the state service does not answer", unreachable.problem());
        assertEquals(Reason.STORE_UNAVAILABLE, unreachable.failure().reason());
    }

    @Test
    void concurrentChangesCannotExceedTheCohortLimit() {
        putTeamsInCohort(12);
        List<QuotaEditor.Result<TeamQuota>> results = new ArrayList<>();
        for (String team : List.of(CORE, "edge", "late")) {
            QuotaChange change = new QuotaChange(6.0, null, null, null, null, null);
            new QuotaEditor(cluster.storeClient("operator-" + team)).set(team(team), change, results::add);
        }
        cluster.clock.passSeconds(5);
        assertEquals(3, results.size());
        assertEquals(0, results.stream().filter(QuotaEditor.Result::isChanged).count());
        set("late", new QuotaChange(0.0, null, null, null, null, null));
        results.clear();
        for (String team : List.of(CORE, "edge")) {
            QuotaChange change = new QuotaChange(8.0, null, null, null, null, null);
            new QuotaEditor(cluster.storeClient("operator-" + team)).set(team(team), change, results::add);
        }
        cluster.clock.passSeconds(5);
        assertEquals(1, results.stream().filter(QuotaEditor.Result::isChanged).count(), results.toString());
    }

    /** The message that reports another operator's change keeps the format of earlier versions. */
    @Test
    void concurrentChangeReportsTheStoredSpec() {
        List<QuotaEditor.Result<TeamQuota>> results = new ArrayList<>();
        for (double cpus : new double[] {6, 7}) {
            new QuotaEditor(cluster.storeClient("operator-" + cpus)).set(team(CORE), limitChange(cpus), results::add);
        }
        cluster.clock.passSeconds(5);
        List<QuotaEditor.Result<TeamQuota>> refused =
                results.stream().filter(result -> !result.isChanged()).toList();
        assertEquals(1, refused.size(), results.toString());
        assertEquals(Reason.CONCURRENT_CHANGE, refused.get(0).failure().reason());
        assertEquals(
                "the record was changed meanwhile: TeamLimit[team=core, guarantee=4.0 CPUs, limit=6.0 CPUs, "
                        + "overLimit=DRAIN, cohort=null, budgets={}, budgetsCohortVersion=0, version=0]",
                refused.get(0).problem());
    }
}
