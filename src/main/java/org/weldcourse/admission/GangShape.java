package org.weldcourse.admission;

import java.util.List;
import org.weldcourse.jobs.JobSpec;

/** What decides whether a gang finds places. When one found none, its like need not look in the same cycle. */
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
