/**
 * The work of the leader. A {@link org.weldcourse.leader.LeaderTerm} lasts from election to deposition under one
 * fencing token and owns the state of the cluster: it restores its predecessor's records, answers the workers'
 * heartbeats and runs the admission cycle. The package also contains the warm-up of a standby.
 */
package org.weldcourse.leader;
