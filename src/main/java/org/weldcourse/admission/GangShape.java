package org.weldcourse.admission;

import java.util.List;
import org.weldcourse.jobs.JobSpec;

/**
 * Everything except its number of tasks that determines whether a gang can be placed. If one gang cannot, others of the
 * same shape with as many tasks or more are skipped in this cycle.
 */
record GangShape(
        String team,
        JobSpec.Priority priority,
        double cpus,
        double gpus,
        double memoryGb,
        List<String> types,
        String zone,
        boolean singleZone,
        boolean spreadAcrossZones,
        boolean allowsSpot) {
    GangShape(JobSpec spec) {
        this(
                spec.team(),
                spec.priority(),
                spec.cpus(),
                spec.gpus(),
                spec.memoryGb(),
                spec.machineTypes(),
                spec.zone(),
                spec.singleZone(),
                spec.spreadAcrossZones(),
                spec.allowsSpot());
    }
}
