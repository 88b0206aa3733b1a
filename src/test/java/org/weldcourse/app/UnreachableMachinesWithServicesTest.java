package org.weldcourse.app;

/** The scenarios of {@link UnreachableMachinesTest} with a service in place of each array. */
class UnreachableMachinesWithServicesTest extends UnreachableMachinesTest {
    @Override
    boolean arraysAreServices() {
        return true;
    }
}
