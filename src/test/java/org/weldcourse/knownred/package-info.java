/** Handling of known test failures: tests listed in KNOWN-RED.txt are run and expected to fail. */
package org.weldcourse.knownred;
