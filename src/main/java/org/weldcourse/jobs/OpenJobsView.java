package org.weldcourse.jobs;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.weldcourse.runtime.Clock;
import org.weldcourse.runtime.Timers;
import org.weldcourse.store.Store;
import org.weldcourse.store.Store.Outcome;

/**
 * This node's view of the open jobs in the store. A query is answered only after a read of the changes that was sent
 * after the query arrived, so no answer is older than an answer that any node gave before. One read serves all pending
 * queries; without queries there are no reads.
 */
final class OpenJobsView {
    /** The share of the store's request rate that the reads of all nodes together may use. */
    private static final double SHARE_OF_REQUESTS = 0.25;

    private static final long ADMISSIONS_READ_INTERVAL_MICROS = 1_000_000;
    private static final int MAX_PENDING_QUERIES = 400;

    private final Clock clock;
    private final Timers timers;
    private final long readIntervalMicros;
    private final Map<String, Boolean> cancelledByJob = new HashMap<>();
    private final Map<String, Map<String, Integer>> admittedTasksByRecordByJob = new HashMap<>();
    private final PrefixMirror openJobs;
    private final PrefixMirror admissions;
    private List<Query> pendingQueries = new ArrayList<>();
    private boolean readPending;
    private long nextReadMicros;
    private long nextAdmissionsReadMicros;

    private record Query(String id, QueryCallback callback) {}

    /** Receives the result of a query. */
    interface QueryCallback {
        /** Receives the result, which is null unless the outcome is OK. */
        void accept(Outcome outcome, QueryResult result);
    }

    /** The state of a job in the view; {@code admittedTasks} is only for display. */
    record QueryResult(boolean isOpen, boolean isCancelled, int admittedTasks) {
        private static final QueryResult NOT_OPEN = new QueryResult(false, false, 0);
    }

    /** Creates a view of a store that serves {@code requestsPerSecond} to {@code nodes} nodes in total. */
    OpenJobsView(Store store, Clock clock, Timers timers, double requestsPerSecond, int nodes) {
        this.clock = clock;
        this.timers = timers;
        this.readIntervalMicros = Math.round(nodes / (SHARE_OF_REQUESTS * requestsPerSecond) * 1e6);
        this.openJobs = new PrefixMirror(store, StoreKeys.OPEN_JOBS, cancelledByJob::clear, this::jobChanged);
        this.admissions = new PrefixMirror(
                store, StoreKeys.ADMISSIONS, admittedTasksByRecordByJob::clear, this::admissionChanged);
    }

    /** Whether no more queries may wait; the bound limits the backlog of a node that can't read the store. */
    boolean isFull() {
        return pendingQueries.size() >= MAX_PENDING_QUERIES;
    }

    /** Whether the job was open at the last read; a hint, which may be out of date. */
    boolean hasSeen(String id) {
        return cancelledByJob.containsKey(id);
    }

    /** Runs the callback after a read of the changes that is sent after this call. */
    void query(String id, QueryCallback callback) {
        pendingQueries.add(new Query(id, callback));
        if (!readPending) {
            readPending = true;
            timers.after(Math.max(0, nextReadMicros - clock.nowMicros()), this::read);
        }
    }

    private void read() {
        List<Query> batch = pendingQueries;
        pendingQueries = new ArrayList<>();
        nextReadMicros = clock.nowMicros() + readIntervalMicros;
        if (clock.nowMicros() >= nextAdmissionsReadMicros) {
            // Only for display: the counts may lag, and a failed read does not fail the queries.
            nextAdmissionsReadMicros = clock.nowMicros() + ADMISSIONS_READ_INTERVAL_MICROS;
            admissions.update(outcome -> {});
        }
        openJobs.update(outcome -> {
            for (Query query : batch) {
                query.callback.accept(outcome, outcome == Outcome.OK ? lookUp(query.id) : null);
            }
            if (pendingQueries.isEmpty()) {
                readPending = false;
            } else {
                timers.after(Math.max(0, nextReadMicros - clock.nowMicros()), this::read);
            }
        });
    }

    private QueryResult lookUp(String id) {
        Boolean cancelled = cancelledByJob.get(id);
        if (cancelled == null) {
            return QueryResult.NOT_OPEN;
        }
        int admittedTasks = 0;
        for (int tasks : admittedTasksByRecordByJob.getOrDefault(id, Map.of()).values()) {
            admittedTasks += tasks;
        }
        return new QueryResult(true, cancelled, admittedTasks);
    }

    private void jobChanged(String key, Map<String, Object> value) {
        if (value == null) {
            cancelledByJob.remove(StoreKeys.jobId(key));
        } else {
            cancelledByJob.put(StoreKeys.jobId(key), JobRecordCodec.isCancelled(value));
        }
    }

    private void admissionChanged(String key, Map<String, Object> value) {
        String id = StoreKeys.jobId(key);
        Map<String, Integer> tasksByRecord = admittedTasksByRecordByJob.computeIfAbsent(id, job -> new HashMap<>());
        if (value == null) {
            tasksByRecord.remove(key);
        } else {
            tasksByRecord.put(key, countTasks(value));
        }
        if (tasksByRecord.isEmpty()) {
            admittedTasksByRecordByJob.remove(id);
        }
    }

    private static int countTasks(Map<String, Object> admissionRecord) {
        try {
            return AdmissionRecordCodec.countTasks(admissionRecord);
        } catch (UnreadableRecordException unreadable) {
            // The leader logs this; the count here is only for display.
            return 0;
        }
    }
}
