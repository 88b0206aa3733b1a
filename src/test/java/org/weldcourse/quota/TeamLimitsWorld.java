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

/** Five controllers with team limits on record, three teams, and an operator; the history is checked all along. */
class TeamLimitsWorld {
    static final long FOREVER = Long.MAX_VALUE;
    static final String CORE = "core";
    static final List<Settings.Team> TEAMS = List.of(
            new Settings.Team(CORE, 4, 16, 0, 0),
            new Settings.Team("edge", 4, 16, 0, 0),
            new Settings.Team("late", 4, 16, 0, 0));

    final SimulatedCluster world;
    final QuotaHistoryChecker history;
    final QuotaEditor operator;
    private int lastJob;

    TeamLimitsWorld() {
        world = new SimulatedCluster(5, 16, 32 * 1024, TEAMS, OperatorSettings.TeamLimitSource.RECORDED);
        history = new QuotaHistoryChecker(world.store, world.rules());
        operator = new QuotaEditor(world.storeOf("operator"));
        world.clock.passSeconds(3);
    }

    static QuotaChange limit(double cpus) {
        return new QuotaChange(Math.min(4, cpus), cpus, null, null, null, null);
    }

    QuotaEditor.Result<?> edit(Consumer<Consumer<QuotaEditor.Result<?>>> change) {
        AtomicReference<QuotaEditor.Result<?>> result = new AtomicReference<>();
        change.accept(result::set);
        for (int i = 0; i < 100 && result.get() == null; i++) {
            world.clock.pass(50_000);
        }
        assertNotNull(result.get(), "the operator's change has ended");
        return result.get();
    }

    void set(String team, QuotaChange change) {
        QuotaEditor.Result<?> result = edit(then -> operator.set(team(team), change, then));
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
        world.runMicros.put(id, runMicros);
        Map<String, Object> body = jobBody(id, "crew", team, "cpus", 1.0, "beads", 1L);
        body.putAll(Json.of(changes));
        return body;
    }

    static String id(Map<String, Object> body) {
        return Json.text(body, "name_id");
    }

    Map<String, Object> submitted(String node, Map<String, Object> body) {
        assertEquals(201, world.submit(node, body).status());
        return body;
    }

    /** Lets every controller get a budget by accepting a job of the team. */
    void grantBudgets(String team) {
        for (int round = 0; round < 3; round++) {
            world.alive().forEach(node -> submitted(node, job(team, 100_000, "shape", "ensemble")));
            world.clock.passSeconds(3);
        }
        for (int i = 0; i < 60 && !world.store.keys("open/").isEmpty(); i++) {
            world.clock.passSeconds(1);
        }
        assertFalse(record(team).budgets().isEmpty(), "controllers have budgets");
    }

    TeamQuota record(String team) {
        try {
            String key = QuotaRecordCodec.teamKey(team);
            return QuotaRecordCodec.decodeTeam(new org.weldcourse.store.Store.Entry(key, world.store.value(key), 1, 0));
        } catch (UnreadableQuotaRecordException unreadable) {
            throw new AssertionError(unreadable);
        }
    }

    double reservedCpus(String team) {
        double sum = 0;
        for (String key : world.store.keys("open/")) {
            Map<String, Object> value = world.store.value(key);
            Reservation reservation = Reservation.fromJobRecord(value);
            if (team.equals(value.get("crew")) && reservation != null) {
                sum += reservation.tasks() * Json.decimal(value, "cpus", 0);
            }
        }
        return sum;
    }

    int running(String team) {
        int running = 0;
        for (Map.Entry<String, Map<String, Object>> entry : world.jobs.entrySet()) {
            for (int task = 0; task < Json.integer(entry.getValue(), "beads", 0); task++) {
                boolean here = world.workerOf(entry.getKey() + "/" + task) != null;
                running += here && team.equals(entry.getValue().get("crew")) ? 1 : 0;
            }
        }
        return running;
    }

    void cohort(double cpus) {
        QuotaChange change = new QuotaChange(null, cpus, null, null, null, null);
        assertTrue(edit(then -> operator.setCohort("all", change, then)).isChanged());
        for (Settings.Team team : TEAMS) {
            set(team.name(), new QuotaChange(null, null, null, null, null, "all"));
        }
    }

    Map<String, Object> service(String team, long replicas) {
        return submitted("n0", job(team, FOREVER, "shape", "service", "beads", replicas, "expected_s", 0.0));
    }

    double secondsUntilGuarantees(String... teams) {
        for (int tenths = 0; tenths < 3_000; tenths++) {
            boolean whole = true;
            for (String team : teams) {
                whole &= running(team) >= 4;
            }
            if (whole) {
                return tenths / 10.0;
            }
            world.clock.pass(100_000);
        }
        throw new AssertionError("guarantees are not had back");
    }
}
