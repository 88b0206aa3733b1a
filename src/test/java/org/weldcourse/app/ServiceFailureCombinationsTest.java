package org.weldcourse.app;

/**
 * The scripts of {@link FailureCombinationsTest} with a service in place of each array. Its replicas must all serve in the end, and
 * are gone once its user cancels it. Scripts about jobs that end by themselves are overridden without being tests here.
 */
class ServiceFailureCombinationsTest extends FailureCombinationsTest {
    @Override
    protected boolean arraysAreServices() {
        return true;
    }

    @Override
    void tasksThatEndFarApartAcrossAChangeOfLeader(double endsAfter) {}

    @Override
    void cancellationQuestionAndRepeatMeetTheEndOfTheLastTask() {}

    @Override
    void everyNodeIsAskedWithinMillisecondsOfWhatItWasTold() {}

    @Override
    void oneTaskJobsFourASecondAQuarterOfThemCancelled() {}
}
