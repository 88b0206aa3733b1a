package org.weldcourse.jobs;

import java.util.Optional;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.weldcourse.http.Server.Reply;
import org.weldcourse.quota.ledger.SubmissionQuota;
import org.weldcourse.runtime.Clock;
import org.weldcourse.store.Store;
import org.weldcourse.store.Store.Commit;
import org.weldcourse.store.Store.Outcome;

/**
 * Accepts jobs by a compare-and-swap that succeeds once per job ID. Submission is idempotent: if any node accepted the
 * job before, the answer is its status, even if the job would not fit the current machine types and limits.
 */
final class JobSubmission {
    private static final Logger LOG = LoggerFactory.getLogger(JobSubmission.class);
    private static final int MAX_TRIES = 4;

    private final Store store;
    private final Clock clock;
    private final SubmissionQuota quota;
    private final SubmissionValidator validator;
    private final JobStatusQueries statusQueries;

    JobSubmission(
            Store store,
            Clock clock,
            SubmissionQuota quota,
            SubmissionValidator validator,
            JobStatusQueries statusQueries) {
        this.store = store;
        this.clock = clock;
        this.quota = quota;
        this.validator = validator;
        this.statusQueries = statusQueries;
    }

    /**
     * Accepts a well-formed job, or replies with the reason for its rejection or with the status of the earlier
     * submission.
     */
    void submit(JobSpec spec, Reply reply) {
        if (!validator.isReady()) {
            statusQueries.answer(spec.id(), reply, () -> JobReplies.machineTypesUnknown(reply));
        } else if (validator.findRejectionReason(spec).isPresent()) {
            statusQueries.answer(spec.id(), reply, () -> revalidateWithFreshQuota(spec, reply));
        } else {
            accept(spec, reply);
        }
    }

    /**
     * Reads the quota again before a 422, which is final: the limit may have been raised since this node last read it.
     */
    private void revalidateWithFreshQuota(JobSpec spec, Reply reply) {
        quota.refresh(spec.team(), () -> {
            Optional<String> rejectionReason = validator.findRejectionReason(spec);
            if (rejectionReason.isPresent()) {
                JobReplies.canNeverRun(reply, rejectionReason.get());
            } else {
                accept(spec, reply);
            }
        });
    }

    private void accept(JobSpec spec, Reply reply) {
        if (statusQueries.hasSeen(spec.id())) {
            // Query first: for a repeated submission the write would fail and still count against the rate limit.
            statusQueries.answer(spec.id(), reply, () -> reserveAndWrite(spec, reply));
        } else {
            reserveAndWrite(spec, reply);
        }
    }

    private void reserveAndWrite(JobSpec spec, Reply reply) {
        SubmissionQuota.Grant grant = quota.reserve(spec.team(), spec.quotaPerTask(), spec.concurrentTasks());
        write(new AcceptedJob(spec, grant, clock.wallMicros()), MAX_TRIES, reply);
    }

    private void write(AcceptedJob job, int triesLeft, Reply reply) {
        store.commit(job.toTransaction(), commit -> {
            if (commit.outcome() == Outcome.OK) {
                logAccepted(job.spec());
                JobReplies.accepted(reply, job.id());
            } else if (commit.outcome() == Outcome.REFUSED) {
                handleConflict(job, triesLeft, commit, reply);
            } else if (commit.outcome() == Outcome.UNKNOWN && triesLeft > 1) {
                // The retry shows the result of this write: it is refused if this write was applied.
                write(job, triesLeft - 1, reply);
            } else {
                JobReplies.storeFailed(reply, commit.outcome());
            }
        });
    }

    /** Handles a failed condition: the reservation's quota budget was withdrawn, or the job was accepted before. */
    private void handleConflict(AcceptedJob job, int triesLeft, Commit commit, Reply reply) {
        if (job.hasReservation()) {
            boolean earlierTryMayBeApplied = triesLeft < MAX_TRIES;
            if (!earlierTryMayBeApplied) {
                quota.release(
                        job.spec().team(),
                        job.spec().quotaPerTask(),
                        job.grant().reservation());
            }
            if (job.isOnlyReservationOutdated(commit.failed())) {
                // The job is accepted without a reservation; the leader admits it in queue order.
                quota.refresh(job.spec().team(), () -> {});
                write(job.withoutReservation(), triesLeft, reply);
                return;
            }
        }
        statusQueries.answer(job.id(), reply, () -> JobReplies.tryAgain(reply));
    }

    private static void logAccepted(JobSpec spec) {
        LOG.debug(
                "{}: accepted, {} x {} tasks of {} CPUs, {} s each, due in {} s",
                spec.id(),
                spec.jobClass(),
                spec.tasks(),
                spec.cpus(),
                spec.estimatedRunMicros() / 1e6,
                spec.deadlineMicros() / 1e6);
    }
}
