package org.weldcourse.jobs;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.weldcourse.http.Json;
import org.weldcourse.simulation.JobBodies;

/** Tests of {@link JobSpecCodec}, {@link JobRecordCodec} and {@link FinalStateCodec}. */
class JobCodecsTest {
    private static Map<String, Object> throughJson(Map<String, Object> body) {
        return Json.objectOrEmpty(Json.bytes(body));
    }

    @Test
    void recordDecodesToTheSameJob() throws Exception {
        JobSpec spec = JobSpecCodec.decode(throughJson(JobBodies.jobBody(
                "req-000001",
                "due_s",
                12.5,
                "rigs",
                List.of("x"),
                "tack_s",
                30.0,
                "shape",
                "ensemble",
                "rank",
                "prod")));
        Map<String, Object> record = throughJson(JobRecordCodec.encode(spec, 77, false));
        assertEquals(spec, JobRecordCodec.decodeSpec(record));
        assertEquals(77, JobRecordCodec.acceptedWallMicros(record));
        assertFalse(JobRecordCodec.isCancelled(record));
        assertEquals(12_500_000, spec.deadlineMicros());
    }

    @Test
    void invalidJobsAreRejectedWithTheFieldName() {
        Object[][] invalidFields = {
            {"name_id", "job-1"},
            {"name_id", 5},
            {"shape", "ring"},
            {"rank", "high"},
            {"beads", 100_001},
            {"beads", 1.5},
            {"cpus", 0.0},
            {"cpus", "2"},
            {"mem_gb", -1.0},
            {"crew", null},
            {"rigs", List.of()},
            {"rigs", List.of(1)},
            {"together", "yes"},
            {"expected_s", null},
            {"due_s", -5.0},
            {"yard", 3}
        };
        for (Object[] change : invalidFields) {
            InvalidJobException invalid = assertThrows(
                    InvalidJobException.class,
                    () -> JobSpecCodec.decode(throughJson(JobBodies.jobBody("req-000001", change))));
            assertTrue(invalid.getMessage().contains((String) change[0]), invalid.getMessage());
            assertEquals("missing or invalid field: " + change[0], invalid.responseText());
        }
    }

    @Test
    void finalStatesRoundTrip() {
        assertEquals(
                new JobStatus("req-000001", "done", 7, 0),
                FinalStateCodec.decode("req-000001", throughJson(FinalStateCodec.encode(false, 7))));
        assertEquals(
                new JobStatus("req-000001", "cancelled", 2, 0),
                FinalStateCodec.decode("req-000001", throughJson(FinalStateCodec.encode(true, 2))));
    }
}
