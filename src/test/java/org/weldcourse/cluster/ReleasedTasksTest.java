package org.weldcourse.cluster;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.weldcourse.simulation.JobBodies.jobBody;

import org.junit.jupiter.api.Test;
import org.weldcourse.http.Json;
import org.weldcourse.jobs.JobSpecCodec;

/** Tests how many tasks of a job count as admitted while a write of its records is in flight. */
class ReleasedTasksTest {
    private static final String RECORD = "slices/req-000001/0";

    private final ClusterState cluster = new ClusterState();
    private Job job;

    private void addJobWithRecordedTasks(int recorded) throws Exception {
        job = new Job(JobSpecCodec.decode(Json.objectOrEmpty(Json.bytes(jobBody("req-000001", "beads", 6)))), 1, 0);
        cluster.jobs.put("req-000001", job);
        for (int task = 0; task < recorded; task++) {
            Booking booking = book(task, 1);
            booking.markPersisted();
            booking.setRecordKey(RECORD);
        }
    }

    private Booking book(int task, int attempt) {
        return cluster.book(job, task, attempt, cluster.getOrAddMachine("m-000001", 0), 0);
    }

    private int admittedTasks() {
        return job.bookings().size() + job.releasedTaskCount();
    }

    /**
     * Guards against admissions above a team's limit on record: quota that a job gives back with a write in flight was
     * given to another job, whose write could be the first of the two to be applied.
     */
    @Test
    void taskThatIsBookedAgainDoesNotStandForOneThatLeavesTheRecord() throws Exception {
        addJobWithRecordedTasks(3);
        for (int task = 0; task < 3; task++) {
            cluster.release(job.booking(task), ReleaseReason.EXITED, 1);
        }
        assertEquals(3, admittedTasks());
        book(0, 2);
        job.releasedTasks().beginWrite(2);
        assertEquals(3, admittedTasks(), "the record contains three tasks until the write is applied");
    }

    @Test
    void taskThatWasNotOnRecordStandsForOneThatLeavesIt() throws Exception {
        addJobWithRecordedTasks(2);
        cluster.release(job.booking(0), ReleaseReason.EXITED, 1);
        cluster.release(job.booking(1), ReleaseReason.EXITED, 1);
        book(4, 2);
        job.releasedTasks().beginWrite(2);
        assertEquals(2, admittedTasks(), "two tasks before the write, one after it");
        book(5, 2);
        assertEquals(2, admittedTasks(), "two tasks before the write and after it");
    }

    /**
     * Guards against admissions above a team's limit on record: while the answer to a write was late, its machine was
     * returned, and the quota of its tasks was given to another job although they were on record.
     */
    @Test
    void taskThatIsReleasedDuringItsWriteMayBeOnRecord() throws Exception {
        addJobWithRecordedTasks(0);
        book(0, 1);
        book(1, 1);
        job.releasedTasks().beginWrite(0);
        cluster.release(job.booking(0), ReleaseReason.MACHINE_SCALED_IN, 1);
        assertEquals(2, admittedTasks(), "the write may have been applied");
        assertEquals(
                job.spec().quotaPerTask(), cluster.releasedOnRecord(job.spec().team()));
        job.releasedTasks().endWrite();
        assertEquals(1, admittedTasks(), "the write was refused, or has added the task by its key");
    }

    @Test
    void taskThatIsReleasedBeforeItsWriteIsNotOnRecord() throws Exception {
        addJobWithRecordedTasks(0);
        book(0, 1);
        cluster.release(job.booking(0), ReleaseReason.ADMISSION_REFUSED, 1);
        assertEquals(0, admittedTasks());
    }
}
