package org.weldcourse.admission;

import java.util.List;
import java.util.stream.LongStream;
import org.weldcourse.cluster.Job;
import org.weldcourse.cluster.RunTimeEstimator;
import org.weldcourse.settings.Settings.ServiceLevelObjective;
import org.weldcourse.settings.Settings.ServiceLevelObjective.Kind;

/**
 * Computes a job's deadlines from its own deadline and its class's service-level objectives. Times are in microseconds.
 */
final class JobDeadlines {
    /**
     * Jobs are planned to end after this fraction of the allowed time, since estimates are inexact and machines may
     * boot late.
     */
    private static final double DUE_FRACTION = 0.85;
    /** A job without a deadline or completion objective is due after this many times its estimated run time. */
    private static final int DEFAULT_DUE_ESTIMATES = 4;

    private final List<ServiceLevelObjective> objectives;
    private final RunTimeEstimator runTimes;

    JobDeadlines(List<ServiceLevelObjective> objectives, RunTimeEstimator runTimes) {
        this.objectives = objectives;
        this.runTimes = runTimes;
    }

    /**
     * The latest admission times that still meet each start objective and the latest completion objective, in ascending
     * order. A quarter of the time for a start is left for commands and fetching images. Start objectives no longer
     * matter for an array that has started.
     */
    long[] admissionDeadlinesMicros(Job job, boolean started) {
        long completionWithinMicros = 0;
        LongStream.Builder deadlines = LongStream.builder();
        for (ServiceLevelObjective objective : objectives) {
            if (!objective.jobClass().equals(job.spec().jobClass())) {
                continue;
            }
            switch (objective.kind()) {
                case START -> {
                    if (job.spec().isGang() || !started) {
                        deadlines.add(job.acceptedMicros() + objective.withinMicros() * 3 / 4);
                    }
                }
                case COMPLETION -> completionWithinMicros = Math.max(completionWithinMicros, objective.withinMicros());
                case DEADLINE ->
                    completionWithinMicros = Math.max(completionWithinMicros, (long)
                            (job.spec().deadlineMicros() * Math.max(1, objective.deadlineFactor())));
            }
        }
        if (completionWithinMicros > 0) {
            deadlines.add(job.acceptedMicros() + completionWithinMicros - runTimes.expectedMicros(job));
        }
        return deadlines.build().sorted().toArray();
    }

    /**
     * The latest start of a task for the job to be done when it is due. Services have no end, so the time of acceptance
     * puts them in order of age.
     */
    long latestStartMicros(Job job) {
        return job.spec().isService() ? job.acceptedMicros() : dueMicros(job) - runTimes.expectedMicros(job);
    }

    /** When the job should be done: well before the earlier of its deadline and its class's completion objective. */
    long dueMicros(Job job) {
        long withinMicros = job.spec().deadlineMicros();
        for (ServiceLevelObjective objective : objectives) {
            if (objective.kind() == Kind.COMPLETION
                    && objective.jobClass().equals(job.spec().jobClass())) {
                withinMicros =
                        withinMicros == 0 ? objective.withinMicros() : Math.min(withinMicros, objective.withinMicros());
            }
        }
        if (withinMicros == 0) {
            withinMicros = DEFAULT_DUE_ESTIMATES * job.spec().estimatedRunMicros();
        }
        return job.acceptedMicros() + (long) (withinMicros * DUE_FRACTION);
    }
}
