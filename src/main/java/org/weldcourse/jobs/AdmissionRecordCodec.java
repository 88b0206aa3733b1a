package org.weldcourse.jobs;

import java.util.BitSet;
import java.util.Map;
import org.weldcourse.http.Json;

/**
 * Encodes and decodes the records of admitted tasks under {@code slices/}. A record holds, for each machine, the ranges
 * of its tasks by attempt ({@code "3:0-7,9;4:12"}). It also holds the highest attempt number that was assigned, the
 * number of this write and, unless the job is too large, a bit set of the finished tasks.
 */
public final class AdmissionRecordCodec {
    private AdmissionRecordCodec() {}

    /** Encodes a record; {@code finished} is null if the finished tasks are kept in records of their own. */
    public static Map<String, Object> encode(
            AdmittedTasks admitted, int lastAttempt, int writeNumber, BitSet finished) {
        return Json.of(
                "last",
                lastAttempt,
                FinishedTasksCodec.WRITE_NUMBER,
                writeNumber,
                "machines",
                admitted.byMachineAsRanges(),
                FinishedTasksCodec.BITS,
                finished == null ? null : FinishedTasksCodec.encode(finished));
    }

    /** The highest attempt number that was assigned when the record was written. */
    public static int lastAttempt(Map<String, Object> record) {
        return (int) Json.integer(record, "last", 0);
    }

    /** The number of the write that an admission record or a shard of finished tasks comes from. */
    public static int writeNumber(Map<String, Object> record) {
        return (int) Json.integer(record, FinishedTasksCodec.WRITE_NUMBER, 0);
    }

    /** Visits the tasks of an admission record. */
    public interface Visitor {
        /** Visits a range of consecutive tasks of one machine and attempt. */
        void range(String machine, int attempt, int first, int last);
    }

    /**
     * Visits the admitted tasks of a record.
     *
     * @throws UnreadableRecordException at the first machine whose tasks can't be read; the ranges before it were
     *     visited
     */
    public static void visit(Map<String, Object> record, Visitor visitor) {
        for (Map.Entry<String, Object> entry :
                Json.object(record.get("machines")).entrySet()) {
            String machine = entry.getKey();
            if (!(entry.getValue() instanceof String tasksByAttempt)) {
                throw new UnreadableRecordException("tasks on " + machine + " are not a string");
            }
            for (String attemptRanges : tasksByAttempt.split(";")) {
                int colon = attemptRanges.indexOf(':');
                if (colon < 0) {
                    throw new UnreadableRecordException(
                            "tasks on " + machine + " have no attempt number: " + attemptRanges);
                }
                int attempt = parseNumber(machine, attemptRanges.substring(0, colon));
                for (String range : attemptRanges.substring(colon + 1).split(",")) {
                    int dash = range.indexOf('-');
                    int first = parseNumber(machine, dash < 0 ? range : range.substring(0, dash));
                    int last = dash < 0 ? first : parseNumber(machine, range.substring(dash + 1));
                    visitor.range(machine, attempt, first, last);
                }
            }
        }
    }

    private static int parseNumber(String machine, String text) {
        try {
            return Integer.parseInt(text);
        } catch (NumberFormatException notANumber) {
            throw new UnreadableRecordException(
                    "tasks on " + machine + " contain an invalid number: " + text, notANumber);
        }
    }

    /**
     * The number of admitted tasks in a record.
     *
     * @throws UnreadableRecordException if a machine's tasks can't be read
     */
    public static int countTasks(Map<String, Object> record) {
        int[] count = new int[1];
        visit(record, (machine, attempt, first, last) -> count[0] += last - first + 1);
        return count[0];
    }
}
