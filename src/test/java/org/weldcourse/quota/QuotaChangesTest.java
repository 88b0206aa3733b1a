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

/** Limits that change while jobs are served, and changes that are refused. */
class QuotaChangesTest extends TeamLimitsWorld {
    private static final Set<Reason> WRONG_CHANGES =
            EnumSet.of(Reason.INVALID_AMOUNT, Reason.GUARANTEE_OVER_LIMIT, Reason.UNKNOWN_COHORT);

    /** The limit is lowered before each single commit of a scripted day. */
    @ParameterizedTest
    @EnumSource(OverQuotaPolicy.class)
    void aLimitIsLoweredBetweenAnyTwoWrites(OverQuotaPolicy over) {
        int commits = lowerBefore(-1, over);
        assertTrue(commits > 10, commits + " commits");
        for (int at = 0; at < commits; at++) {
            lowerBefore(at, over);
        }
    }

    private int lowerBefore(int at, OverQuotaPolicy over) {
        TeamLimitsWorld day = new TeamLimitsWorld();
        int[] commits = new int[1];
        int[] lowered = new int[1];
        day.world.network.injectFaults((from, call) -> {
            if (call.path().equals("/commit") && !from.equals("operator") && commits[0]++ == at) {
                lowered[0]++;
                QuotaChange change = new QuotaChange(1.0, 2.0, null, null, over, null);
                day.operator.set(team(CORE), change, result -> lowered[0]++);
                return 20_000;
            }
            return FakeNetwork.NORMAL;
        });
        for (int i = 0; i < 3; i++) {
            for (String node : List.of("n0", "n1", "n2")) {
                String shape = i == 1 ? "array" : "ensemble";
                day.world.submitSoon(node, day.job(CORE, 1_500_000, "shape", shape, "beads", 2L), answer -> {});
            }
            day.world.clock.passSeconds(i == 0 ? 9 : 3);
        }
        for (int i = 0; i < 120 && !day.world.store.keys("open/").isEmpty(); i++) {
            day.world.clock.passSeconds(1);
        }
        assertEquals(List.of(), day.world.store.keys("open/"), "lowered before commit " + at);
        assertTrue(at < 0 || lowered[0] == 2, "the limit was lowered");
        return commits[0];
    }

    @Test
    void whatRunsOverALoweredLimitIsDisplacedOrDrainsAsTheOperatorChose() {
        submitted("n0", job(CORE, FOREVER, "shape", "service", "beads", 10L, "expected_s", 0.0));
        world.clock.passSeconds(30);
        assertEquals(10, running(CORE));
        set(CORE, limit(6));
        world.clock.passSeconds(20);
        assertEquals(10, running(CORE), "drains, and a replica has no end");
        set(CORE, new QuotaChange(null, null, null, null, OverQuotaPolicy.PREEMPT, null));
        world.clock.passSeconds(20);
        assertEquals(6, running(CORE));
        set(CORE, limit(3));
        world.clock.passSeconds(20);
        assertEquals(3, running(CORE), "lowered below the guarantee as well");
        set(CORE, limit(8));
        world.killNode(world.leader());
        world.clock.passSeconds(40);
        assertEquals(8, running(CORE), "raised while the leader changed");
    }

    @Test
    void theCohortsSumShrinksUnderRunningWork() {
        cohort(16);
        service(CORE, 8);
        service("edge", 8);
        world.clock.passSeconds(40);
        assertEquals(16, running(CORE) + running("edge"));
        QuotaChange change = new QuotaChange(null, 12.0, null, null, OverQuotaPolicy.PREEMPT, null);
        assertTrue(edit(then -> operator.setCohort("all", change, then)).isChanged());
        world.clock.passSeconds(20);
        assertEquals(12, running(CORE) + running("edge"));
        assertTrue(running(CORE) >= 4 && running("edge") >= 4, "guarantees stay");
    }

    @Test
    void aRecordThatCannotBeReadStopsItsTeamAlone() {
        for (Object garbage : List.of(Json.of("format", 2L, "team", CORE), Json.of("cpus", "many"))) {
            world.store.plant(QuotaRecordCodec.teamKey(CORE), garbage);
            world.clock.passSeconds(2);
            Map<String, Object> stopped = submitted("n0", job(CORE, 1_000_000));
            Map<String, Object> other = submitted("n1", job("edge", 1_000_000));
            assertTrue(world.reaches("n2", id(other), "done", 60));
            world.clock.passSeconds(10);
            assertEquals("queued", world.poll("n2", id(stopped)).state());
            assertEquals("cancelled", world.cancel("n2", id(stopped)).state());
            QuotaEditor.Result<?> result = edit(then -> operator.set(team(CORE), limit(3), then));
            assertFalse(result.isChanged());
            assertTrue(result.problem().contains(QuotaRecordCodec.teamKey(CORE)), result.problem());
            assertEquals(Reason.UNREADABLE_RECORD, result.failure().reason());
        }
    }

