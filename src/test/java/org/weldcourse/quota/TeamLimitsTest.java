package org.weldcourse.quota;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.weldcourse.simulation.SimulatedCluster.jobBody;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.weldcourse.http.Json;
import org.weldcourse.settings.Settings;
import org.weldcourse.settings.Tuning;
import org.weldcourse.simulation.FakeNet;
import org.weldcourse.simulation.SimulatedCluster;

/** Hard cases of team limits on record, one after the other. Each history is checked as in the random days. */
class TeamLimitsTest {
    private static final long FOREVER = Long.MAX_VALUE;
    private static final String CREW = "core";
    private static final List<Settings.Team> TEAMS = List.of(
            new Settings.Team(CREW, 4, 16, 0, 0),
            new Settings.Team("edge", 4, 16, 0, 0),
            new Settings.Team("late", 4, 16, 0, 0));

    private final SimulatedCluster world;
    private final QuotaHistory history;
    private final LimitsEditor operator;
    private int lastJob;

    TeamLimitsTest() {
        world = new SimulatedCluster(5, 16, 32 * 1024, TEAMS, Tuning.TeamLimits.RECORDED);
        history = new QuotaHistory(world);
        operator = new LimitsEditor(world.storeOf("operator"));
        world.time.passSeconds(3);
    }

    private static LimitChange limit(double cpus) {
        return new LimitChange(Math.min(4, cpus), cpus, null, null, null, null);
    }

    private LimitsEditor.Result edit(Consumer<Consumer<LimitsEditor.Result>> change) {
        LimitsEditor.Result[] result = new LimitsEditor.Result[1];
        change.accept(ended -> result[0] = ended);
        for (int i = 0; i < 100 && result[0] == null; i++) {
            world.time.pass(50_000);
        }
        assertNotNull(result[0], "the operator's change has ended");
        return result[0];
    }

    private void set(String team, LimitChange change) {
        LimitsEditor.Result result = edit(then -> operator.set(team(team), change, then));
        assertTrue(result.isChanged(), result.problem());
    }

    private static Settings.Team team(String name) {
        return TEAMS.stream()
                .filter(team -> team.name().equals(name))
                .findFirst()
                .orElseThrow();
    }

    private Map<String, Object> job(String crew, long runMicros, Object... changes) {
        String id = String.format("req-%06d", ++lastJob);
        world.runMicros.put(id, runMicros);
        Map<String, Object> body = jobBody(id, "crew", crew, "cpus", 1.0, "beads", 1L);
        body.putAll(Json.of(changes));
        return body;
    }

    private static String id(Map<String, Object> body) {
        return Json.text(body, "name_id");
    }

    private Map<String, Object> submitted(String node, Map<String, Object> body) {
        assertEquals(201, world.submit(node, body).status());
        return body;
    }

    /** Lets every controller get a budget by accepting a job of the team. */
    private void grantBudgets(String crew) {
        for (int round = 0; round < 3; round++) {
            world.alive().forEach(node -> submitted(node, job(crew, 100_000, "shape", "ensemble")));
            world.time.passSeconds(3);
        }
        for (int i = 0; i < 60 && !world.state.keys("open/").isEmpty(); i++) {
            world.time.passSeconds(1);
        }
        assertFalse(record(crew).budgets().isEmpty(), "controllers have budgets");
    }

    private TeamLimit record(String crew) {
        try {
            String key = TeamLimitCodec.key(crew);
            return TeamLimitCodec.read(new org.weldcourse.store.Store.Entry(key, world.state.value(key), 1, 0));
        } catch (TeamLimitCodec.Unreadable unreadable) {
            throw new AssertionError(unreadable);
        }
    }

    private double reservedCpus(String crew) {
        double sum = 0;
        for (String key : world.state.keys("open/")) {
            Map<String, Object> value = world.state.value(key);
            Reservation reservation = Reservation.of(value);
            if (crew.equals(value.get("crew")) && reservation != null) {
                sum += reservation.tasks() * Json.decimal(value, "cpus", 0);
            }
        }
        return sum;
    }

    private int running(String crew) {
        int running = 0;
        for (Map.Entry<String, Map<String, Object>> entry : world.jobs.entrySet()) {
            for (int task = 0; task < Json.integer(entry.getValue(), "beads", 0); task++) {
                boolean here = world.whereIs(entry.getKey() + "/" + task) != null;
                running += here && crew.equals(entry.getValue().get("crew")) ? 1 : 0;
            }
        }
        return running;
    }

