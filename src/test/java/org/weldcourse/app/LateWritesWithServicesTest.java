package org.weldcourse.app;

/**
 * The scripts of {@link LateWritesTest} with a service in place of each array. Scripts about jobs that end by themselves are overridden
 * without being tests here.
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
