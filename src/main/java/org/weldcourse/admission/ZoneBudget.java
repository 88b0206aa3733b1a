package org.weldcourse.admission;

import java.util.Map;
import org.weldcourse.jobs.JobSpec;

/** How many more tasks of a job may be placed in each zone, if it is bound to one zone or spread over zones. */
final class ZoneBudget {
    private final JobSpec spec;
    private final String onlyZone;
    private final Map<String, Integer> tasksByZone;

    /**
     * Creates a budget for a job whose placed tasks are counted in {@code tasksByZone}.
     *
     * @param onlyZone the zone that all tasks must be in, or null
     * @param tasksByZone the number of the job's tasks by zone; tasks placed later are added to this map
     */
    ZoneBudget(JobSpec spec, String onlyZone, Map<String, Integer> tasksByZone) {
        this.spec = spec;
        this.onlyZone = onlyZone;
        this.tasksByZone = tasksByZone;
    }

    /** How many more tasks may be placed in the zone; zero or negative means none. */
    int remaining(String zone) {
        if (onlyZone != null && !onlyZone.equals(zone)) {
            return 0;
        }
        return spec.maxTasksPerZone() - tasksByZone.getOrDefault(zone, 0);
    }

    void consume(String zone, int tasks) {
        tasksByZone.merge(zone, tasks, Integer::sum);
    }
}
