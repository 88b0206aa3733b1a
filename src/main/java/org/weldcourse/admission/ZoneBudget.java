package org.weldcourse.admission;

import java.util.HashMap;
import java.util.Map;
import org.weldcourse.cluster.ZoneCounts;
import org.weldcourse.jobs.JobSpec;

/**
 * How many more tasks of a job may be placed in each zone, if it is bound to one zone or spread over zones. A task whose
 * zone is not known counts in every zone, so that the zones are kept wherever it turns out to be.
 */
final class ZoneBudget {
    private final JobSpec spec;
    private final String onlyZone;
    private final ZoneCounts present;
    private final Map<String, Integer> placedByZone = new HashMap<>();

    /**
     * Creates a budget for a job.
     *
     * @param onlyZone the zone that all tasks must be in, or null
     * @param present the job's tasks on machines, without those that are placed with this budget
     */
    ZoneBudget(JobSpec spec, String onlyZone, ZoneCounts present) {
        this.spec = spec;
        this.onlyZone = onlyZone;
        this.present = present;
    }

    /** How many more tasks may be placed in the zone; zero or negative means none. */
    int remaining(String zone) {
        if (onlyZone != null && !onlyZone.equals(zone)) {
            return 0;
        }
        if (spec.singleZone() && !present.areAllIn(zone)) {
            return 0;
        }
        return spec.maxTasksPerZone() - placedByZone.getOrDefault(zone, 0) - tasksThatCount(zone);
    }

    /** The present tasks that count against the maximum per zone, which only a spread job has. */
    private int tasksThatCount(String zone) {
        return spec.spreadAcrossZones() ? present.atMostIn(zone) : 0;
    }

    void consume(String zone, int tasks) {
        placedByZone.merge(zone, tasks, Integer::sum);
    }
}
