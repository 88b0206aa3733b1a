package org.weldcourse.jobs;

import java.util.Map;
import java.util.TreeMap;

/**
 * A set of task indexes, kept as disjoint ranges in ascending order. Consecutive tasks take the space and time of one,
 * so that the set of a large job's tasks costs as little as the record that it is written to.
 */
public final class TaskRanges {
    /** The last task of each range by its first; neighbouring ranges are merged. */
    private final TreeMap<Integer, Integer> lastByFirst = new TreeMap<>();

    /** Receives ranges of tasks. */
    public interface Visitor {
        /** Receives the range from {@code first} to {@code last}, both inclusive. */
        void range(int first, int last);
    }

    /** Adds the tasks from {@code first} to {@code last}, both inclusive. */
    public void add(int first, int last) {
        int newFirst = first;
        int newLast = last;
        Map.Entry<Integer, Integer> before = lastByFirst.floorEntry(first);
        if (before != null && before.getValue() >= first - 1) {
            newFirst = before.getKey();
            newLast = Math.max(last, before.getValue());
        }
        Map.Entry<Integer, Integer> after = lastByFirst.higherEntry(newFirst);
        while (after != null && after.getKey() <= newLast + 1) {
            newLast = Math.max(newLast, after.getValue());
            lastByFirst.remove(after.getKey());
            after = lastByFirst.higherEntry(newFirst);
        }
        lastByFirst.put(newFirst, newLast);
    }

    /** Adds all tasks of another set. */
    public void addAll(TaskRanges other) {
        other.visit(this::add);
    }

    /** Removes a task, if it is in the set. */
    public void remove(int task) {
        Map.Entry<Integer, Integer> range = lastByFirst.floorEntry(task);
        if (range == null || range.getValue() < task) {
            return;
        }
        int first = range.getKey();
        int last = range.getValue();
        lastByFirst.remove(first);
        if (first < task) {
            lastByFirst.put(first, task - 1);
        }
        if (task < last) {
            lastByFirst.put(task + 1, last);
        }
    }

    /** Whether the task is in the set. */
    public boolean contains(int task) {
        Map.Entry<Integer, Integer> range = lastByFirst.floorEntry(task);
        return range != null && range.getValue() >= task;
    }

    /** Visits the parts of the range from {@code first} to {@code last} that are in the set. */
    void visitIn(int first, int last, Visitor visitor) {
        Integer start = lastByFirst.floorKey(first);
        Map<Integer, Integer> candidates = lastByFirst.subMap(start == null ? first : start, true, last, true);
        candidates.forEach((rangeFirst, rangeLast) -> {
            if (rangeLast >= first) {
                visitor.range(Math.max(first, rangeFirst), Math.min(last, rangeLast));
            }
        });
    }

    /** Visits the parts of the range from {@code first} to {@code last} that are not in the set. */
    void visitOutside(int first, int last, Visitor visitor) {
        int[] next = {first};
        visitIn(first, last, (coveredFirst, coveredLast) -> {
            if (coveredFirst > next[0]) {
                visitor.range(next[0], coveredFirst - 1);
            }
            next[0] = coveredLast + 1;
        });
        if (next[0] <= last) {
            visitor.range(next[0], last);
        }
    }

    /** Whether the set has no task. */
    public boolean isEmpty() {
        return lastByFirst.isEmpty();
    }

    /** The number of ranges. */
    public int rangeCount() {
        return lastByFirst.size();
    }

    /** Visits the ranges in ascending order. */
    public void visit(Visitor visitor) {
        lastByFirst.forEach(visitor::range);
    }
}