    @ParameterizedTest
    @ValueSource(ints = {1, 3})
    void fiveControllersReserveAtTheSameInstantAndTheLimitHolds(int gangSize) {
        grantBudgets(CREW);
        List<Integer> statuses = new ArrayList<>();
        List<String> ids = new ArrayList<>();
        for (int i = 0; i < 6; i++) {
            for (String node : world.alive()) {
                Map<String, Object> body = job(CREW, 3_000_000, "shape", "ensemble", "beads", (long) gangSize);
                ids.add(id(body));
                world.submitSoon(node, body, answer -> statuses.add(answer.status()));
            }
        }
        world.time.passSeconds(2);
        assertEquals(30, statuses.stream().filter(status -> status == 201).count());
        assertTrue(reservedCpus(CREW) <= 16, "reserved " + reservedCpus(CREW));
        assertTrue(gangSize > 1 || history.reservations() >= 5, history.reservations() + " reservations");
        ids.forEach(id -> assertTrue(world.reaches("n0", id, "done", 300), id));
    }

    @Test
    void theLastUnitGoesToOne() {
        set(CREW, limit(1));
        for (int i = 0; i < 5; i++) {
            world.alive().forEach(node -> world.submitSoon(node, job(CREW, 500_000), answer -> {}));
            world.time.passSeconds(4);
            assertTrue(reservedCpus(CREW) <= 1);
            assertTrue(running(CREW) <= 1);
        }
        for (int i = 0; i < 200 && !world.state.keys("open/").isEmpty(); i++) {
            world.time.passSeconds(1);
        }
        assertEquals(List.of(), world.state.keys("open/"));
    }

    /** The write is carried out twelve seconds late, when the limit was lowered and all budgets were taken back. */
    @Test
    void aReservationThatIsCarriedOutLateIsRefused() {
        grantBudgets(CREW);
        int[] held = new int[1];
        world.net.fates((from, call) -> {
            boolean submission =
                    call.path().equals("/commit") && call.body().toString().contains("accepted");
            held[0] += submission ? 1 : 0;
            return submission ? 12_000_000 : FakeNet.NORMAL;
        });
        String owner = record(CREW).budgets().keySet().iterator().next();
        String node = owner.substring(0, owner.indexOf('#'));
        int before = history.reservations();
        world.submitSoon(node, job(CREW, 1_000_000, "shape", "ensemble"), answer -> {});
        world.time.passSeconds(1);
        assertTrue(held[0] > 0, "the submission is under way");
        set(CREW, limit(1));
        world.time.passSeconds(30);
        assertEquals(before, history.reservations());
        world.net.fates((from, call) -> FakeNet.NORMAL);
    }

    /** The service carries the submission out, but its answer is lost: a repeat neither reserves twice nor is forgotten. */
    @Test
    void aReservationWhoseAnswerIsLostCountsOnce() {
        grantBudgets(CREW);
        int[] lost = new int[1];
        world.net.fates((from, call) -> {
            boolean submission =
                    call.path().equals("/commit") && call.body().toString().contains("accepted");
            return submission && lost[0]++ == 0 ? FakeNet.ANSWER_LOST : FakeNet.NORMAL;
        });
        int before = history.reservations();
        String owner = record(CREW).budgets().keySet().iterator().next();
        Map<String, Object> body = job(CREW, 1_000_000, "shape", "ensemble");
        assertEquals(
                200, world.submit(owner.substring(0, owner.indexOf('#')), body).status());
        assertEquals(1, lost[0] - 1, "tried again once");
        assertEquals(before + 1, history.reservations());
        assertTrue(world.reaches("n0", id(body), "done", 60));
    }

    @Test
    void aPausedControllerWakesWithRequestsAndOldBudgets() {
        grantBudgets(CREW);
        String owner = record(CREW).budgets().keySet().stream()
                .filter(name -> !name.startsWith(world.leader()))
                .findFirst()
                .orElseThrow();
        String node = owner.substring(0, owner.indexOf('#'));
        world.freezeNode(node);
        for (int i = 0; i < 4; i++) {
            world.submitSoon(node, job(CREW, 2_000_000, "shape", "ensemble"), answer -> {});
        }
        set(CREW, limit(2));
        world.time.passSeconds(20);
        int before = history.reservations();
        world.thawNode(node);
        world.time.passSeconds(1);
        assertEquals(before, history.reservations(), "its budget was gone");
        for (int i = 0; i < 100 && !world.state.keys("open/").isEmpty(); i++) {
            world.time.passSeconds(1);
        }
        assertEquals(List.of(), world.state.keys("open/"), "the jobs were accepted all the same");
    }

