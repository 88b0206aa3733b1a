package org.weldcourse.quota;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.weldcourse.simulation.JobBodies.jobBody;

import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Consumer;
import org.weldcourse.http.Json;
import org.weldcourse.quota.ledger.QuotaChange;
import org.weldcourse.quota.ledger.QuotaEditor;
import org.weldcourse.quota.ledger.QuotaRecordCodec;
import org.weldcourse.quota.ledger.Reservation;
import org.weldcourse.quota.ledger.TeamQuota;
import org.weldcourse.quota.ledger.UnreadableQuotaRecordException;
import org.weldcourse.settings.OperatorSettings;
import org.weldcourse.settings.Settings;
import org.weldcourse.simulation.SimulatedCluster;

/**
 * Base of the team limit tests: five controllers with limits in the ledger, three teams and an operator. The history is
 * checked throughout each test.
 */
class TeamLimitsTestBase {
    static final long FOREVER = Long.MAX_VALUE;
    static final String CORE = "core";
    static final List<Settings.Team> TEAMS = List.of(
            new Settings.Team(CORE, 4, 16, 0, 0),
            new Settings.Team("edge", 4, 16, 0, 0),
            new Settings.Team("late", 4, 16, 0, 0));

    final SimulatedCluster cluster;
    final QuotaHistoryChecker history;
    final QuotaEditor operator;
    private int lastJob;

    TeamLimitsTestBase() {
        cluster = new SimulatedCluster(5, 16, 32 * 1024, TEAMS, OperatorSettings.TeamLimitSource.RECORDED);
        history = new QuotaHistoryChecker(cluster.store, cluster.invariants());
        operator = new QuotaEditor(cluster.storeClient("operator"));
        cluster.clock.passSeconds(3);
    }

    /** Returns a change to this limit. It lowers the guarantee too if the limit is below it. */
    static QuotaChange limitChange(double cpus) {
        return new QuotaChange(Math.min(4, cpus), cpus, null, null, null, null);
    }

    QuotaEditor.Result<?> edit(Consumer<Consumer<QuotaEditor.Result<?>>> change) {
        AtomicReference<QuotaEditor.Result<?>> result = new AtomicReference<>();
        change.accept(result::set);
        for (int i = 0; i < 100 && result.get() == null; i++) {
            cluster.clock.pass(50_000);
        }
        assertNotNull(result.get(), "the operator's change has completed");
        return result.get();
    }

    void set(String team, QuotaChange change) {
        QuotaEditor.Result<?> result = edit(callback -> operator.set(team(team), change, callback));
        assertTrue(result.isChanged(), result.problem());
    }

    static Settings.Team team(String name) {
        return TEAMS.stream()
                .filter(team -> team.name().equals(name))
                .findFirst()
                .orElseThrow();
    }

    Map<String, Object> job(String team, long runMicros, Object... changes) {
        String id = String.format("req-%06d", ++lastJob);
        cluster.runMicros.put(id, runMicros);
        Map<String, Object> body = jobBody(id, "crew", team, "cpus", 1.0, "beads", 1L);
        body.putAll(Json.of(changes));
        return body;
    }

    static String id(Map<String, Object> body) {
        return Json.text(body, "name_id");
    }

    Map<String, Object> submitAccepted(String node, Map<String, Object> body) {
        assertEquals(201, cluster.submit(node, body).status());
        return body;
    }

    /** Lets every controller accept a few jobs of the team, so that the leader grants budgets. */
    void grantBudgets(String team) {
        for (int round = 0; round < 3; round++) {
            cluster.alive().forEach(node -> submitAccepted(node, job(team, 100_000, "shape", "ensemble")));
            cluster.clock.passSeconds(3);
        }
        for (int i = 0; i < 60 && !cluster.store.keys("open/").isEmpty(); i++) {
            cluster.clock.passSeconds(1);
        }
        assertFalse(teamRecord(team).budgets().isEmpty(), "controllers have budgets");
    }

    TeamQuota teamRecord(String team) {
        try {
            String key = QuotaRecordCodec.teamKey(team);
            return QuotaRecordCodec.decodeTeam(
                    new org.weldcourse.store.Store.Entry(key, cluster.store.value(key), 1, 0));
        } catch (UnreadableQuotaRecordException unreadable) {
            throw new AssertionError(unreadable);
        }
    }

    double reservedCpus(String team) {
        double sum = 0;
        for (String key : cluster.store.keys("open/")) {
            Map<String, Object> value = cluster.store.value(key);
            Reservation reservation = Reservation.fromJobRecord(value);
            if (team.equals(value.get("crew")) && reservation != null) {
                sum += reservation.tasks() * Json.decimal(value, "cpus", 0);
            }
        }
        return sum;
    }

    int runningTasks(String team) {
        int running = 0;
        for (Map.Entry<String, Map<String, Object>> entry : cluster.jobs.entrySet()) {
            for (int task = 0; task < Json.integer(entry.getValue(), "beads", 0); task++) {
                boolean isRunning = cluster.workerOf(entry.getKey() + "/" + task) != null;
                running += isRunning && team.equals(entry.getValue().get("crew")) ? 1 : 0;
            }
        }
        return running;
    }

    /** Creates a cohort with this limit and puts all teams in it. */
    void putTeamsInCohort(double cpus) {
        QuotaChange change = new QuotaChange(null, cpus, null, null, null, null);
        assertTrue(edit(callback -> operator.setCohort("all", change, callback)).isChanged());
        for (Settings.Team team : TEAMS) {
            set(team.name(), new QuotaChange(null, null, null, null, null, "all"));
        }
    }

    Map<String, Object> submitService(String team, long replicas) {
        return submitAccepted("n0", job(team, FOREVER, "shape", "service", "beads", replicas, "expected_s", 0.0));
    }

    /** Advances the clock until each team runs as many tasks as its guarantee, and returns the elapsed seconds. */
    double secondsUntilGuarantees(String... teams) {
        for (int tenths = 0; tenths < 3_000; tenths++) {
            boolean restored = true;
            for (String team : teams) {
                restored &= runningTasks(team) >= 4;
            }
            if (restored) {
                return tenths / 10.0;
            }
            cluster.clock.pass(100_000);
        }
        throw new AssertionError("guarantees were not restored");
    }
}
