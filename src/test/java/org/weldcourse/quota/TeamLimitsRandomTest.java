package org.weldcourse.quota;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.weldcourse.simulation.JobBodies.jobBody;

import java.io.ByteArrayInputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;
import org.weldcourse.quota.ledger.OverQuotaPolicy;
import org.weldcourse.quota.ledger.QuotaChange;
import org.weldcourse.quota.ledger.QuotaEditor;
import org.weldcourse.quota.ledger.QuotaRecordCodec;
import org.weldcourse.settings.InvalidSettingsException;
import org.weldcourse.settings.OperatorSettings;
import org.weldcourse.settings.Settings;
import org.weldcourse.simulation.FakeNetwork;
import org.weldcourse.simulation.SimulatedCluster;

/** Random days: five controllers, limits that change, and troubles at any moment. The history has to show no overshoot. */
class TeamLimitsRandomTest {
    private static final int SEEDS = Integer.getInteger("weldcourse.seeds", 120);
    private static final int FROM = Integer.getInteger("weldcourse.first-seed", 0);
    private static final int NODES = 5;
    private static final int EVENTS = 60;
    private static final String COHORT = "branches";
    private static final double COHORT_LIMIT = 18;
    private static final List<Settings.Team> TEAMS =
            List.of(new Settings.Team("core", 4, 16, 0, 0), new Settings.Team("edge", 0, 12, 0, 0));

    /** What all days of a test came to. */
    private static final class Totals {
        int reservations;
        int budgets;
        int starts;
        int admissions;
        int events;
        int limitsSet;
    }

    private static final class Day {
        private final Random random;
        private final SimulatedCluster world;
        private final QuotaHistoryChecker history;
        private final Totals totals;
        private final Map<String, Map<String, Object>> accepted = new LinkedHashMap<>();
        private final List<String> cancelled = new ArrayList<>();
        private final List<String> down = new ArrayList<>();
        private final boolean inCohort;
        /** On light days jobs are short, so that there mostly is room and controllers reserve. */
        private final boolean light;

        private int submitted;

        Day(long seed, Totals totals) {
            this.totals = totals;
            random = new Random(seed);
            world = new SimulatedCluster(NODES, 16, 32 * 1024, TEAMS, OperatorSettings.TeamLimitSource.RECORDED);
            history = new QuotaHistoryChecker(world.store, world.rules());
            inCohort = seed % 2 == 1;
            light = seed % 4 >= 2;
        }

        private long fate() {
            int dice = random.nextInt(200);
            if (dice == 0) {
                return FakeNetwork.ANSWER_LOST;
            }
            // Carried out late, long after the caller has given up.
            return dice == 1 ? 2_000_000 + random.nextInt(8_000_000) : FakeNetwork.NORMAL;
        }

        /** Both teams borrow in one cohort on half of the days. */
        private void joinCohort() {
            QuotaEditor editor = new QuotaEditor(world.storeOf("operator"));
            changed(then -> editor.setCohort(COHORT, cohortChange(COHORT_LIMIT), then));
            for (Settings.Team team : TEAMS) {
                changed(then -> editor.set(team, new QuotaChange(null, null, null, null, null, COHORT), then));
            }
        }

        private static QuotaChange cohortChange(double limit) {
            return new QuotaChange(null, limit, null, null, null, null);
        }

        private void changed(Consumer<Consumer<QuotaEditor.Result<?>>> edit) {
            AtomicReference<QuotaEditor.Result<?>> result = new AtomicReference<>();
            edit.accept(result::set);
            world.clock.passSeconds(2);
            assertNotNull(result.get());
            assertTrue(result.get().isChanged(), result.get().problem());
        }

        void play() {
            world.clock.passSeconds(8);
            if (inCohort) {
                joinCohort();
            }
            world.network.injectFaults((from, call) -> fate());
            for (int i = 0; i < EVENTS; i++) {
                totals.events++;
                event(random.nextInt(20));
                world.clock.pass(random.nextInt(700_000));
            }
            recover();
            totals.reservations += history.reservations();
            totals.budgets += history.budgets();
            totals.starts += history.starts();
            totals.admissions += history.admissions();
        }

