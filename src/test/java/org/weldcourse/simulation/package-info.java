/** The simulated cluster of the tests: clock, network, state service, cloud, workers and users. */
package org.weldcourse.simulation;
