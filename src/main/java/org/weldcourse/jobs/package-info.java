/**
 * Submission, status and cancellation of jobs on every node, and the encoding of jobs in requests and in the store.
 * {@link org.weldcourse.jobs.JobApi} is the entry point. It passes a submission to {@code JobSubmission}, which checks
 * the job with {@code SubmissionValidator}, reserves quota and writes the job's record by compare-and-swap. The codecs
 * map the field names of the protocol and of the records; {@link org.weldcourse.jobs.StoreKeys} defines the key of each
 * record.
 */
package org.weldcourse.jobs;
