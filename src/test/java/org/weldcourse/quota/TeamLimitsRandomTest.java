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

/**
 * Random scenarios with five controllers, changing limits and faults at any time. The history must never show usage
 * above the limits.
 */
class TeamLimitsRandomTest {
    private static final int SEEDS = Integer.getInteger("weldcourse.seeds", 120);
    private static final int FIRST_SEED = Integer.getInteger("weldcourse.first-seed", 0);
    private static final int NODES = 5;
    private static final int EVENTS = 60;
    private static final String COHORT = "branches";
    private static final double COHORT_LIMIT = 18;
    private static final List<Settings.Team> TEAMS =
            List.of(new Settings.Team("core", 4, 16, 0, 0), new Settings.Team("edge", 0, 12, 0, 0));

    /** Totals over all scenarios of a test. */
    private static final class Totals {
        int reservations;
        int budgets;
        int starts;
        int admissions;
        int events;
        int limitsSet;
    }

    private static final class Scenario {
        private final Random random;
        private final SimulatedCluster cluster;
        private final QuotaHistoryChecker history;
        private final Totals totals;
        private final Map<String, Map<String, Object>> accepted = new LinkedHashMap<>();
        private final List<String> cancelled = new ArrayList<>();
        private final List<String> stoppedNodes = new ArrayList<>();
        private final boolean inCohort;
        /** Under light load jobs are short, so that quota is mostly free and controllers make reservations. */
        private final boolean lightLoad;

        private int submitted;

        Scenario(long seed, Totals totals) {
            this.totals = totals;
            random = new Random(seed);
            cluster = new SimulatedCluster(NODES, 16, 32 * 1024, TEAMS, OperatorSettings.TeamLimitSource.RECORDED);
            history = new QuotaHistoryChecker(cluster.store, cluster.invariants());
            inCohort = seed % 2 == 1;
            lightLoad = seed % 4 >= 2;
        }

        private long injectedFault() {
            int roll = random.nextInt(200);
            if (roll == 0) {
                return FakeNetwork.RESPONSE_LOST;
            }
            // The write takes effect long after the caller has timed out.
            return roll == 1 ? 2_000_000 + random.nextInt(8_000_000) : FakeNetwork.NORMAL;
        }

        /** Puts both teams in one cohort. Half of the scenarios do so. */
        private void joinCohort() {
            QuotaEditor editor = new QuotaEditor(cluster.storeClient("operator"));
            editAndRequireSuccess(callback -> editor.setCohort(COHORT, cohortChange(COHORT_LIMIT), callback));
            for (Settings.Team team : TEAMS) {
                editAndRequireSuccess(
                        callback -> editor.set(team, new QuotaChange(null, null, null, null, null, COHORT), callback));
            }
        }

        private static QuotaChange cohortChange(double limit) {
            return new QuotaChange(null, limit, null, null, null, null);
        }

        private void editAndRequireSuccess(Consumer<Consumer<QuotaEditor.Result<?>>> edit) {
            AtomicReference<QuotaEditor.Result<?>> result = new AtomicReference<>();
            edit.accept(result::set);
            cluster.clock.passSeconds(2);
            assertNotNull(result.get());
            assertTrue(result.get().isChanged(), result.get().problem());
        }

        void run() {
            cluster.clock.passSeconds(8);
            if (inCohort) {
                joinCohort();
            }
            cluster.network.injectFaults((from, call) -> injectedFault());
            for (int i = 0; i < EVENTS; i++) {
                totals.events++;
                injectEvent(random.nextInt(20));
                cluster.clock.pass(random.nextInt(700_000));
            }
            recover();
            totals.reservations += history.reservations();
            totals.budgets += history.budgets();
            totals.starts += history.starts();
            totals.admissions += history.admissions();
        }

