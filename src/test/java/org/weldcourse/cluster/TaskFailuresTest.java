package org.weldcourse.cluster;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Set;
import org.junit.jupiter.api.Test;
import org.weldcourse.http.Json;
import org.weldcourse.jobs.JobSpecCodec;
import org.weldcourse.simulation.JobBodies;
import org.weldcourse.workers.ExitCause;

/** Tests what failures of tasks say about machines and jobs. */
class TaskFailuresTest {
    private static final long SECOND = 1_000_000;

    private final ClusterState cluster = new ClusterState();
    private final Machine first = cluster.getOrAddMachine("m-1", 0);
    private final Machine second = cluster.getOrAddMachine("m-2", 0);
    private final Machine third = cluster.getOrAddMachine("m-3", 0);

    private Job addJob(int number) throws Exception {
        String id = String.format("req-%06d", number);
        Job job = new Job(JobSpecCodec.decode(Json.objectOrEmpty(Json.bytes(JobBodies.jobBody(id)))), 1, 0);
        cluster.jobs.put(id, job);
        return job;
    }

    private void exit(Job job, int task, Machine machine, ExitCause cause) {
        cluster.taskExited(cluster.book(job, task, job.lastAttempt() + 1, machine, 0), cause, 0);
    }

    @Test
    void failuresOfTwoJobsMakeAMachineSuspected() throws Exception {
        Job job = addJob(1);
        exit(job, 0, first, ExitCause.FAILED);
        exit(job, 1, first, ExitCause.FAILED);
        assertFalse(first.failures.isSuspected(), "one job may be mistaken");
        exit(addJob(2), 0, first, ExitCause.FAILED);
        assertTrue(first.failures.isSuspected());
    }

    /** Failures before the success do not count later, either. */
    @Test
    void successOnTheMachineEndsTheSuspicion() throws Exception {
        exit(addJob(1), 0, first, ExitCause.FAILED);
        exit(addJob(2), 0, first, ExitCause.FAILED);
        exit(addJob(3), 0, first, ExitCause.DONE);
        assertFalse(first.failures.isSuspected());
        exit(addJob(4), 0, first, ExitCause.FAILED);
        assertFalse(first.failures.isSuspected());
    }

    @Test
    void jobThatFailsElsewhereTooSaysNothingAboutMachines() throws Exception {
        Job mistaken = addJob(1);
        exit(mistaken, 0, first, ExitCause.FAILED);
        exit(addJob(2), 0, first, ExitCause.FAILED);
        exit(mistaken, 0, second, ExitCause.FAILED);
        assertFalse(first.failures.isSuspected());
        exit(addJob(3), 0, second, ExitCause.FAILED);
        assertFalse(second.failures.isSuspected());
    }

    @Test
    void jobsThatSucceedElsewhereConfirmTheFault() throws Exception {
        for (int number = 1; number <= 2; number++) {
            assertFalse(first.failures.isConfirmed());
            Job job = addJob(number);
            exit(job, 0, first, ExitCause.FAILED);
            exit(job, 0, second, ExitCause.DONE);
            cluster.removeClosed(job);
        }
        assertTrue(first.failures.isConfirmed());
        assertFalse(second.failures.isSuspected());
    }

    @Test
    void jobThatEndsWithoutASuccessElsewhereIsNoEvidence() throws Exception {
        Job cancelled = addJob(1);
        exit(cancelled, 0, first, ExitCause.FAILED);
        exit(addJob(2), 0, first, ExitCause.FAILED);
        cluster.removeClosed(cancelled);
        assertFalse(first.failures.isSuspected());
    }

    @Test
    void jobThatFailedOnThreeMachinesBacksOffAtEachFurtherFailure() throws Exception {
        Job job = addJob(1);
        exit(job, 0, first, ExitCause.FAILED);
        exit(job, 0, second, ExitCause.FAILED);
        assertTrue(job.canBeBooked(SECOND));
        exit(job, 0, third, ExitCause.FAILED);
        assertFalse(job.canBeBooked(39 * SECOND));
        assertTrue(job.canBeBooked(40 * SECOND));
        exit(job, 0, first, ExitCause.FAILED);
        assertFalse(job.canBeBooked(59 * SECOND));
        assertTrue(job.canBeBooked(60 * SECOND));
    }

    /** Guards against large jobs that are held up by each of many failures on different machines. */
    @Test
    void successEndsTheCountOfFailedMachines() throws Exception {
        Job job = addJob(1);
        exit(job, 0, first, ExitCause.FAILED);
        exit(job, 0, second, ExitCause.FAILED);
        exit(job, 1, third, ExitCause.DONE);
        exit(job, 0, third, ExitCause.FAILED);
        assertTrue(job.canBeBooked(SECOND));
        assertEquals(Set.of("m-1", "m-2", "m-3"), job.runHistory().exclusions().machinesAt(SECOND));
    }
}
