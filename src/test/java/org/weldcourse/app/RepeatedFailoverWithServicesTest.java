package org.weldcourse.app;

/**
 * The scenarios of {@link RepeatedFailoverTest} with a service in place of each array. Scenarios about jobs that end by
 * themselves do not apply to services: their overrides have no test annotation and do not run.
 */
class RepeatedFailoverWithServicesTest extends RepeatedFailoverTest {
    @Override
    boolean arraysAreServices() {
        return true;
    }

    @Override
    void tasksThatEndFarApartAreStartedOnceAcrossAFailover(double killAfterSeconds) {}
}
