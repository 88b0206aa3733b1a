package org.weldcourse.simulation;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.weldcourse.http.Json;
import org.weldcourse.http.Server;
import org.weldcourse.jobs.AdmissionRecordCodec;
import org.weldcourse.jobs.JobRecordCodec;
import org.weldcourse.jobs.StoreKeys;

/**
 * Stand-in for a leader of an earlier version: it takes the admission records at their word, and starts each admitted
 * task that its machine does not list.
 */
public final class RecordReplayingLeader {
    private final SimulatedCluster cluster;

    private record Admission(String machine, int attempt) {}

    public RecordReplayingLeader(SimulatedCluster cluster) {
        this.cluster = cluster;
    }

    /** Sends one message with all starts to each machine, under a fencing token above all that workers have seen. */
    public void startRecordedTasks() {
        Map<String, Set<Object>> commands = new HashMap<>();
        for (String key : cluster.store.keys(StoreKeys.OPEN_JOBS)) {
            if (!JobRecordCodec.isCancelled(cluster.store.value(key))) {
                String id = StoreKeys.jobId(key);
                admissions(id).forEach((task, admission) -> commands.computeIfAbsent(
                                admission.machine(), machine -> new HashSet<>())
                        .add(Json.of("order", "run", "bead", id + "/" + task, "strike", admission.attempt())));
            }
        }
        long token = cluster.workers.values().stream()
                        .mapToLong(FakeWorker::fencingToken)
                        .max()
                        .orElse(0)
                + 1;
        commands.forEach((machine, starts) -> send(machine, token, List.copyOf(starts)));
    }

    /** The admission of each task on record, by the highest attempt. */
    private Map<Integer, Admission> admissions(String id) {
        Map<Integer, Admission> admissions = new HashMap<>();
        for (String key : cluster.store.keys(StoreKeys.admissions(id))) {
            AdmissionRecordCodec.visit(cluster.store.value(key), (machine, attempt, first, last) -> {
                for (int task = first; task <= last; task++) {
                    admissions.merge(
                            task,
                            new Admission(machine, attempt),
                            (one, other) -> one.attempt() > other.attempt() ? one : other);
                }
            });
        }
        return admissions;
    }

    private void send(String machine, long token, List<Object> commands) {
        FakeWorker worker = cluster.workers.get(machine);
        if (worker == null) {
            return;
        }
        Map<String, Object> lastHeartbeat =
                worker.heartbeats().get(worker.heartbeats().size() - 1);
        Set<String> listed = new HashSet<>();
        Json.list(lastHeartbeat.get("beads")).forEach(task -> listed.add(Json.text(Json.object(task), "bead")));
        List<Object> starts = commands.stream()
                .filter(command -> !listed.contains(Json.text(Json.object(command), "bead")))
                .toList();
        Map<String, Object> body = Json.of("torch", token, "shift", lastHeartbeat.get("shift"), "orders", starts);
        worker.handle(
                new Server.Request("POST", "/orders", Json.bytes(body)), (status, reply, retryAfterSeconds) -> {});
    }
}