    /** The next life of a process does not know what the one before it spent, and spends nothing of its budget. */
    @Test
    void aProcessThatIsBackAtOnceUnderItsNameDoesNotSpendItsFormerBudget() {
        grantBudgets(CREW);
        String owner = record(CREW).budgets().keySet().iterator().next();
        String node = owner.substring(0, owner.indexOf('#'));
        world.killNode(node);
        world.startNode(node);
        world.time.passSeconds(8);
        int before = history.reservations();
        submitted(node, job(CREW, 1_000_000, "shape", "ensemble"));
        assertEquals(before, history.reservations());
    }

    /** Nobody has to ask a controller for what it holds: room that the leader needs is back within seconds. */
    @Test
    void theBudgetOfAControllerThatIsCutOffIsHadBack() {
        grantBudgets(CREW);
        for (String node : world.alive()) {
            if (!node.equals(world.leader())) {
                world.cutFromState(node);
            }
        }
        Map<String, Object> body = job(CREW, FOREVER, "shape", "service", "beads", 16L, "expected_s", 0.0);
        submitted(world.leader(), body);
        for (int i = 0; i < 60 && running(CREW) < 16; i++) {
            world.time.passSeconds(1);
        }
        assertEquals(16, running(CREW), "the whole limit is in use");
        assertTrue(record(CREW).budgets().isEmpty());
    }

    /** The limit is lowered before each single commit of a scripted day. */
    @ParameterizedTest
    @EnumSource(OverLimit.class)
    void aLimitIsLoweredBetweenAnyTwoWrites(OverLimit over) {
        int commits = lowerBefore(-1, over);
        assertTrue(commits > 10, commits + " commits");
        for (int at = 0; at < commits; at++) {
            lowerBefore(at, over);
        }
    }

    private int lowerBefore(int at, OverLimit over) {
        TeamLimitsTest day = new TeamLimitsTest();
        int[] commits = new int[1];
        int[] lowered = new int[1];
        day.world.net.fates((from, call) -> {
            if (call.path().equals("/commit") && !from.equals("operator") && commits[0]++ == at) {
                lowered[0]++;
                LimitChange change = new LimitChange(1.0, 2.0, null, null, over, null);
                day.operator.set(team(CREW), change, result -> lowered[0]++);
                return 20_000;
            }
            return FakeNet.NORMAL;
        });
        for (int i = 0; i < 3; i++) {
            for (String node : List.of("n0", "n1", "n2")) {
                String shape = i == 1 ? "array" : "ensemble";
                day.world.submitSoon(node, day.job(CREW, 1_500_000, "shape", shape, "beads", 2L), answer -> {});
            }
            day.world.time.passSeconds(i == 0 ? 9 : 3);
        }
        for (int i = 0; i < 120 && !day.world.state.keys("open/").isEmpty(); i++) {
            day.world.time.passSeconds(1);
        }
        assertEquals(List.of(), day.world.state.keys("open/"), "lowered before commit " + at);
        assertTrue(at < 0 || lowered[0] == 2, "the limit was lowered");
        return commits[0];
    }

    @Test
    void whatRunsOverALoweredLimitIsDisplacedOrDrainsAsTheOperatorChose() {
        submitted("n0", job(CREW, FOREVER, "shape", "service", "beads", 10L, "expected_s", 0.0));
        world.time.passSeconds(30);
        assertEquals(10, running(CREW));
        set(CREW, limit(6));
        world.time.passSeconds(20);
        assertEquals(10, running(CREW), "drains, and a replica has no end");
        set(CREW, new LimitChange(null, null, null, null, OverLimit.DISPLACE, null));
        world.time.passSeconds(20);
        assertEquals(6, running(CREW));
        set(CREW, limit(3));
        world.time.passSeconds(20);
        assertEquals(3, running(CREW), "lowered below the guarantee as well");
        set(CREW, limit(8));
        world.killNode(world.leader());
        world.time.passSeconds(40);
        assertEquals(8, running(CREW), "raised while the leader changed");
    }

