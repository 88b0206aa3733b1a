package org.weldcourse.simulation;

import static org.weldcourse.simulation.JobBodies.jobBody;

import java.util.List;
import java.util.Map;
import java.util.Random;
import org.weldcourse.http.Json;

/** Generates random jobs: single tasks, arrays, gangs and services of different priorities. */
public final class RandomJob {
    /** Number of equally likely choices of the kind of a job; three of them choose an array. */
    private static final int KIND_CHOICES = 6;

    /** The CPUs of a task are divided by this number for jobs of small tasks. */
    private static final int SMALL_TASK_DIVISOR = 8;

    private RandomJob() {}

    /** Returns the body of a submission; {@code small} selects many small tasks instead of a few large ones. */
    public static Map<String, Object> body(Random random, String id, List<String> teams, boolean small) {
        double cpus = (1.0 + random.nextInt(2)) / (small ? SMALL_TASK_DIVISOR : 1);
        String team = teams.get(random.nextInt(teams.size()));
        Map<String, Object> body = jobBody(id, "crew", team, "cpus", cpus, "mem_gb", 0.1);
        switch (random.nextInt(KIND_CHOICES)) {
            case 0 -> body.put("beads", 1L);
            case 1 -> {
                body.put("shape", "service");
                body.put("expected_s", 0.0);
                body.put("beads", 1L + random.nextInt(2));
            }
            case 2 -> {
                body.put("shape", "ensemble");
                body.put("beads", 2L + random.nextInt(small ? 24 : 3));
            }
            default -> body.put("beads", 2L + random.nextInt(small ? 150 : 9));
        }
        body.put("rank", List.of("urgent", "normal", "normal", "idle").get(random.nextInt(4)));
        body.put("together", random.nextInt(5) == 0);
        return body;
    }

    /**
     * Sets random durations for the runs and image pulls of a job's tasks. Returns whether the job is a service, which runs
     * until its user cancels it.
     */
    public static boolean drawTimes(
            Random random,
            ClusterInvariants invariants,
            Map<String, Object> body,
            int minRunMicros,
            int runSpreadMicros,
            int maxFetchMicros) {
        String id = Json.text(body, "name_id");
        boolean endless = isService(body);
        if (endless) {
            invariants.runMicros.put(id, Long.MAX_VALUE);
        }
        invariants.runMicros.putIfAbsent(id, (long) minRunMicros + random.nextInt(runSpreadMicros));
        invariants.fetchMicros.put(id, (long) random.nextInt(maxFetchMicros));
        return endless;
    }

    private static boolean isService(Map<String, Object> body) {
        return "service".equals(body.get("shape"));
    }
}
