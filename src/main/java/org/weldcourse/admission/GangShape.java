package org.weldcourse.admission;

import java.util.List;
import org.weldcourse.jobs.JobSpec;

/**
 * The properties of a gang, apart from its number of tasks, that determine whether it can be placed. If a gang cannot be
 * placed, others of the same shape with as many tasks or more are skipped in this cycle.
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
