/**
 * Soak tests: real controller processes on the loopback interface, fakes for every other component, random faults, and
 * invariants that are checked from outside the controllers.
 */
package org.weldcourse.soak;
