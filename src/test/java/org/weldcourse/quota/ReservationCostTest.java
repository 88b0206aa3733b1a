package org.weldcourse.quota;

import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.weldcourse.simulation.JobBodies.jobBody;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.weldcourse.settings.OperatorSettings;
import org.weldcourse.settings.Settings;
import org.weldcourse.simulation.SimulatedCluster;

/** What team limits on record cost beside limits of settings, on the same day: changes, requests, and time to start. */
class ReservationCostTest {
    private static final int SECONDS = 60;
    private static final List<Settings.Team> TEAMS = List.of(new Settings.Team("core", 8, 120, 0, 0));

    private record Cost(int jobs, int changes, int requests, int reservations, int budgets, double p50, double p90) {
        double changesPerJob() {
            return (double) changes / jobs;
        }
    }

    /** Each of five controllers accepts a gang a second, of two tasks that run for two seconds. */
    private static Cost day(OperatorSettings.TeamLimitSource mode) {
        SimulatedCluster world = new SimulatedCluster(5, 16, 32 * 1024, TEAMS, mode);
        QuotaHistoryChecker history = new QuotaHistoryChecker(world.store, world.rules());
        Map<String, Long> submitted = new HashMap<>();
        List<Long> waits = new ArrayList<>();
        world.rules().alsoOnStart((task, attempt) -> {
            Long since = submitted.remove(task.substring(0, task.indexOf('/')));
            if (since != null) {
                waits.add(world.clock.nowMicros() - since);
            }
        });
        world.clock.passSeconds(10);
        int jobs = 0;
        int changes = world.store.writes();
        int requests = world.store.requests();
        for (int second = 0; second < SECONDS; second++) {
            for (String node : world.nodes()) {
                String id = String.format("req-%06d", ++jobs);
                world.runMicros.put(id, 2_000_000L);
                submitted.put(id, world.clock.nowMicros());
                Map<String, Object> body =
                        jobBody(id, "crew", "core", "cpus", 1.0, "beads", 2L, "shape", "ensemble", "expected_s", 2.0);
                world.submitSoon(node, body, answer -> {});
                world.clock.pass(200_000);
            }
        }
        world.clock.passSeconds(20);
        assertTrue(world.store.keys("open/").isEmpty());
        Collections.sort(waits);
        return new Cost(
                jobs,
                world.store.writes() - changes,
                world.store.requests() - requests,
                history.reservations(),
                history.budgets(),
                waits.get(waits.size() / 2) / 1e6,
                waits.get(waits.size() * 9 / 10) / 1e6);
    }

    @Test
    void aReservationCostsLessThanAQuarterOfAChange() {
        Cost before = day(OperatorSettings.TeamLimitSource.SETTINGS);
        Cost now = day(OperatorSettings.TeamLimitSource.RECORDED);
        System.out.println("limits of settings: " + before + ", changes a job " + before.changesPerJob());
        System.out.println("limits on record:   " + now + ", changes a job " + now.changesPerJob());
        assertTrue(now.reservations > now.jobs / 2, "most jobs are reserved when they are accepted");
        assertTrue(now.changesPerJob() <= before.changesPerJob() + 0.25, now + " beside " + before);
        assertTrue(now.p50 <= before.p50 * 1.2, now + " beside " + before);
    }
}
