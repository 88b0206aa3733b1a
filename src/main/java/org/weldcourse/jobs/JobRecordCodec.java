package org.weldcourse.jobs;

import java.util.Map;
import org.weldcourse.http.Json;

/**
 * The record of an accepted job under {@code open/}: the submission as {@link JobSpecCodec} writes it, when it was accepted
 * and whether its user cancelled it. A reservation of quota may stand beside them.
 */
public final class JobRecordCodec {
    /** Stands for text that a cancelled job's record has no room for. */
    private static final String LEFT_OUT = "-";

    private JobRecordCodec() {}

    /** The record of a job; {@code acceptedWallMicros} is the time of day of the node that accepted it. */
    public static Map<String, Object> encode(JobSpec spec, long acceptedWallMicros, boolean cancelled) {
        Map<String, Object> record = JobSpecCodec.encode(spec);
        record.put("accepted", acceptedWallMicros);
        record.put("cancelled", cancelled);
        return record;
    }

    /**
     * The job that a record describes.
     *
     * @throws InvalidJobException for the first field that is missing or invalid
     */
    public static JobSpec spec(Map<String, Object> record) throws InvalidJobException {
        return JobSpecCodec.decode(record);
    }

    /** The job's team, or null where not even that can be read. */
    public static String team(Map<String, Object> record) {
        return Json.text(record, "crew");
    }

    /** Whether a job's record says that its user cancelled it. */
    public static boolean isCancelled(Map<String, Object> record) {
        return Json.flag(record, "cancelled");
    }

    /** When the job was accepted, by the time of day of the node that accepted it; 0 where that is not on record. */
    public static long acceptedWallMicros(Map<String, Object> record) {
        return Json.integer(record, "accepted", 0);
    }

    static void setCancelled(Map<String, Object> record) {
        record.put("cancelled", true);
    }

    /** Leaves out of a record what is not needed to end a job that starts nothing more; its team and size are, for the quota. */
    public static void clearFieldsUnneededAfterCancellation(Map<String, Object> record) {
        record.put("rigs", null);
        record.put("course", LEFT_OUT);
        record.put("blank", LEFT_OUT);
    }
}
