package org.weldcourse.jobs;

import java.util.Map;
import org.weldcourse.http.Json;

/**
 * Encodes and decodes the record of an accepted job under {@code open/}: the fields of the submission as in
 * {@link JobSpecCodec}, the time of acceptance and whether the user cancelled the job. It may also hold a quota
 * reservation.
 */
public final class JobRecordCodec {
    /** Replaces the value of text fields that are cleared; the fields must not be empty. */
    private static final String CLEARED_TEXT = "-";

    private JobRecordCodec() {}

    /** Encodes the record of a job; {@code acceptedWallMicros} is the wall-clock time of the node that accepted it. */
    public static Map<String, Object> encode(JobSpec spec, long acceptedWallMicros, boolean cancelled) {
        Map<String, Object> record = JobSpecCodec.encode(spec);
        record.put("accepted", acceptedWallMicros);
        record.put("cancelled", cancelled);
        return record;
    }

    /**
     * Decodes the job that a record describes.
     *
     * @throws InvalidJobException for the first field that is missing or invalid
     */
    public static JobSpec decodeSpec(Map<String, Object> record) throws InvalidJobException {
        return JobSpecCodec.decode(record);
    }

    /** The job's team, or null if it can't be read. */
    public static String team(Map<String, Object> record) {
        return Json.text(record, "crew");
    }

    /** Whether the user cancelled the job. */
    public static boolean isCancelled(Map<String, Object> record) {
        return Json.flag(record, "cancelled");
    }

    /** When the job was accepted, by the wall clock of the node that accepted it; 0 if the record does not state it. */
    public static long acceptedWallMicros(Map<String, Object> record) {
        return Json.integer(record, "accepted", 0);
    }

    static void setCancelled(Map<String, Object> record) {
        record.put("cancelled", true);
    }

    /**
     * Clears the fields that are needed only to start tasks. The team and the size of tasks stay, because quota usage
     * needs them.
     */
    public static void clearSchedulingFields(Map<String, Object> record) {
        record.put("rigs", null);
        record.put("course", CLEARED_TEXT);
        record.put("blank", CLEARED_TEXT);
    }
}
