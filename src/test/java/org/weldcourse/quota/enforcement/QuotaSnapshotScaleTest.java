package org.weldcourse.quota.enforcement;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.weldcourse.simulation.JobBodies.jobBody;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;
import org.weldcourse.cluster.ClusterState;
import org.weldcourse.cluster.Job;
import org.weldcourse.http.Json;
import org.weldcourse.jobs.JobSpecCodec;
import org.weldcourse.quota.ResourceAmount;
import org.weldcourse.quota.ledger.EffectiveQuota;
import org.weldcourse.quota.ledger.OverQuotaPolicy;
import org.weldcourse.quota.ledger.QuotaRecordCodec;
import org.weldcourse.quota.ledger.Reservation;
import org.weldcourse.quota.ledger.TeamQuota;

/** Tests team limits at the supported scale: 4,000 machines, 200 teams and 20,000 open jobs. */
class QuotaSnapshotScaleTest {
    private static final int MACHINES = 4_000;
    private static final int TEAMS = 200;
    private static final int JOBS = 20_000;
    private static final int CONTROLLERS = 9;
    private static final int MIN_STORE_VALUE_BYTES = 4 * 1024;

    private final ClusterState cluster = new ClusterState();
    private final ReservationTracker reservations = new ReservationTracker();

    private static TeamQuota team(int number) {
        Map<String, ResourceAmount> budgets = new TreeMap<>();
        for (int i = 0; i < CONTROLLERS; i++) {
            budgets.put("controller-" + i + "#2f1c6f4e-6a3c-4b1f-9d7e-0123456789ab", ResourceAmount.of(8, 1));
        }
        ResourceAmount limit = ResourceAmount.limit(500, 100);
        return new TeamQuota("team-" + number, ResourceAmount.of(100, 10), limit, OverQuotaPolicy.DRAIN, "all", 1)
                .withBudgets(budgets, 1);
    }

    @Test
    void recordFitsTheSmallestValueLimitOfTheStore() {
        byte[] value = Json.bytes(QuotaRecordCodec.encode(team(0)));
        assertTrue(value.length < MIN_STORE_VALUE_BYTES, value.length + " bytes");
    }

    @Test
    void applyReservationsVisitsOnlyReservedJobs() throws Exception {
        for (int i = 0; i < MACHINES; i++) {
            cluster.getOrAddMachine("m-" + i, 0);
        }
        for (int i = 0; i < TEAMS; i++) {
            reservations.updateQuota(new EffectiveQuota(team(i), null));
        }
        reservations.openJobsReadUpTo(1);
        List<Job> jobs = new ArrayList<>();
        for (int i = 0; i < JOBS; i++) {
            String id = String.format("req-%06d", i);
            Map<String, Object> body = jobBody(id, "crew", "team-" + i % TEAMS, "cpus", 1.0);
            Job job = new Job(JobSpecCodec.decode(Json.objectOrEmpty(Json.bytes(body))), 1, 0);
            cluster.jobs.put(id, job);
            jobs.add(job);
            boolean reserved = i % 10 == 0;
            Reservation reservation = new Reservation("controller-0", 1, reserved ? 1 : 0);
            reservations.addJob(id, job.spec().team(), ResourceAmount.of(1, 0), reservation);
        }
        int[] visitedJobs = new int[1];
        int jobsApplied = 0;
        for (int i = 0; i < TEAMS; i++) {
            ReservationTracker.AppliedReservations applied = reservations.applyReservations(
                    "team-" + i, new QuotaHeadroom(ResourceAmount.limit(500, 0), ResourceAmount.ZERO), null, job -> {
                        visitedJobs[0]++;
                        return 1;
                    });
            jobsApplied += applied.tasksByJob().size();
        }
        assertEquals(JOBS / 10, visitedJobs[0]);
        assertEquals(JOBS / 10, jobsApplied);
        jobs.forEach(job -> reservations.removeJob(job.spec().id()));
        assertEquals(0, reservations.reservedTasks("req-000000"));
    }
}
