package org.weldcourse.leader;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.weldcourse.cluster.ClusterState;
import org.weldcourse.runtime.Clock;

/**
 * Whether a new leader has restored its predecessor's records. Until then it admits nothing and registers no machine.
 */
final class RecoveryProgress {
    private static final Logger LOG = LoggerFactory.getLogger(RecoveryProgress.class);

    private final long fencingToken;
    private final ClusterState cluster;
    private final Clock clock;
    private final long electedMicros;
    private boolean complete;
    private long revision;

    /** Creates the recovery state of a term that starts now. */
    RecoveryProgress(long fencingToken, ClusterState cluster, Clock clock) {
        this.fencingToken = fencingToken;
        this.cluster = cluster;
        this.clock = clock;
        this.electedMicros = clock.nowMicros();
    }

    /**
     * Marks the recovery as complete.
     *
     * @param records the number of records read, without those of open jobs
     * @param asOfRevision the records are at least as new as this revision of the store
     */
    void completed(int records, long asOfRevision) {
        complete = true;
        revision = asOfRevision;
        LOG.info(
                "fencing token {}: restored {} open jobs and {} other records as of revision {}, {} ms after election",
                fencingToken,
                cluster.jobs.size(),
                records,
                asOfRevision,
                (clock.nowMicros() - electedMicros) / 1000);
    }

    /** Whether all records were restored. */
    boolean isComplete() {
        return complete;
    }

    /** The revision of the store as of which the records were restored, or 0 before. */
    long revision() {
        return revision;
    }
}