    @Test
    void aRaisedLimitCountsForAJobThatWasTooLargeAndALoweredOneQueuesWhatIsKnown() {
        Map<String, Object> large = job(CORE, 1_000_000, "shape", "ensemble", "beads", 12L);
        set(CORE, limit(8));
        world.clock.passSeconds(1);
        assertEquals(422, world.submit("n1", large).status());
        set(CORE, limit(14));
        assertEquals(201, world.submit("n1", large).status());
        set(CORE, limit(2));
        assertEquals(200, world.submit("n2", large).status(), "known, whatever the limit is now");
        world.clock.passSeconds(30);
        set(CORE, limit(16));
        assertTrue(world.reaches("n3", id(large), "done", 100));
    }

    /** Room that a team takes is not free because nobody can read what the team is allowed. */
    @Test
    void whatATeamRunsCountsForItsCohortAlsoWhileItsRecordCannotBeRead() {
        cohort(12);
        service(CORE, 8);
        world.clock.passSeconds(40);
        assertEquals(8, running(CORE));
        world.store.plant(QuotaRecordCodec.teamKey(CORE), Json.of("format", 2L, "team", CORE));
        world.clock.passSeconds(2);
        service("edge", 8);
        world.clock.passSeconds(40);
        assertEquals(4, running("edge"));
        world.killNode(world.leader());
        world.clock.passSeconds(60);
        assertEquals(8, running(CORE));
        assertEquals(4, running("edge"), "also under a leader that never read the record");
    }

    @Test
    void badChangesSayWhyAndWriteNothing() {
        Map<QuotaChange, String> wrong = new HashMap<>();
        wrong.put(new QuotaChange(-1.0, null, null, null, null, null), "cpus:");
        wrong.put(new QuotaChange(null, Double.NaN, null, null, null, null), "cpus-max:");
        wrong.put(new QuotaChange(9.0, 8.0, null, null, null, null), "guarantee");
        wrong.put(new QuotaChange(null, null, null, null, null, "unheard-of"), "cohort:");
        Map<String, Object> before = world.store.value(QuotaRecordCodec.teamKey(CORE));
        wrong.forEach((change, word) -> {
            QuotaEditor.Result<?> result = edit(then -> operator.set(team(CORE), change, then));
            assertFalse(result.isChanged());
            assertTrue(result.problem().contains(word), result.problem());
            assertTrue(WRONG_CHANGES.contains(result.failure().reason()), result.problem());
        });
        cohort(12);
        QuotaChange small = new QuotaChange(null, 11.0, null, null, null, null);
        QuotaEditor.Result<?> tooSmall = edit(then -> operator.setCohort("all", small, then));
        assertTrue(tooSmall.problem().contains("can't cover guarantees"), tooSmall.problem());
        assertEquals(Reason.COHORT_TOO_SMALL, tooSmall.failure().reason());
        assertEquals(
                before.get("cpus_max"),
                world.store.value(QuotaRecordCodec.teamKey(CORE)).get("cpus_max"));
        world.store.down(true);
        QuotaEditor.Result<?> unreachable = edit(then -> operator.set(team(CORE), limit(3), then));
        assertEquals("the state service does not answer", unreachable.problem());
        assertEquals(Reason.STORE_UNAVAILABLE, unreachable.failure().reason());
    }

    @Test
    void twoOperatorsCannotTogetherPromiseMoreThanACohortHas() {
        cohort(12);
        List<QuotaEditor.Result<TeamQuota>> results = new ArrayList<>();
        for (String team : List.of(CORE, "edge", "late")) {
            QuotaChange change = new QuotaChange(6.0, null, null, null, null, null);
            new QuotaEditor(world.storeOf("operator-" + team)).set(team(team), change, results::add);
        }
        world.clock.passSeconds(5);
        assertEquals(3, results.size());
        assertEquals(0, results.stream().filter(QuotaEditor.Result::isChanged).count());
        set("late", new QuotaChange(0.0, null, null, null, null, null));
        results.clear();
        for (String team : List.of(CORE, "edge")) {
            QuotaChange change = new QuotaChange(8.0, null, null, null, null, null);
            new QuotaEditor(world.storeOf("operator-" + team)).set(team(team), change, results::add);
        }
        world.clock.passSeconds(5);
        assertEquals(1, results.stream().filter(QuotaEditor.Result::isChanged).count(), results.toString());
    }

    /** The line that tells an operator of another one's change names the terms as it always did. */
    @Test
    void whoComesSecondIsToldWhatTheFirstOneSet() {
        List<QuotaEditor.Result<TeamQuota>> results = new ArrayList<>();
        for (double cpus : new double[] {6, 7}) {
            new QuotaEditor(world.storeOf("operator-" + cpus)).set(team(CORE), limit(cpus), results::add);
        }
        world.clock.passSeconds(5);
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
