package org.weldcourse.jobs;

import java.util.Base64;
import java.util.BitSet;
import java.util.Map;
import org.weldcourse.http.Json;

/**
 * Encodes and decodes the finished tasks of a job as bit sets. They are part of the job's admission record or, if the
 * job is too large for that, of records under {@code done/}. Each of these records is a shard of consecutive tasks.
 */
public final class FinishedTasksCodec {
    static final String BITS = "bits";
    static final String WRITE_NUMBER = "n";

    private FinishedTasksCodec() {}

    /** Encodes a shard whose first task follows from the shard number; bit 0 of {@code tasks} is that task. */
    public static Map<String, Object> encodeShard(BitSet tasks, int writeNumber) {
        return Json.of(BITS, encode(tasks), WRITE_NUMBER, writeNumber);
    }

    /** Encodes a shard that states its first task; bit 0 of {@code tasks} is that task. */
    public static Map<String, Object> encodeShardFrom(int firstTask, BitSet tasks, int writeNumber) {
        Map<String, Object> record = encodeShard(tasks, writeNumber);
        record.put("from", firstTask);
        return record;
    }

    /**
     * The first task that a shard states, or {@code defaultTask} for a shard whose first task follows from its number.
     */
    public static int firstTask(Map<String, Object> shard, long defaultTask) {
        return (int) Json.integer(shard, "from", defaultTask);
    }

    /** Encodes a set of tasks as base64. */
    static String encode(BitSet tasks) {
        return Base64.getEncoder().encodeToString(tasks.toByteArray());
    }

    /** The maximum encoded length in bytes of a set of tasks out of the first {@code tasks}. */
    public static int maxEncodedBytes(int tasks) {
        return (tasks + 23) / 24 * 4;
    }

    /**
     * Decodes the finished tasks of an admission record or a shard; bit 0 is the first task of the record.
     *
     * @throws UnreadableRecordException if they are not base64
     */
    public static BitSet decode(Map<String, Object> record) {
        String bits = Json.text(record, BITS);
        if (bits == null) {
            return new BitSet();
        }
        try {
            return BitSet.valueOf(Base64.getDecoder().decode(bits));
        } catch (IllegalArgumentException notBase64) {
            throw new UnreadableRecordException("finished tasks are not base64", notBase64);
        }
    }
}