    private void cohort(double cpus) {
        LimitChange change = new LimitChange(null, cpus, null, null, null, null);
        assertTrue(edit(then -> operator.setCohort("all", change, then)).isChanged());
        for (Settings.Team team : TEAMS) {
            set(team.name(), new LimitChange(null, null, null, null, null, "all"));
        }
    }

    private Map<String, Object> service(String crew, long replicas) {
        return submitted("n0", job(crew, FOREVER, "shape", "service", "beads", replicas, "expected_s", 0.0));
    }

    private double secondsUntilGuarantees(String... crews) {
        for (int tenths = 0; tenths < 3_000; tenths++) {
            boolean whole = true;
            for (String crew : crews) {
                whole &= running(crew) >= 4;
            }
            if (whole) {
                return tenths / 10.0;
            }
            world.time.pass(100_000);
        }
        throw new AssertionError("guarantees are not had back");
    }

    @Test
    void severalTeamsClaimTheirGuaranteesAtOnce() {
        cohort(12);
        service(CREW, 12);
        world.time.passSeconds(40);
        assertEquals(12, running(CREW), "borrows all that the others leave");
        world.submitSoon("n1", job("edge", FOREVER, "shape", "service", "beads", 4L, "expected_s", 0.0), a -> {});
        world.submitSoon("n2", job("late", FOREVER, "shape", "ensemble", "beads", 4L), answer -> {});
        double seconds = secondsUntilGuarantees("edge", "late");
        System.out.println("guarantees of two teams whole after " + seconds + " s");
        assertTrue(seconds <= 30, seconds + " s");
        assertEquals(4, running(CREW));
    }

    /** A hung machine's tasks hold their place until its lease and its return are over: that bounds the claim. */
    @Test
    void aGuaranteeIsHadBackWhileEveryMachineOfTheBorrowerHangs() {
        cohort(12);
        service(CREW, 12);
        world.time.passSeconds(40);
        assertEquals(12, running(CREW));
        world.workers.values().forEach(worker -> worker.freeze(true));
        submitted("n1", job("edge", FOREVER, "shape", "ensemble", "beads", 4L));
        double seconds = secondsUntilGuarantees("edge");
        System.out.println("guarantee whole after " + seconds + " s with every machine hung");
        assertTrue(seconds <= 90, seconds + " s");
    }

    @Test
    void theCohortsSumShrinksUnderRunningWork() {
        cohort(16);
        service(CREW, 8);
        service("edge", 8);
        world.time.passSeconds(40);
        assertEquals(16, running(CREW) + running("edge"));
        LimitChange change = new LimitChange(null, 12.0, null, null, OverLimit.DISPLACE, null);
        assertTrue(edit(then -> operator.setCohort("all", change, then)).isChanged());
        world.time.passSeconds(20);
        assertEquals(12, running(CREW) + running("edge"));
        assertTrue(running(CREW) >= 4 && running("edge") >= 4, "guarantees stay");
    }

    @Test
    void aLostReplicaIsReplacedAtTheLimitAndACancelledReservationIsFreed() {
        grantBudgets(CREW);
        Map<String, Object> service = service(CREW, 16);
        for (int i = 0; i < 60 && running(CREW) < 16; i++) {
            world.time.passSeconds(1);
        }
        assertEquals(16, running(CREW));
        world.restartMachine(world.whereIs(id(service) + "/0").machine().name());
        world.time.passSeconds(40);
        assertEquals(16, running(CREW));
        assertEquals("cancelled", world.withdraw("n1", id(service)).state());
        Map<String, Object> next = job(CREW, 1_000_000, "shape", "ensemble", "beads", 16L);
        submitted("n2", next);
        assertTrue(world.reaches("n3", id(next), "done", 120));
    }

    /** Nodes without the switch ignore the ledger; what was reserved is forgotten by nobody. */
    @Test
    void switchedOffAndOnAgainWhileServing() {
        grantBudgets(CREW);
        List<String> ids = new ArrayList<>();
        for (Tuning.TeamLimits mode : List.of(
                Tuning.TeamLimits.SETTINGS, Tuning.TeamLimits.RECORDED_WITH_SOLVER, Tuning.TeamLimits.SETTINGS)) {
            world.tuning(SimulatedCluster.withTeamLimits(mode));
            for (String node : world.nodes()) {
                Map<String, Object> body = job(CREW, 4_000_000, "beads", 4L);
                ids.add(id(submitted(node, body)));
                world.killNode(node);
                world.time.passSeconds(1);
                world.startNode(node);
                world.time.passSeconds(4);
            }
        }
        ids.forEach(id -> assertTrue(world.reaches("n0", id, "done", 200), id));
    }

