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
 * What the store holds of the open jobs, as this node last read it. Queries are answered from it only after a read of the
 * changes that was sent after they came: one read serves all that wait, and no answer can be older than what any node told
 * before. Without users there are no reads.
 */
final class OpenJobsView {
    /** The part of the store's requests that all nodes' reads together may take. */
    private static final double SHARE_OF_REQUESTS = 0.25;

    private static final long ADMISSIONS_INTERVAL_MICROS = 1_000_000;
    private static final int MAX_WAITING = 400;

    private final Clock clock;
    private final Timers timers;
    private final long readIntervalMicros;
    private final Map<String, Boolean> cancelledByJob = new HashMap<>();
    private final Map<String, Map<String, Integer>> admittedTasksByRecordByJob = new HashMap<>();
    private final PrefixMirror openJobs;
    private final PrefixMirror admissions;
    private List<Query> waiting = new ArrayList<>();
    private boolean reading;
    private long nextReadMicros;
    private long nextAdmissionsMicros;

    private record Query(String id, Answer answer) {}

    /** Takes the answer to a query. */
    interface Answer {
        /** {@code found} is what the view now shows; null, unless the outcome is OK, when it could not be brought up to date. */
        void accept(Outcome outcome, Found found);
    }

    /** What is found of a job; {@code admittedTasks} counts what is on record as admitted, for display. */
    record Found(boolean isOpen, boolean isCancelled, int admittedTasks) {
        private static final Found NOT_OPEN = new Found(false, false, 0);
    }

    /** A view of a store that serves so many requests a second to so many nodes. */
    OpenJobsView(Store store, Clock clock, Timers timers, double requestsPerSecond, int nodes) {
        this.clock = clock;
        this.timers = timers;
        this.readIntervalMicros = Math.round(nodes / (SHARE_OF_REQUESTS * requestsPerSecond) * 1e6);
        this.openJobs = new PrefixMirror(store, StoreKeys.OPEN_JOBS, cancelledByJob::clear, this::jobChanged);
        this.admissions = new PrefixMirror(
                store, StoreKeys.ADMISSIONS, admittedTasksByRecordByJob::clear, this::admissionChanged);
    }

    /** Whether no more queries may wait; the bound keeps a node that can't read from gathering them. */
    boolean isFull() {
        return waiting.size() >= MAX_WAITING;
    }

    /** Whether the job was open when this was last read: a hint, not an answer. */
    boolean hasSeen(String id) {
        return cancelledByJob.containsKey(id);
    }

    /** Answers once the view is known to be no older than this call. */
    void ask(String id, Answer answer) {
        waiting.add(new Query(id, answer));
        if (!reading) {
            reading = true;
            timers.after(Math.max(0, nextReadMicros - clock.nowMicros()), this::read);
        }
    }

    private void read() {
        List<Query> asked = waiting;
        waiting = new ArrayList<>();
        nextReadMicros = clock.nowMicros() + readIntervalMicros;
        if (clock.nowMicros() >= nextAdmissionsMicros) {
            // For display alone, so it may lag, and a failure to read it fails nobody.
            nextAdmissionsMicros = clock.nowMicros() + ADMISSIONS_INTERVAL_MICROS;
            admissions.update(outcome -> {});
        }
        openJobs.update(outcome -> {
            for (Query query : asked) {
                query.answer.accept(outcome, outcome == Outcome.OK ? find(query.id) : null);
            }
            if (waiting.isEmpty()) {
                reading = false;
            } else {
                timers.after(Math.max(0, nextReadMicros - clock.nowMicros()), this::read);
            }
        });
    }

    private Found find(String id) {
        Boolean cancelled = cancelledByJob.get(id);
        if (cancelled == null) {
            return Found.NOT_OPEN;
        }
        int admittedTasks = 0;
        for (int tasks : admittedTasksByRecordByJob.getOrDefault(id, Map.of()).values()) {
            admittedTasks += tasks;
        }
        return new Found(true, cancelled, admittedTasks);
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
            // The leader says so once; here it only counts for display.
            return 0;
        }
    }
}