        private void event(int kind) {
            switch (kind) {
                case 0, 1, 2 -> submitEverywhere();
                case 3, 4, 5, 6, 7 -> submit(node());
                case 8, 9, 10 -> setLimit();
                case 11 -> cancelOne();
                case 12 -> world.freezeNode(node());
                case 13 -> world.alive().forEach(world::thawNode);
                case 14 -> killAndRestart(random.nextBoolean());
                case 15 -> world.cutFromStore(node());
                case 16 -> world.nodes().forEach(world::healToStore);
                case 17 -> world.refuseStore(node(), random.nextBoolean());
                case 18 -> hangMachine();
                default -> loseLeader();
            }
        }

        private String node() {
            return world.alive().get(random.nextInt(world.alive().size()));
        }

        /** Jobs of one team come to all controllers in the same instant. */
        private void submitEverywhere() {
            world.alive().forEach(this::submit);
        }

        private void submit(String node) {
            String id = String.format("req-%06d", ++submitted);
            String team = random.nextInt(3) == 0 ? "edge" : "core";
            Map<String, Object> body = jobBody(id, "crew", team, "cpus", 1.0 + random.nextInt(2));
            switch (random.nextInt(4)) {
                case 0 -> body.put("beads", 1L + random.nextInt(6));
                case 1 -> {
                    body.put("shape", "service");
                    body.put("expected_s", 0.0);
                    body.put("beads", 1L + random.nextInt(2));
                    world.runMicros.put(id, Long.MAX_VALUE);
                    cancelled.add(id);
                }
                default -> {
                    body.put("shape", "ensemble");
                    body.put("beads", 1L + random.nextInt(3));
                }
            }
            body.put("rank", random.nextInt(4) == 0 ? "urgent" : "normal");
            world.runMicros.putIfAbsent(id, 300_000L + random.nextInt(light ? 1_000_000 : 6_000_000));
            world.submitSoon(node, body, answer -> {
                if (answer.status() == 200 || answer.status() == 201) {
                    accepted.put(id, body);
                }
            });
        }

        private void setLimit() {
            totals.limitsSet++;
            if (inCohort && random.nextInt(3) == 0) {
                double limit = 4 + random.nextInt((int) COHORT_LIMIT - 3);
                new QuotaEditor(world.storeOf("operator")).setCohort(COHORT, cohortChange(limit), result -> {});
                return;
            }
            Settings.Team team = TEAMS.get(random.nextInt(TEAMS.size()));
            double limit = 1 + random.nextInt((int) team.cpusMax());
            if (light) {
                limit = Math.max(limit, team.cpusMax() / 2);
            }
            OverQuotaPolicy over = random.nextBoolean() ? OverQuotaPolicy.DRAIN : OverQuotaPolicy.PREEMPT;
            QuotaChange change = new QuotaChange(Math.min(limit, team.cpus()), limit, null, null, over, null);
            new QuotaEditor(world.storeOf("operator")).set(team, change, result -> {});
        }

        private void cancelOne() {
            if (!accepted.isEmpty()) {
                String id = new ArrayList<>(accepted.keySet()).get(random.nextInt(accepted.size()));
                cancelled.add(id);
                world.cancel(node(), id);
            }
        }

        private void killAndRestart(boolean atOnce) {
            String node = node();
            world.killNode(node);
            if (atOnce || world.alive().isEmpty()) {
                world.startNode(node);
            } else {
                down.add(node);
                startAgain();
            }
        }

        private void startAgain() {
            if (down.size() > 2) {
                world.startNode(down.remove(0));
            }
        }

        private void loseLeader() {
            if (world.leader() != null) {
                world.freezeNode(world.leader());
            }
        }

        private void hangMachine() {
            if (!world.workers.isEmpty()) {
                List<String> names = new ArrayList<>(world.workers.keySet());
                String name = names.get(random.nextInt(names.size()));
                world.workers.get(name).freeze(true);
                world.clock.after(1_000_000 + random.nextInt(12_000_000), () -> {
                    if (world.workers.containsKey(name)) {
                        world.workers.get(name).freeze(false);
                    }
                });
            }
        }

