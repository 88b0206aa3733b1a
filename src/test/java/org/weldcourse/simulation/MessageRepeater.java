package org.weldcourse.simulation;

import java.util.List;
import java.util.Map;

/**
 * Delivers copies of earlier messages at intervals: to each worker all responses and direct commands that it has handled,
 * and to each controller the last heartbeats of each machine.
 */
public final class MessageRepeater {
    private final SimulatedCluster cluster;
    private final long intervalMicros;
    private final int reports;

    /** Creates a repeater of the last {@code reports} heartbeats of each machine. */
    public MessageRepeater(SimulatedCluster cluster, long intervalMicros, int reports) {
        this.cluster = cluster;
        this.intervalMicros = intervalMicros;
        this.reports = reports;
    }

    /** Delivers the first copies after the interval, and goes on from there. */
    public void start() {
        cluster.clock.after(intervalMicros, () -> {
            List.copyOf(cluster.workers.values()).forEach(this::repeatMessages);
            start();
        });
    }

    private void repeatMessages(FakeWorker worker) {
        worker.receiveCopies();
        List<Map<String, Object>> sent = List.copyOf(worker.heartbeats());
        for (Map<String, Object> copy : sent.subList(Math.max(0, sent.size() - reports), sent.size())) {
            cluster.alive().forEach(node -> cluster.postAsync(node, "/checkin", copy));
        }
    }
}
