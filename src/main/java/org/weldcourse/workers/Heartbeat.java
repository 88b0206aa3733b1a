package org.weldcourse.workers;

import java.util.List;

/**
 * A worker's heartbeat with the status of its machine. Of two heartbeats, the one with the larger (incarnation,
 * sequence) is the newer.
 *
 * @param machine the machine's name
 * @param address where the worker accepts direct commands, as {@code host:port}; null if not reported
 * @param machineType the name of the machine type; null if not reported
 * @param zone the machine's zone; null if not reported
 * @param spot whether the cloud may reclaim the machine
 * @param incarnation starts at 1; goes up each time that the worker's lease expires, which ends all its tasks
 * @param sequence goes up with each message of the worker
 * @param fencingToken the highest fencing token that the worker has seen; 0 if none
 * @param reclaimNoticeMicros time until the cloud reclaims the machine, or {@link #NO_RECLAIM_NOTICE}
 * @param tasks all tasks on the machine, including exited ones until the worker is told to forget them
 */
public record Heartbeat(
        String machine,
        String address,
        String machineType,
        String zone,
        boolean spot,
        long incarnation,
        long sequence,
        long fencingToken,
        long reclaimNoticeMicros,
        List<TaskStatus> tasks) {

    /** The value of {@code reclaimNoticeMicros} while the cloud has not announced that it reclaims the machine. */
    public static final long NO_RECLAIM_NOTICE = -1;
}
