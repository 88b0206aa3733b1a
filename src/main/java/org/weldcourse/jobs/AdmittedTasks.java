package org.weldcourse.jobs;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** The admitted tasks of one job by machine and attempt, in ascending order. */
public final class AdmittedTasks {
    /** The size of a record without its machines, with numbers of the maximum length. */
    private static final int RECORD_OVERHEAD_BYTES = 80;

    /** The size of the punctuation around a machine's name and its tasks. */
    private static final int MACHINE_OVERHEAD_BYTES = 6;

    private final Map<String, TreeMap<Integer, BitSet>> byMachine = new LinkedHashMap<>();

    /** Adds a task. */
    public AdmittedTasks add(String machine, int attempt, int task) {
        tasksOf(machine, attempt).set(task);
        return this;
    }

    private BitSet tasksOf(String machine, int attempt) {
        return byMachine
                .computeIfAbsent(machine, name -> new TreeMap<>())
                .computeIfAbsent(attempt, number -> new BitSet());
    }

    private boolean contains(String machine, int attempt) {
        return byMachine.containsKey(machine) && byMachine.get(machine).containsKey(attempt);
    }

    public boolean isEmpty() {
        return byMachine.isEmpty();
    }

    /** Visits each range of consecutive tasks of a machine and attempt. */
    public void visit(AdmissionRecordCodec.Visitor visitor) {
        byMachine.forEach((machine, attempts) -> attempts.forEach((attempt, tasks) -> {
            for (int first = tasks.nextSetBit(0); first >= 0; ) {
                int end = tasks.nextClearBit(first);
                visitor.range(machine, attempt, first, end - 1);
                first = tasks.nextSetBit(end);
            }
        }));
    }

    /**
     * Splits the tasks into parts whose records take at most {@code maxBytes} each, unless a single range takes more.
     */
    public List<AdmittedTasks> split(int maxBytes) {
        Splitter splitter = new Splitter(maxBytes);
        visit(splitter);
        return splitter.parts();
    }

    /** Fills one part after the other with ranges of tasks. */
    private static final class Splitter implements AdmissionRecordCodec.Visitor {
        private final int maxBytes;
        private final List<AdmittedTasks> parts = new ArrayList<>();
        private AdmittedTasks part = new AdmittedTasks();
        private int usedBytes = RECORD_OVERHEAD_BYTES;

        Splitter(int maxBytes) {
            this.maxBytes = maxBytes;
        }

        @Override
        public void range(String machine, int attempt, int first, int last) {
            int rangeBytes = formatRange(first, last).length() + 1;
            // The maximum that this range adds, reached if its machine and attempt are not yet in the part.
            int bytes = machine.length() + MACHINE_OVERHEAD_BYTES + digits(attempt) + 1 + rangeBytes;
            if (usedBytes + bytes > maxBytes && !part.isEmpty()) {
                parts.add(part);
                part = new AdmittedTasks();
                usedBytes = RECORD_OVERHEAD_BYTES;
            }
            usedBytes += part.contains(machine, attempt) ? rangeBytes : bytes;
            part.tasksOf(machine, attempt).set(first, last + 1);
        }

        List<AdmittedTasks> parts() {
            if (!part.isEmpty()) {
                parts.add(part);
                part = new AdmittedTasks();
            }
            return parts;
        }
    }

    /**
     * The ranges of each machine in the form of a record: {@code "3:0-7,9;4:12"} is tasks 0 to 7 and 9 of attempt 3,
     * and task 12 of attempt 4.
     */
    Map<String, Object> byMachineAsRanges() {
        Map<String, Object> rangesByMachine = new LinkedHashMap<>();
        byMachine.forEach((machine, attempts) -> rangesByMachine.put(machine, formatRanges(attempts)));
        return rangesByMachine;
    }

    private static String formatRanges(TreeMap<Integer, BitSet> tasksByAttempt) {
        StringBuilder text = new StringBuilder();
        tasksByAttempt.forEach((attempt, tasks) -> {
            text.append(text.isEmpty() ? "" : ";").append(attempt).append(':');
            for (int first = tasks.nextSetBit(0); first >= 0; ) {
                int end = tasks.nextClearBit(first);
                text.append(formatRange(first, end - 1));
                first = tasks.nextSetBit(end);
                if (first >= 0) {
                    text.append(',');
                }
            }
        });
        return text.toString();
    }

    private static int digits(int number) {
        return Integer.toString(number).length();
    }

    private static String formatRange(int first, int last) {
        return first == last ? Integer.toString(first) : first + "-" + last;
    }
}
