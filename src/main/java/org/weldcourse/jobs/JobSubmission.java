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
 * Accepts jobs by a compare-and-swap that succeeds once for each id. Submission is an idempotent request: one of a job that was
 * accepted before, by whichever node, is answered with its status, whatever today's machine types and limits say of it.
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

    /** Accepts a well-formed job, or answers why not, or what became of it. */
    void submit(JobSpec spec, Reply reply) {
        if (!validator.isReady()) {
            statusQueries.answer(spec.id(), reply, () -> JobReplies.machineTypesUnknown(reply));
        } else if (validator.whyNeverRunnable(spec).isPresent()) {
            statusQueries.answer(spec.id(), reply, () -> validateAnew(spec, reply));
        } else {
            accept(spec, reply);
        }
    }

    /** The limit may have been raised since this node last read it: a 422 is final, so it must not rest on an old one. */
    private void validateAnew(JobSpec spec, Reply reply) {
        quota.refresh(spec.team(), () -> {
            Optional<String> whyNeverRunnable = validator.whyNeverRunnable(spec);
            if (whyNeverRunnable.isPresent()) {
                JobReplies.canNeverRun(reply, whyNeverRunnable.get());
            } else {
                accept(spec, reply);
            }
        });
    }

    private void accept(JobSpec spec, Reply reply) {
        if (statusQueries.hasSeen(spec.id())) {
            // A repeat: a write whose conditions fail would cost as much as any other.
            statusQueries.answer(spec.id(), reply, () -> reserveAndWrite(spec, reply));
        } else {
            reserveAndWrite(spec, reply);
        }
    }

    private void reserveAndWrite(JobSpec spec, Reply reply) {
        SubmissionQuota.Grant grant = quota.reserve(spec.team(), spec.quotaPerTask(), spec.concurrentTasks());
        write(new AcceptedJob(spec, grant, clock.wallMicros()), MAX_TRIES, reply);
    }

    private void write(AcceptedJob job, int tries, Reply reply) {
        store.commit(job.write(), commit -> {
            if (commit.outcome() == Outcome.OK) {
                logAccepted(job.spec());
                JobReplies.accepted(reply, job.id());
            } else if (commit.outcome() == Outcome.REFUSED) {
                conflict(job, tries, commit, reply);
            } else if (commit.outcome() == Outcome.UNKNOWN && tries > 1) {
                // Another try settles what became of this one: it is refused if this one was applied.
                write(job, tries - 1, reply);
            } else {
                JobReplies.storeFailed(reply, commit.outcome());
            }
        });
    }

    /** A condition did not hold: the reservation's budget was taken back, or the job was accepted before. */
    private void conflict(AcceptedJob job, int tries, Commit commit, Reply reply) {
        if (job.hasReservation()) {
            boolean earlierTryMayApply = tries < MAX_TRIES;
            if (!earlierTryMayApply) {
                quota.release(
                        job.spec().team(),
                        job.spec().quotaPerTask(),
                        job.grant().reservation());
            }
            if (job.isOnlyReservationOutdated(commit.failed())) {
                // The job is accepted all the same, and waits for the leader's turn.
                quota.refresh(job.spec().team(), () -> {});
                write(job.withoutReservation(), tries, reply);
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
