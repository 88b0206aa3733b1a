package org.weldcourse.jobs;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * The admitted tasks of one job by machine and attempt, in ascending order. Its operations cost as much as the ranges of
 * consecutive tasks that it holds, not as the tasks.
 */
public final class AdmittedTasks {
    /** The size of a record without its machines, with numbers of the maximum length. */
    private static final int RECORD_OVERHEAD_BYTES = 80;

    /** The size of the punctuation around a machine's name and its tasks. */
    private static final int MACHINE_OVERHEAD_BYTES = 6;

    private final Map<String, TreeMap<Integer, TaskRanges>> byMachine = new LinkedHashMap<>();

    /** Adds a task. */
    public AdmittedTasks add(String machine, int attempt, int task) {
        return add(machine, attempt, task, task);
    }

    /** Adds the tasks from {@code first} to {@code last}, both inclusive. */
    public AdmittedTasks add(String machine, int attempt, int first, int last) {
        tasksOf(machine, attempt).add(first, last);
        return this;
    }

    /** Adds all tasks of {@code other}. */
    public AdmittedTasks addAll(AdmittedTasks other) {
        other.byMachine.forEach((machine, attempts) ->
                attempts.forEach((attempt, tasks) -> tasksOf(machine, attempt).addAll(tasks)));
        return this;
    }

    /** Removes a task, if it is there. */
    public void remove(String machine, int attempt, int task) {
        TreeMap<Integer, TaskRanges> attempts = byMachine.get(machine);
        TaskRanges tasks = attempts == null ? null : attempts.get(attempt);
        if (tasks == null) {
            return;
        }
        tasks.remove(task);
        if (tasks.isEmpty()) {
            attempts.remove(attempt);
        }
        if (attempts.isEmpty()) {
            byMachine.remove(machine);
        }
    }

    /** Whether the task is there, on this machine and under this attempt. */
    public boolean contains(String machine, int attempt, int task) {
        return contains(machine, attempt) && byMachine.get(machine).get(attempt).contains(task);
    }

    /** The tasks that are both here and in {@code other}, on the same machine and under the same attempt. */
    public AdmittedTasks intersection(AdmittedTasks other) {
        AdmittedTasks common = new AdmittedTasks();
        visit((machine, attempt, first, last) -> {
            if (other.contains(machine, attempt)) {
                other.tasksOf(machine, attempt)
                        .visitIn(first, last, (from, to) -> common.add(machine, attempt, from, to));
            }
        });
        return common;
    }

    /** Visits the ranges of tasks that are here and not in {@code other} on the same machine and under the same attempt. */
    public void visitOutside(AdmittedTasks other, AdmissionRecordCodec.Visitor visitor) {
        visit((machine, attempt, first, last) -> {
            if (other.contains(machine, attempt)) {
                other.tasksOf(machine, attempt)
                        .visitOutside(first, last, (from, to) -> visitor.range(machine, attempt, from, to));
            } else {
                visitor.range(machine, attempt, first, last);
            }
        });
    }

    private TaskRanges tasksOf(String machine, int attempt) {
        return byMachine
                .computeIfAbsent(machine, name -> new TreeMap<>())
                .computeIfAbsent(attempt, number -> new TaskRanges());
    }

    private boolean contains(String machine, int attempt) {
        return byMachine.containsKey(machine) && byMachine.get(machine).containsKey(attempt);
    }

    /** Whether there is no task. */
    public boolean isEmpty() {
        return byMachine.isEmpty();
    }

    /** Visits each range of consecutive tasks of a machine and attempt. */
    public void visit(AdmissionRecordCodec.Visitor visitor) {
        byMachine.forEach((machine, attempts) -> attempts.forEach(
                (attempt, tasks) -> tasks.visit((first, last) -> visitor.range(machine, attempt, first, last))));
    }

    /** The number of ranges of consecutive tasks. */
    public int rangeCount() {
        int count = 0;
        for (TreeMap<Integer, TaskRanges> attempts : byMachine.values()) {
            for (TaskRanges tasks : attempts.values()) {
                count += tasks.rangeCount();
            }
        }
        return count;
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
            part.add(machine, attempt, first, last);
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

    private static String formatRanges(TreeMap<Integer, TaskRanges> tasksByAttempt) {
        StringBuilder text = new StringBuilder();
        tasksByAttempt.forEach((attempt, tasks) -> {
            text.append(text.isEmpty() ? "" : ";").append(attempt).append(':');
            int start = text.length();
            tasks.visit((first, last) ->
                    text.append(text.length() == start ? "" : ",").append(formatRange(first, last)));
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
