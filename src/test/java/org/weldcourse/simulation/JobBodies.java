package org.weldcourse.simulation;

import java.util.Map;
import org.weldcourse.http.Json;

/** Creates the JSON bodies of job submissions. */
public final class JobBodies {
    private JobBodies() {}

    /** Returns an array job of four tasks for team core; {@code changes} lists fields to override, as names and values. */
    public static Map<String, Object> jobBody(String id, Object... changes) {
        Map<String, Object> job = Json.of(
                "name_id",
                id,
                "course",
                "any",
                "crew",
                "core",
                "shape",
                "array",
                "rank",
                "normal",
                "beads",
                4,
                "cpus",
                2.0,
                "gpus",
                0.0,
                "mem_gb",
                4.0,
                "blank",
                "img",
                "size_gb",
                1.0,
                "rigs",
                null,
                "yard",
                null,
                "together",
                false,
                "apart",
                false,
                "loaners",
                true,
                "expected_s",
                10.0,
                "tack_s",
                0.0,
                "quench_s",
                0.0,
                "due_s",
                null);
        job.putAll(Json.of(changes));
        return job;
    }
}
