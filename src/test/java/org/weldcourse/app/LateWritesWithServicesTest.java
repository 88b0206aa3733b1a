package org.weldcourse.app;

/**
 * The scenarios of {@link LateWritesTest} with a service in place of each array job. Scenarios whose
 * jobs must end by themselves do not apply: their overrides lack {@code @Test} and do not run.
 */
class LateWritesWithServicesTest extends LateWritesTest {
    @Override
    boolean arraysAreServices() {
        return true;
    }

    @Override
    void cancellationPollAndResubmissionRaceWithEndOfLastTask() {}

    @Override
    void pollsRightAfterChangesReturnNoStaleState() {}

    @Override
    void storeRequestsPerShortJobAreBounded() {}
}
