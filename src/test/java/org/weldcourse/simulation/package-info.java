/** Simulated cluster for tests: fake clock, network, store, cloud and workers, and checks of the cluster's invariants. */
package org.weldcourse.simulation;
