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

/**
 * Compares the cost of team limits in the ledger with that of limits in the settings, for the same load: store writes,
 * store requests and time to start.
 */
class ReservationCostTest {
    private static final int SECONDS = 60;
    private static final List<Settings.Team> TEAMS = List.of(new Settings.Team("core", 8, 120, 0, 0));

    private record Cost(int jobs, int writes, int requests, int reservations, int budgets, double p50, double p90) {
        double writesPerJob() {
            return (double) writes / jobs;
        }
    }

    /**
     * Runs a load in which each of five controllers accepts one gang per second, with two tasks that run for two
     * seconds.
     */
    private static Cost measure(OperatorSettings.TeamLimitSource mode) {
        SimulatedCluster cluster = new SimulatedCluster(5, 16, 32 * 1024, TEAMS, mode);
        QuotaHistoryChecker checker = new QuotaHistoryChecker(cluster.store, cluster.invariants());
        Map<String, Long> submitted = new HashMap<>();
        List<Long> waits = new ArrayList<>();
        cluster.invariants().addStartListener((task, attempt) -> {
            Long submittedMicros = submitted.remove(task.substring(0, task.indexOf('/')));
            if (submittedMicros != null) {
                waits.add(cluster.clock.nowMicros() - submittedMicros);
            }
        });
        cluster.clock.passSeconds(10);
        int jobs = 0;
        int writes = cluster.store.writes();
        int requests = cluster.store.requests();
        for (int second = 0; second < SECONDS; second++) {
            for (String node : cluster.nodes()) {
                String id = String.format("req-%06d", ++jobs);
                cluster.runMicros.put(id, 2_000_000L);
                submitted.put(id, cluster.clock.nowMicros());
                Map<String, Object> body =
                        jobBody(id, "crew", "core", "cpus", 1.0, "beads", 2L, "shape", "ensemble", "expected_s", 2.0);
                cluster.submitAsync(node, body, answer -> {});
                cluster.clock.pass(200_000);
            }
        }
        cluster.clock.passSeconds(20);
        assertTrue(cluster.store.keys("open/").isEmpty());
        Collections.sort(waits);
        return new Cost(
                jobs,
                cluster.store.writes() - writes,
                cluster.store.requests() - requests,
                checker.reservations(),
                checker.budgets(),
                waits.get(waits.size() / 2) / 1e6,
                waits.get(waits.size() * 9 / 10) / 1e6);
    }

    @Test
    void reservationCostsLessThanAQuarterOfAWrite() {
        Cost settingsCost = measure(OperatorSettings.TeamLimitSource.SETTINGS);
        Cost ledgerCost = measure(OperatorSettings.TeamLimitSource.RECORDED);
        System.out.println("limits of settings: " + settingsCost + ", writes per job " + settingsCost.writesPerJob());
        System.out.println("limits in ledger:   " + ledgerCost + ", writes per job " + ledgerCost.writesPerJob());
        assertTrue(ledgerCost.reservations > ledgerCost.jobs / 2, "most jobs get a reservation at submission");
        assertTrue(
                ledgerCost.writesPerJob() <= settingsCost.writesPerJob() + 0.25,
                ledgerCost + " compared with " + settingsCost);
        assertTrue(ledgerCost.p50 <= settingsCost.p50 * 1.2, ledgerCost + " compared with " + settingsCost);
    }
}