        /** Troubles are over: every accepted job ends or serves, and the room that was reserved is free again. */
        private void recover() {
            world.network.injectFaults((from, call) -> FakeNetwork.NORMAL);
            world.alive().forEach(world::thawNode);
            down.forEach(world::startNode);
            world.nodes().forEach(node -> {
                world.healToStore(node);
                world.refuseStore(node, false);
            });
            world.clock.passSeconds(30);
            if (inCohort) {
                QuotaEditor editor = new QuotaEditor(world.storeOf("operator"));
                changed(then -> editor.setCohort(COHORT, cohortChange(COHORT_LIMIT), then));
            }
            for (Settings.Team team : TEAMS) {
                QuotaChange change =
                        new QuotaChange(team.cpus(), team.cpusMax(), null, null, OverQuotaPolicy.DRAIN, null);
                changed(then -> new QuotaEditor(world.storeOf("operator")).set(team, change, then));
            }
            for (String id : cancelled) {
                if (accepted.containsKey(id)) {
                    world.cancel(node(), id);
                }
            }
            for (int i = 0; i < 200 && !world.store.keys("open/").isEmpty(); i++) {
                world.clock.passSeconds(1);
                world.store.keys("open/").forEach(this::cancelUnanswered);
            }
            assertEquals(List.of(), world.store.keys("open/"), this::standing);
            accepted.keySet().forEach(id -> assertNotNull(world.store.value("final/" + id), id));
        }

        /** The ledger and the open jobs, for the report of a day that did not end well. */
        private String standing() {
            StringBuilder text = new StringBuilder();
            for (String prefix : List.of(QuotaRecordCodec.PREFIX, "open/", "slices/")) {
                world.store
                        .keys(prefix)
                        .forEach(
                                key -> text.append('\n').append(key).append(' ').append(world.store.value(key)));
            }
            return text.toString();
        }

        /** A job whose acceptance was never answered runs all the same; a service of this kind would never end. */
        private void cancelUnanswered(String key) {
            String id = key.substring("open/".length());
            if (cancelled.contains(id) && !accepted.containsKey(id)) {
                world.cancel(node(), id);
            }
        }
    }

    private static Totals play(int from, int to) {
        Totals totals = new Totals();
        for (int seed = from; seed < to; seed++) {
            try {
                new Day(seed, totals).play();
            } catch (AssertionError failure) {
                throw new AssertionError("seed " + seed + ": " + failure.getMessage(), failure);
            }
        }
        return totals;
    }

    @Test
    void noHistoryShowsAnOvershoot() {
        Totals totals = play(FROM, FROM + SEEDS);
        System.out.printf(
                "seeds %d to %d: %d events, %d limits set, %d budgets, %d reservations, %d admissions, %d starts%n",
                FROM,
                FROM + SEEDS - 1,
                totals.events,
                totals.limitsSet,
                totals.budgets,
                totals.reservations,
                totals.admissions,
                totals.starts);
        assertTrue(totals.reservations > SEEDS, totals.reservations + " reservations");
        assertTrue(totals.starts > 10 * SEEDS, totals.starts + " starts");
    }

    /** The checker would be worth nothing if it passed a service that does not hold the guards on the ledger. */
    @Test
    void withoutGuardsOnTheLedgerTheCheckerFails() {
        int failed = 0;
        for (int seed = 0; seed < 10; seed++) {
            Day day = new Day(seed, new Totals());
            day.world.store.ignoreGuards(QuotaRecordCodec.PREFIX);
            try {
                day.play();
            } catch (AssertionError expected) {
                failed += expected.getMessage().contains("overshoot")
                                || expected.getMessage().contains("reserved beyond")
                        ? 1
                        : 0;
            }
        }
        assertTrue(failed > 0, "the checker found nothing");
    }

    @Test
    void operatorsSwitchItOnByName() throws Exception {
        assertEquals(OperatorSettings.TeamLimitSource.SETTINGS, OperatorSettings.DEFAULT.teamLimitSource());
        assertEquals(
                OperatorSettings.TeamLimitSource.RECORDED, parse("recorded").teamLimitSource());
        assertEquals(
                OperatorSettings.TeamLimitSource.RECORDED_WITH_SOLVER,
                parse("recorded-with-solver").teamLimitSource());
        assertThrows(InvalidSettingsException.class, () -> parse("perhaps"));
    }

    private static OperatorSettings parse(String mode) throws InvalidSettingsException {
        String text = "<weldcourse><team-limits>" + mode + "</team-limits></weldcourse>";
        return OperatorSettings.parse(new ByteArrayInputStream(text.getBytes(StandardCharsets.UTF_8)));
    }
}
