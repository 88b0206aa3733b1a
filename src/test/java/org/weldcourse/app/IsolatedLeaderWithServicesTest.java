package org.weldcourse.app;

/** The scenarios of {@link IsolatedLeaderTest} with a service in place of each array job. */
class IsolatedLeaderWithServicesTest extends IsolatedLeaderTest {
    @Override
    boolean arraysAreServices() {
        return true;
    }
}
