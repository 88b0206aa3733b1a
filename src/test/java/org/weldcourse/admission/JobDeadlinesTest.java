package org.weldcourse.admission;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.weldcourse.cluster.Job;
import org.weldcourse.cluster.RunTimeEstimator;
import org.weldcourse.http.Json;
import org.weldcourse.jobs.JobSpecCodec;
import org.weldcourse.settings.Settings.ServiceLevelObjective;
import org.weldcourse.settings.Settings.ServiceLevelObjective.Kind;
import org.weldcourse.simulation.JobBodies;

/** Tests the deadlines that follow from a job's own deadline and its objectives. */
class JobDeadlinesTest {
    private static final long SECOND = 1_000_000;
    private static final long ACCEPTED = 1_000 * SECOND;

    private static final ServiceLevelObjective START =
            new ServiceLevelObjective(Kind.START, "any", 20 * SECOND, 0.9, 1);
    private static final ServiceLevelObjective COMPLETION =
            new ServiceLevelObjective(Kind.COMPLETION, "any", 100 * SECOND, 0.9, 1);
    private static final ServiceLevelObjective DEADLINE = new ServiceLevelObjective(Kind.DEADLINE, "any", 0, 0.9, 1.5);
    private static final ServiceLevelObjective OTHER_CLASS =
            new ServiceLevelObjective(Kind.COMPLETION, "other", SECOND, 0.9, 1);

    private static Job job(String shape) throws Exception {
        return new Job(
                JobSpecCodec.decode(Json.objectOrEmpty(Json.bytes(
                        JobBodies.jobBody("req-000001", "shape", shape, "expected_s", 30.0, "due_s", 200.0)))),
                1,
                ACCEPTED);
    }

    private static JobDeadlines deadlines(ServiceLevelObjective... objectives) {
        return new JobDeadlines(List.of(objectives), new RunTimeEstimator());
    }

    @Test
    void startObjectiveLeavesAQuarterOfItsTimeAndCompletionObjectiveTheRunTime() throws Exception {
        assertArrayEquals(
                new long[] {ACCEPTED + 15 * SECOND, ACCEPTED + 70 * SECOND},
                deadlines(COMPLETION, START, OTHER_CLASS).admissionDeadlinesMicros(job("array"), false));
    }

    @Test
    void latestCompletionObjectiveCounts() throws Exception {
        assertArrayEquals(
                new long[] {ACCEPTED + 270 * SECOND},
                deadlines(DEADLINE, COMPLETION).admissionDeadlinesMicros(job("array"), false));
    }

    @Test
    void startObjectiveIsIgnoredForAStartedArrayButNotForAGang() throws Exception {
        assertArrayEquals(new long[0], deadlines(START).admissionDeadlinesMicros(job("array"), true));
        assertArrayEquals(
                new long[] {ACCEPTED + 15 * SECOND}, deadlines(START).admissionDeadlinesMicros(job("ensemble"), true));
    }

    @Test
    void jobIsDueWellBeforeTheEarlierOfItsDeadlineAndItsObjective() throws Exception {
        assertEquals(ACCEPTED + 170 * SECOND, deadlines().dueMicros(job("array")));
        assertEquals(ACCEPTED + 85 * SECOND, deadlines(COMPLETION, OTHER_CLASS).dueMicros(job("array")));
        assertEquals(ACCEPTED + 55 * SECOND, deadlines(COMPLETION).latestStartMicros(job("array")));
    }
}
