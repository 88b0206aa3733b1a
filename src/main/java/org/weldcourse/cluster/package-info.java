/**
 * The leader's in-memory state of the cluster: machines, jobs, bookings, and the usage that counts against each team's
 * quota. It belongs to a single event loop. A {@link org.weldcourse.cluster.Snapshot} is the input of one admission
 * cycle.
 */
package org.weldcourse.cluster;
