package org.weldcourse.jobs;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.weldcourse.http.Json;
import org.weldcourse.jobs.JobSpec.Kind;
import org.weldcourse.jobs.JobSpec.Priority;

/**
 * Encodes and decodes a job with the field names of the protocol, which submissions and job records share. These names
 * are mapped to those of {@link JobSpec} only here. Amounts and durations are decimal numbers; durations are in
 * seconds.
 */
public final class JobSpecCodec {
    static final int MAX_TASKS = 100_000;
    private static final int MAX_ID_LENGTH = 40;
    private static final String ID_PREFIX = "req-";

    private static final double MICROS_PER_SECOND = 1e6;
    /** Longer durations are reduced to this, so that sums of durations in microseconds do not overflow. */
    private static final double MAX_SECONDS = 1e12;

    private JobSpecCodec() {}

    /** Whether the text is a valid job ID: {@code req-} followed by digits. */
    public static boolean isJobId(String text) {
        if (text == null
                || !text.startsWith(ID_PREFIX)
                || text.length() <= ID_PREFIX.length()
                || text.length() > MAX_ID_LENGTH) {
            return false;
        }
        return text.chars().skip(ID_PREFIX.length()).allMatch(c -> c >= '0' && c <= '9');
    }

    /**
     * Decodes a job from a submission or from its record; unknown fields are ignored.
     *
     * @throws InvalidJobException for the first field that is missing or invalid
     */
    public static JobSpec decode(Map<String, Object> body) throws InvalidJobException {
        String id = Json.text(body, "name_id");
        if (!isJobId(id)) {
            throw new InvalidJobException("name_id", "req- and digits");
        }
        Kind kind = kind(text(body, "shape"));
        Priority priority = priority(text(body, "rank"));
        long tasks = Json.integer(body, "beads", 0);
        if (tasks < 1 || tasks > MAX_TASKS) {
            throw new InvalidJobException("beads", "an integer from 1 to " + MAX_TASKS);
        }
        double cpus = amount(body, "cpus");
        if (cpus <= 0) {
            throw new InvalidJobException("cpus", "a number above 0");
        }
        return new JobSpec(
                id,
                text(body, "course"),
                text(body, "crew"),
                kind,
                priority,
                (int) tasks,
                cpus,
                amount(body, "gpus"),
                amount(body, "mem_gb"),
                text(body, "blank"),
                amount(body, "size_gb"),
                machineTypes(body),
                body.get("yard") == null ? null : text(body, "yard"),
                flag(body, "together"),
                flag(body, "apart"),
                flag(body, "loaners"),
                micros(body, "expected_s"),
                micros(body, "tack_s"),
                micros(body, "quench_s"),
                body.get("due_s") == null ? 0 : micros(body, "due_s"));
    }

    /** Encodes a job so that {@link #decode} returns an equal one. */
    static Map<String, Object> encode(JobSpec spec) {
        Map<String, Object> body = new LinkedHashMap<>();
        body.put("name_id", spec.id());
        body.put("course", spec.jobClass());
        body.put("crew", spec.team());
        body.put("shape", wireName(spec.kind()));
        body.put("rank", wireName(spec.priority()));
        body.put("beads", spec.tasks());
        body.put("cpus", spec.cpus());
        body.put("gpus", spec.gpus());
        body.put("mem_gb", spec.memoryGb());
        body.put("blank", spec.image());
        body.put("size_gb", spec.imageGb());
        body.put("rigs", spec.machineTypes());
        body.put("yard", spec.zone());
        body.put("together", spec.singleZone());
        body.put("apart", spec.spreadAcrossZones());
        body.put("loaners", spec.allowsSpot());
        body.put("expected_s", seconds(spec.estimatedRunMicros()));
        body.put("tack_s", seconds(spec.checkpointIntervalMicros()));
        body.put("quench_s", seconds(spec.checkpointSaveMicros()));
        body.put("due_s", spec.deadlineMicros() == 0 ? null : seconds(spec.deadlineMicros()));
        return body;
    }

    private static String wireName(Kind kind) {
        return switch (kind) {
            case JOB_ARRAY -> "array";
            case GANG -> "ensemble";
            case SERVICE -> "service";
        };
    }

    private static Kind kind(String wireName) throws InvalidJobException {
        for (Kind kind : Kind.values()) {
            if (wireName(kind).equals(wireName)) {
                return kind;
            }
        }
        throw new InvalidJobException("shape", "array, ensemble or service");
    }

    private static String wireName(Priority priority) {
        return switch (priority) {
            case PRODUCTION -> "prod";
            case HIGH -> "urgent";
            case NORMAL -> "normal";
            case LOW -> "idle";
        };
    }

    private static Priority priority(String wireName) throws InvalidJobException {
        for (Priority priority : Priority.values()) {
            if (wireName(priority).equals(wireName)) {
                return priority;
            }
        }
        throw new InvalidJobException("rank", "prod, urgent, normal or idle");
    }

    private static long micros(Map<String, Object> body, String field) throws InvalidJobException {
        return Math.round(Math.min(amount(body, field), MAX_SECONDS) * MICROS_PER_SECOND);
    }

    private static double seconds(long micros) {
        return micros / MICROS_PER_SECOND;
    }

    private static String text(Map<String, Object> body, String field) throws InvalidJobException {
        String text = Json.text(body, field);
        if (text == null || text.isEmpty()) {
            throw new InvalidJobException(field, "a string that is not empty");
        }
        return text;
    }

    private static double amount(Map<String, Object> body, String field) throws InvalidJobException {
        double amount = Json.decimal(body, field, -1);
        if (!(amount >= 0) || Double.isInfinite(amount)) {
            throw new InvalidJobException(field, "a number of at least 0");
        }
        return amount;
    }

    private static boolean flag(Map<String, Object> body, String field) throws InvalidJobException {
        if (body.get(field) instanceof Boolean flag) {
            return flag;
        }
        throw new InvalidJobException(field, "true or false");
    }

    private static List<String> machineTypes(Map<String, Object> body) throws InvalidJobException {
        if (body.get("rigs") == null) {
            return null;
        }
        List<String> types = new ArrayList<>();
        for (Object item : Json.list(body.get("rigs"))) {
            if (!(item instanceof String type)) {
                throw invalidMachineTypes();
            }
            types.add(type);
        }
        if (types.isEmpty()) {
            throw invalidMachineTypes();
        }
        return List.copyOf(types);
    }

    private static InvalidJobException invalidMachineTypes() {
        return new InvalidJobException("rigs", "null or a list of strings that is not empty");
    }
}
