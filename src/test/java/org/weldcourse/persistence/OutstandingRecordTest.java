package org.weldcourse.persistence;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.weldcourse.simulation.JobBodies.jobBody;

import java.util.Map;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.weldcourse.cluster.ClusterState;
import org.weldcourse.cluster.Job;
import org.weldcourse.http.Json;
import org.weldcourse.jobs.JobSpecCodec;
import org.weldcourse.quota.ResourceAmount;

/** Tests that the record of an ended job's tasks is restored as it was written. */
class OutstandingRecordTest {
    private static final String TEAM = "core";
    private static final String MACHINE = "m-000001";

    private final ClusterState cluster = new ClusterState();
    private Job job;

    @BeforeEach
    void addOpenJob() throws Exception {
        job = new Job(JobSpecCodec.decode(jobBody("req-000001", "crew", TEAM, "gpus", 1.0, "beads", 3L)), 1, 0);
        cluster.jobs.put(job.spec().id(), job);
    }

    private void bookPersisted(int task) {
        cluster.book(job, task, 1, cluster.getOrAddMachine(MACHINE, 0), 0).markPersisted();
    }

    @Test
    void outstandingRecordIsRestoredAsWritten() throws Exception {
        bookPersisted(0);
        bookPersisted(2);
        Map<String, Object> record = Json.objectOrEmpty(Json.bytes(OutstandingRecord.encode(job, 10_000)));
        ClusterState restoredCluster = new ClusterState();
        Job restored = OutstandingRecord.restoreJob(record, 5);
        AdmittedTaskCursor tasks = OutstandingRecord.tasks(restoredCluster, restored, record, () -> 5);
        while (tasks.hasNext()) {
            tasks.restoreNext();
        }
        assertNull(tasks.decodingError());
        assertEquals(ResourceAmount.of(4, 2), restoredCluster.quotaUsage.bookedBy(TEAM));
        assertEquals(2, restoredCluster.getOrAddMachine(MACHINE, 5).bookings.size());
        assertTrue(restored.isClosed() && restored.booking(2).isStopRequested() && restored.allDone());
        assertNull(restored.booking(1));
    }

    /** A job whose record would be too large is closed only once no task of it can be left on a machine. */
    @Test
    void outstandingRecordIsOmittedAboveTheMaximumSize() {
        bookPersisted(0);
        assertNull(OutstandingRecord.encode(job, 300));
    }
}