        private void injectEvent(int kind) {
            switch (kind) {
                case 0, 1, 2 -> submitEverywhere();
                case 3, 4, 5, 6, 7 -> submit(randomNode());
                case 8, 9, 10 -> setLimit();
                case 11 -> cancelOne();
                case 12 -> cluster.pauseNode(randomNode());
                case 13 -> cluster.alive().forEach(cluster::resumeNode);
                case 14 -> killAndRestart(random.nextBoolean());
                case 15 -> cluster.cutFromStore(randomNode());
                case 16 -> cluster.nodes().forEach(cluster::healStoreLink);
                case 17 -> cluster.refuseStore(randomNode(), random.nextBoolean());
                case 18 -> hangMachine();
                default -> loseLeader();
            }
        }

        private String randomNode() {
            return cluster.alive().get(random.nextInt(cluster.alive().size()));
        }

        /** Submits jobs to all controllers at the same instant. */
        private void submitEverywhere() {
            cluster.alive().forEach(this::submit);
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
                    cluster.runMicros.put(id, Long.MAX_VALUE);
                    cancelled.add(id);
                }
                default -> {
                    body.put("shape", "ensemble");
                    body.put("beads", 1L + random.nextInt(3));
                }
            }
            body.put("rank", random.nextInt(4) == 0 ? "urgent" : "normal");
            cluster.runMicros.putIfAbsent(id, 300_000L + random.nextInt(lightLoad ? 1_000_000 : 6_000_000));
            cluster.submitAsync(node, body, answer -> {
                if (answer.status() == 200 || answer.status() == 201) {
                    accepted.put(id, body);
                }
            });
        }

        private void setLimit() {
            totals.limitsSet++;
            if (inCohort && random.nextInt(3) == 0) {
                double limit = 4 + random.nextInt((int) COHORT_LIMIT - 3);
                new QuotaEditor(cluster.storeClient("operator")).setCohort(COHORT, cohortChange(limit), result -> {});
                return;
            }
            Settings.Team team = TEAMS.get(random.nextInt(TEAMS.size()));
            double limit = 1 + random.nextInt((int) team.cpusMax());
            if (lightLoad) {
                limit = Math.max(limit, team.cpusMax() / 2);
            }
            OverQuotaPolicy over = random.nextBoolean() ? OverQuotaPolicy.DRAIN : OverQuotaPolicy.PREEMPT;
            QuotaChange change = new QuotaChange(Math.min(limit, team.cpus()), limit, null, null, over, null);
            new QuotaEditor(cluster.storeClient("operator")).set(team, change, result -> {});
        }

        private void cancelOne() {
            if (!accepted.isEmpty()) {
                String id = new ArrayList<>(accepted.keySet()).get(random.nextInt(accepted.size()));
                cancelled.add(id);
                cluster.cancel(randomNode(), id);
            }
        }

        private void killAndRestart(boolean restartImmediately) {
            String node = randomNode();
            cluster.killNode(node);
            if (restartImmediately || cluster.alive().isEmpty()) {
                cluster.startNode(node);
            } else {
                stoppedNodes.add(node);
                restartNode();
            }
        }

        private void restartNode() {
            if (stoppedNodes.size() > 2) {
                cluster.startNode(stoppedNodes.remove(0));
            }
        }

        private void loseLeader() {
            if (cluster.leader() != null) {
                cluster.pauseNode(cluster.leader());
            }
        }

        private void hangMachine() {
            if (!cluster.workers.isEmpty()) {
                List<String> names = new ArrayList<>(cluster.workers.keySet());
                String name = names.get(random.nextInt(names.size()));
                cluster.workers.get(name).freeze(true);
                cluster.clock.after(1_000_000 + random.nextInt(12_000_000), () -> {
                    if (cluster.workers.containsKey(name)) {
                        cluster.workers.get(name).freeze(false);
                    }
                });
            }
        }

        /** Ends all faults, then checks that every accepted job ends or is cancelled and that no open job remains. */
        private void recover() {
            cluster.network.injectFaults((from, call) -> FakeNetwork.NORMAL);
            cluster.alive().forEach(cluster::resumeNode);
            stoppedNodes.forEach(cluster::startNode);
            cluster.nodes().forEach(node -> {
                cluster.healStoreLink(node);
                cluster.refuseStore(node, false);
            });
            cluster.clock.passSeconds(30);
            if (inCohort) {
                QuotaEditor editor = new QuotaEditor(cluster.storeClient("operator"));
                editAndRequireSuccess(callback -> editor.setCohort(COHORT, cohortChange(COHORT_LIMIT), callback));
            }
            for (Settings.Team team : TEAMS) {
                QuotaChange change =
                        new QuotaChange(team.cpus(), team.cpusMax(), null, null, OverQuotaPolicy.DRAIN, null);
                editAndRequireSuccess(
                        callback -> new QuotaEditor(cluster.storeClient("operator")).set(team, change, callback));
            }
            for (String id : cancelled) {
                if (accepted.containsKey(id)) {
                    cluster.cancel(randomNode(), id);
                }
            }
            for (int i = 0; i < 200 && !cluster.store.keys("open/").isEmpty(); i++) {
                cluster.clock.passSeconds(1);
                cluster.store.keys("open/").forEach(this::cancelUnanswered);
            }
            assertEquals(List.of(), cluster.store.keys("open/"), this::storeContents);
            accepted.keySet().forEach(id -> assertNotNull(cluster.store.value("final/" + id), id));
        }

        /** Returns the ledger and the open jobs for a failure message. */
        private String storeContents() {
            StringBuilder text = new StringBuilder();
            for (String prefix : List.of(QuotaRecordCodec.PREFIX, "open/", "slices/")) {
                cluster.store
                        .keys(prefix)
                        .forEach(
                                key -> text.append('\n').append(key).append(' ').append(cluster.store.value(key)));
            }
            return text.toString();
        }

        /**
         * Cancels a service whose submission succeeded but was never answered. It runs like any accepted job and would
         * never end.
         */
        private void cancelUnanswered(String key) {
            String id = key.substring("open/".length());
            if (cancelled.contains(id) && !accepted.containsKey(id)) {
                cluster.cancel(randomNode(), id);
            }
        }
    }

    private static Totals run(int from, int to) {
        Totals totals = new Totals();
        for (int seed = from; seed < to; seed++) {
            try {
                new Scenario(seed, totals).run();
            } catch (AssertionError failure) {
                throw new AssertionError("seed " + seed + ": " + failure.getMessage(), failure);
            }
        }
        return totals;
    }

    @Test
    void limitsHoldInRandomHistories() {
        Totals totals = run(FIRST_SEED, FIRST_SEED + SEEDS);
        System.out.printf(
                "seeds %d to %d: %d events, %d limits set, %d budgets, %d reservations, %d admissions, %d starts%n",
                FIRST_SEED,
                FIRST_SEED + SEEDS - 1,
                totals.events,
                totals.limitsSet,
                totals.budgets,
                totals.reservations,
                totals.admissions,
                totals.starts);
        assertTrue(totals.reservations > SEEDS, totals.reservations + " reservations");
        assertTrue(totals.starts > 10 * SEEDS, totals.starts + " starts");
    }

    /**
     * Verifies the checker itself: it must fail against a store that ignores the version conditions on quota records.
     */
    @Test
    void checkerDetectsMissingVersionConditions() {
        int failed = 0;
        for (int seed = 0; seed < 10; seed++) {
            Scenario scenario = new Scenario(seed, new Totals());
            scenario.cluster.store.ignoreGuards(QuotaRecordCodec.PREFIX);
            try {
                scenario.run();
            } catch (AssertionError expected) {
                failed += expected.getMessage().contains("overshoot")
                                || expected.getMessage().contains("reserved beyond")
                        ? 1
                        : 0;
            }
        }
        assertTrue(failed > 0, "the checker detected no violation");
    }

    @Test
    void teamLimitSourceIsParsedByName() throws Exception {
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
