package org.weldcourse.workers;

import java.util.List;

/**
 * A worker's heartbeat with the status of its machine. The one with the larger (incarnation, sequence) is the newer.
 *
 * @param machine the machine's name
 * @param address where the worker takes direct commands, as {@code host:port}; null when it does not say
 * @param machineType the name of the machine type; null when it does not say
 * @param zone the machine's zone; null when it does not say
 * @param spot whether the cloud may reclaim the machine
 * @param incarnation from 1 on; goes up each time that the worker's lease expires, when it ends all its tasks
 * @param sequence goes up with each message of the worker
 * @param fencingToken the highest token that the worker has seen; 0 at first
 * @param reclaimNoticeMicros time until the cloud reclaims the machine, or {@link #NO_RECLAIM_NOTICE}
 * @param tasks all tasks on the machine, exited ones included until the worker is told to forget them
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

    /** {@code reclaimNoticeMicros} when the cloud has not announced to reclaim the machine. */
    public static final long NO_RECLAIM_NOTICE = -1;
}
