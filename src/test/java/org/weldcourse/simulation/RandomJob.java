package org.weldcourse.simulation;

import static org.weldcourse.simulation.JobBodies.jobBody;

import java.util.List;
import java.util.Map;
import java.util.Random;
import org.weldcourse.http.Json;

/** Jobs as users might submit them: single tasks, arrays, gangs and services, of all priorities. */
public final class RandomJob {
    private static final int SHAPES = 6;
    /** Where tasks are small, so many of them take the place of one. */
    private static final int SMALL_TASKS = 8;

    private RandomJob() {}

    /** The body of a submission; {@code small}: with many small tasks in place of a few large ones. */
    public static Map<String, Object> body(Random random, String id, List<String> teams, boolean small) {
        double cpus = (1.0 + random.nextInt(2)) / (small ? SMALL_TASKS : 1);
        String team = teams.get(random.nextInt(teams.size()));
        Map<String, Object> body = jobBody(id, "crew", team, "cpus", cpus, "mem_gb", 0.1);
        switch (random.nextInt(SHAPES)) {
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
     * Draws how long the tasks of a job run and their images take, from {@code leastRunMicros} on, and notes it with the rules.
     * Returns whether the job goes on until its user cancels it.
     */
    public static boolean drawTimes(
            Random random,
            ClusterInvariants rules,
            Map<String, Object> body,
            int minRunMicros,
            int runSpreadMicros,
            int maxFetchMicros) {
        String id = Json.text(body, "name_id");
        boolean endless = isEndless(body);
        if (endless) {
            rules.runMicros.put(id, Long.MAX_VALUE);
        }
        rules.runMicros.putIfAbsent(id, (long) minRunMicros + random.nextInt(runSpreadMicros));
        rules.fetchMicros.put(id, (long) random.nextInt(maxFetchMicros));
        return endless;
    }

    private static boolean isEndless(Map<String, Object> body) {
        return "service".equals(body.get("shape"));
    }
}
