package org.weldcourse.jobs;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.weldcourse.http.Json;

/**
 * The record of one admission: the attempt, and for each machine the tasks as ranges, {@code "0-7,9"}. What
 * does not fit one value is split into parts.
 */
public final class SliceCodec {
    private SliceCodec() {
    }

    /** Parts of at most {@code mostBytes} each, for tasks in ascending order by machine. */
    public static List<Map<String, Object>> parts(int attempt, Map<String, int[]> tasksByMachine, int mostBytes) {
        int room = Math.max(64, mostBytes - 48);
        List<Map<String, Object>> parts = new ArrayList<>();
        Map<String, Object> machines = new LinkedHashMap<>();
        int used = 0;
        for (Map.Entry<String, int[]> entry : tasksByMachine.entrySet()) {
            StringBuilder ranges = new StringBuilder();
            int frame = entry.getKey().length() + 6;
            int[] tasks = entry.getValue();
            for (int i = 0; i < tasks.length; ) {
                int last = i;
                while (last + 1 < tasks.length && tasks[last + 1] == tasks[last] + 1) {
                    last++;
                }
                String range = last == i ? Integer.toString(tasks[i]) : tasks[i] + "-" + tasks[last];
                if (used + frame + ranges.length() + range.length() + 1 > room && (used > 0 || !ranges.isEmpty())) {
                    if (!ranges.isEmpty()) {
                        machines.put(entry.getKey(), ranges.toString());
                    }
                    parts.add(Json.of("attempt", attempt, "machines", machines));
                    machines = new LinkedHashMap<>();
                    ranges = new StringBuilder();
                    used = 0;
                }
                if (!ranges.isEmpty()) {
                    ranges.append(',');
                }
                ranges.append(range);
                i = last + 1;
            }
            machines.put(entry.getKey(), ranges.toString());
            used += frame + ranges.length();
        }
        parts.add(Json.of("attempt", attempt, "machines", machines));
        return parts;
    }

    public static int attempt(Map<String, Object> record) {
        return (int) Json.integer(record, "attempt", 0);
    }

    public interface Visitor {
        void tasks(String machine, int first, int last);
    }

    public static void visit(Map<String, Object> record, Visitor visitor) {
        for (Map.Entry<String, Object> entry : Json.object(record.get("machines")).entrySet()) {
            for (String range : ((String) entry.getValue()).split(",")) {
                int dash = range.indexOf('-');
                int first = Integer.parseInt(dash < 0 ? range : range.substring(0, dash));
                visitor.tasks(entry.getKey(), first, dash < 0 ? first : Integer.parseInt(range.substring(dash + 1)));
            }
        }
    }

    public static int countTasks(Map<String, Object> record) {
        int[] count = new int[1];
        visit(record, (machine, first, last) -> count[0] += last - first + 1);
        return count[0];
    }
}
