package org.weldcourse.app;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.weldcourse.jobs.JobApi;
import org.weldcourse.runtime.Clock;
import org.weldcourse.runtime.ScheduledTask;
import org.weldcourse.runtime.Timers;

/** Logs the load of the process every 30 seconds, and statistics on users' requests if there were any. */
final class StatusLogTask extends ScheduledTask {
    private static final Logger LOG = LoggerFactory.getLogger(StatusLogTask.class);
    private static final long LOG_INTERVAL_MICROS = 30_000_000;

    private final ProcessMetrics processMetrics;
    private final JobApi jobs;

    StatusLogTask(ProcessMetrics processMetrics, JobApi jobs, Clock clock, Timers timers) {
        super("status log", clock, timers);
        this.processMetrics = processMetrics;
        this.jobs = jobs;
    }

    @Override
    protected long step() {
        LOG.info("version {}, {}", Main.VERSION, processMetrics.summarizeAndReset());
        if (!jobs.requestMetrics().isEmpty()) {
            LOG.info("{}", jobs.requestMetrics().summarizeAndReset());
        }
        return LOG_INTERVAL_MICROS;
    }
}
