package org.weldcourse.jobs;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Supplier;
import org.weldcourse.fleet.MachineType;
import org.weldcourse.http.Json;
import org.weldcourse.http.Server.Reply;
import org.weldcourse.quota.ledger.SubmissionQuota;
import org.weldcourse.runtime.Clock;
import org.weldcourse.runtime.Timers;
import org.weldcourse.settings.Settings;
import org.weldcourse.store.Store;

/**
 * Entry point for user requests on every controller: submit a job, query its status, cancel it. It checks that a
 * request is well formed and bounds the number of requests that wait for the store. {@link JobSubmission},
 * {@link JobStatusQueries} and {@link JobCancellation} then access the store and reply. Answers always come from the
 * store; only final states are cached, because they can't change.
 */
public final class JobApi {
    private final InFlightRequests requests;
    private final JobSubmission submission;
    private final JobStatusQueries statusQueries;
    private final JobCancellation cancellation;

    /** Creates the API of a node; {@code machineTypes} supplies an empty list until the machine types are known. */
    public JobApi(
            Store store,
            Settings settings,
            Clock clock,
            Timers timers,
            Supplier<List<MachineType>> machineTypes,
            SubmissionQuota quota) {
        int nodes = settings.peers().size() + 1;
        OpenJobsView openJobs =
                new OpenJobsView(store, clock, timers, settings.storeLimits().requestsPerSecond(), nodes);
        SubmissionValidator validator = new SubmissionValidator(settings, machineTypes, quota, clock);
        this.requests = new InFlightRequests(clock);
        CancellationConfirmation confirmation = new CancellationConfirmation(clock, timers);
        this.statusQueries = new JobStatusQueries(store, openJobs, confirmation);
        this.submission = new JobSubmission(store, clock, quota, validator, statusQueries);
        this.cancellation = new JobCancellation(
                store, statusQueries, confirmation, settings.storeLimits().safeValueBytes());
    }

    /** The metrics of all user requests. */
    public RequestMetrics requestMetrics() {
        return requests.metrics();
    }

    /**
     * Accepts the job that the body describes: 201, or 200 with its status if it was accepted before. 400 if the body
     * is malformed, 422 if the job can never run, 429 or 503 if the user should retry.
     */
    public void submit(byte[] body, Reply reply) {
        JobSpec spec;
        try {
            if (!(Json.parse(body) instanceof Map<?, ?> object)) {
                JobReplies.malformed(reply, "not an object");
                return;
            }
            spec = JobSpecCodec.decode(Json.object(object));
        } catch (Json.MalformedJsonException malformed) {
            JobReplies.malformed(reply, malformed.getMessage());
            return;
        } catch (InvalidJobException invalid) {
            JobReplies.malformed(reply, invalid.responseText());
            return;
        }
        Optional<Reply> boundedReply = requests.begin(reply);
        if (boundedReply.isPresent()) {
            submission.submit(spec, boundedReply.get());
        }
    }

    /** Returns the status of a job: 200, or 404 if it was never accepted; 429 or 503 if the user should retry. */
    public void status(String id, Reply reply) {
        if (!JobSpecCodec.isJobId(id)) {
            JobReplies.noSuchJob(reply);
            return;
        }
        Reply timed = requests.timed(reply);
        statusQueries.answer(id, timed, () -> JobReplies.noSuchJob(timed));
    }

    /**
     * Cancels a job: 200 with its status, which is "done" if all tasks finished before; 404 if it was never accepted;
     * 429 or 503 if the user should retry.
     */
    public void cancel(String id, Reply reply) {
        if (!JobSpecCodec.isJobId(id)) {
            JobReplies.noSuchJob(reply);
            return;
        }
        Optional<Reply> boundedReply = requests.begin(reply);
        if (boundedReply.isPresent()) {
            cancellation.cancel(id, boundedReply.get());
        }
    }
}
