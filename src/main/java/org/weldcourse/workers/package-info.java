/**
 * Communication between the leader and the workers: heartbeats and commands and their encoding
 * ({@link org.weldcourse.workers.HeartbeatCodec}, {@link org.weldcourse.workers.CommandCodec}), the reconciliation of
 * heartbeats with the bookings, the authorization of task starts, and the bound on the renewal of workers' leases.
 */
package org.weldcourse.workers;
