package org.weldcourse.jobs;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.weldcourse.http.Json;
import org.weldcourse.simulation.FakeClock;

/**
 * Tests of {@link CancellationConfirmation}. Guards against a confirmation while a leader may still start tasks on a read
 * that does not show the cancellation.
 */
class CancellationConfirmationTest {
    private final FakeClock clock = new FakeClock();
    private final CancellationConfirmation confirmation = new CancellationConfirmation(clock, clock);
    private final List<String> replies = new ArrayList<>();

    private void ask(String id) {
        confirmation.reply(JobStatus.cancelled(id), (status, body, retryAfterSeconds) -> {
            assertEquals(200, status);
            assertEquals("cancelled", Json.text(body, "heat"));
            replies.add(Json.text(body, "name_id"));
        });
    }

    @Test
    void firstAnswerWaitsUntilNoLeaderMayStartTasksOnAnOlderRead() {
        assertTrue(
                CancellationConfirmation.DELAY_MICROS > CancellationConfirmation.MAX_READ_AGE_TO_START_MICROS * 1.001);
        ask("req-000001");
        clock.pass(CancellationConfirmation.DELAY_MICROS - 1);
        assertEquals(List.of(), replies);
        clock.pass(1);
        assertEquals(List.of("req-000001"), replies);
    }

    @Test
    void laterAnswersWaitOnlyForTheRestOfTheTime() {
        ask("req-000001");
        clock.pass(CancellationConfirmation.DELAY_MICROS / 2);
        ask("req-000001");
        ask("req-000002");
        clock.pass(CancellationConfirmation.DELAY_MICROS / 2);
        assertEquals(List.of("req-000001", "req-000001"), replies);
        ask("req-000001");
        assertEquals(3, replies.size(), "known for long enough");
        clock.pass(CancellationConfirmation.DELAY_MICROS / 2);
        assertEquals(List.of("req-000001", "req-000001", "req-000001", "req-000002"), replies);
    }
}