    @Test
    void aRecordThatCannotBeReadStopsItsTeamAlone() {
        for (Object garbage : List.of(Json.of("format", 2L, "team", CREW), Json.of("cpus", "many"))) {
            world.state.plant(TeamLimitCodec.key(CREW), garbage);
            world.time.passSeconds(2);
            Map<String, Object> stopped = submitted("n0", job(CREW, 1_000_000));
            Map<String, Object> other = submitted("n1", job("edge", 1_000_000));
            assertTrue(world.reaches("n2", id(other), "done", 60));
            world.time.passSeconds(10);
            assertEquals("queued", world.poll("n2", id(stopped)).state());
            assertEquals("cancelled", world.withdraw("n2", id(stopped)).state());
            LimitsEditor.Result result = edit(then -> operator.set(team(CREW), limit(3), then));
            assertFalse(result.isChanged());
            assertTrue(result.problem().contains(TeamLimitCodec.key(CREW)), result.problem());
        }
    }

    @Test
    void aRaisedLimitCountsForAJobThatWasTooLargeAndALoweredOneQueuesWhatIsKnown() {
        Map<String, Object> large = job(CREW, 1_000_000, "shape", "ensemble", "beads", 12L);
        set(CREW, limit(8));
        world.time.passSeconds(1);
        assertEquals(422, world.submit("n1", large).status());
        set(CREW, limit(14));
        assertEquals(201, world.submit("n1", large).status());
        set(CREW, limit(2));
        assertEquals(200, world.submit("n2", large).status(), "known, whatever the limit is now");
        world.time.passSeconds(30);
        set(CREW, limit(16));
        assertTrue(world.reaches("n3", id(large), "done", 100));
    }

    @Test
    void badChangesSayWhyAndWriteNothing() {
        Map<LimitChange, String> wrong = new HashMap<>();
        wrong.put(new LimitChange(-1.0, null, null, null, null, null), "cpus:");
        wrong.put(new LimitChange(null, Double.NaN, null, null, null, null), "cpus-max:");
        wrong.put(new LimitChange(9.0, 8.0, null, null, null, null), "guarantee");
        wrong.put(new LimitChange(null, null, null, null, null, "unheard-of"), "cohort:");
        Map<String, Object> before = world.state.value(TeamLimitCodec.key(CREW));
        wrong.forEach((change, word) -> {
            LimitsEditor.Result result = edit(then -> operator.set(team(CREW), change, then));
            assertFalse(result.isChanged());
            assertTrue(result.problem().contains(word), result.problem());
        });
        cohort(12);
        LimitChange small = new LimitChange(null, 11.0, null, null, null, null);
        LimitsEditor.Result tooSmall = edit(then -> operator.setCohort("all", small, then));
        assertTrue(tooSmall.problem().contains("can't cover guarantees"), tooSmall.problem());
        assertEquals(
                before.get("cpus_max"),
                world.state.value(TeamLimitCodec.key(CREW)).get("cpus_max"));
        world.state.down(true);
        LimitsEditor.Result unreachable = edit(then -> operator.set(team(CREW), limit(3), then));
        assertEquals("the state service does not answer", unreachable.problem());
    }

    @Test
    void twoOperatorsCannotTogetherPromiseMoreThanACohortHas() {
        cohort(12);
        List<LimitsEditor.Result> results = new ArrayList<>();
        for (String crew : List.of(CREW, "edge", "late")) {
            LimitChange change = new LimitChange(6.0, null, null, null, null, null);
            new LimitsEditor(world.storeOf("operator-" + crew)).set(team(crew), change, results::add);
        }
        world.time.passSeconds(5);
        assertEquals(3, results.size());
        assertEquals(0, results.stream().filter(LimitsEditor.Result::isChanged).count());
        set("late", new LimitChange(0.0, null, null, null, null, null));
        results.clear();
        for (String crew : List.of(CREW, "edge")) {
            LimitChange change = new LimitChange(8.0, null, null, null, null, null);
            new LimitsEditor(world.storeOf("operator-" + crew)).set(team(crew), change, results::add);
        }
        world.time.passSeconds(5);
        assertEquals(1, results.stream().filter(LimitsEditor.Result::isChanged).count(), results.toString());
    }
}
