package org.weldcourse.persistence;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.weldcourse.jobs.AdmissionRecordCodec;

/** Goes over the admitted tasks of a record, one at a time, so that the work can be interrupted after any of them. */
final class AdmittedTaskCursor {
    /** A cursor over no tasks. */
    static final AdmittedTaskCursor NONE = new AdmittedTaskCursor(Map.of(), 0, (machine, attempt, task) -> {});

    private final List<Range> ranges = new ArrayList<>();
    private final Restorer restorer;
    private final RuntimeException decodingError;
    private int nextRange;
    private int nextOffset;

    private record Range(String machine, int attempt, int first, int last) {}

    /** Restores one task. */
    interface Restorer {
        /** Restores a task that was admitted on this machine and under this attempt. */
        void restore(String machine, int attempt, int task);
    }

    /** Decodes a record; tasks from number {@code jobTasks} on are left out. */
    AdmittedTaskCursor(Map<String, Object> record, int jobTasks, Restorer restorer) {
        this.restorer = restorer;
        this.decodingError = decode(record, jobTasks);
    }

    private RuntimeException decode(Map<String, Object> record, int jobTasks) {
        try {
            AdmissionRecordCodec.visit(record, (machine, attempt, first, last) -> {
                if (first <= last && first < jobTasks) {
                    ranges.add(new Range(machine, attempt, first, Math.min(last, jobTasks - 1)));
                }
            });
            return null;
        } catch (RuntimeException unreadable) {
            return unreadable;
        }
    }

    /** Why the rest of the record could not be read, or null. The tasks before the error are restored. */
    RuntimeException decodingError() {
        return decodingError;
    }

    boolean hasNext() {
        return nextRange < ranges.size();
    }

    void restoreNext() {
        Range range = ranges.get(nextRange);
        int task = range.first + nextOffset;
        nextOffset++;
        if (task == range.last) {
            nextRange++;
            nextOffset = 0;
        }
        restorer.restore(range.machine, range.attempt, task);
    }
}
