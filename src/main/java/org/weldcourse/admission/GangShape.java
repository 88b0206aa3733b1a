package org.weldcourse.admission;

import java.util.List;
import org.weldcourse.jobs.JobSpec;

/** What decides whether a gang finds places. When one found none, its like need not look in the same cycle. */
record GangShape(
        String team,
        JobSpec.Rank rank,
        double cpus,
        double gpus,
        double memoryGb,
        List<String> types,
        String zone,
        boolean oneZone,
        boolean spread,
        boolean spot) {
    GangShape(JobSpec spec) {
        this(
                spec.team(),
                spec.rank(),
                spec.cpus(),
                spec.gpus(),
                spec.memoryGb(),
                spec.types(),
                spec.zone(),
                spec.oneZone(),
                spec.spread(),
                spec.spot());
    }
}
