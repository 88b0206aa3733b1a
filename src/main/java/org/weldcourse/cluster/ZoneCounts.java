package org.weldcourse.cluster;

import java.util.Collections;
import java.util.HashMap;
import java.util.Map;

/**
 * How many tasks of a job are in each zone. After a failover, a machine is known by its name alone until it reports or
 * the cloud lists it: a task there may be in any zone.
 *
 * @param known the number of tasks on machines whose zone is known, by zone
 * @param unknown the number of tasks on machines whose zone is not known
 */
public record ZoneCounts(Map<String, Integer> known, int unknown) {
    /** The counts of a job without tasks on machines. */
    public static final ZoneCounts NONE = new ZoneCounts(Map.of(), 0);

    /** Creates counts that do not change with the given map. */
    public ZoneCounts {
        known = Collections.unmodifiableMap(new HashMap<>(known));
    }

    /** Adds up the numbers of tasks on the machines. */
    static ZoneCounts ofTasksOn(Map<Machine, Integer> tasksByMachine) {
        Map<String, Integer> known = new HashMap<>();
        int unknown = 0;
        for (Map.Entry<Machine, Integer> entry : tasksByMachine.entrySet()) {
            String zone = entry.getKey().zone;
            if (zone == null) {
                unknown += entry.getValue();
            } else {
                known.merge(zone, entry.getValue(), Integer::sum);
            }
        }
        return new ZoneCounts(known, unknown);
    }

    /** The most tasks that may be in the zone. */
    public int atMostIn(String zone) {
        return known.getOrDefault(zone, 0) + unknown;
    }

    /** Whether there is no task, in any zone. */
    public boolean isEmpty() {
        return known.isEmpty() && unknown == 0;
    }

    /** Whether all tasks are certain to be in the zone. */
    public boolean areAllIn(String zone) {
        return unknown == 0 && (known.isEmpty() || known.size() == 1 && known.containsKey(zone));
    }
}
