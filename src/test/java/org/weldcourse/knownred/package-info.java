/** Tests that fail for a known fault: listed in a file, run all the same, and expected to fail. */
package org.weldcourse.knownred;
