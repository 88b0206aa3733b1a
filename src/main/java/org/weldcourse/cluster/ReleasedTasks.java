package org.weldcourse.cluster;

import java.util.BitSet;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * The tasks of one job whose bookings were released while an admission record still contains them, by record key. To a
 * later leader they look admitted.
 */
public final class ReleasedTasks {
    private final Map<String, BitSet> tasksByKey = new HashMap<>();
    private int leavingTasks;

    /** Adds a task that the record with this key contains. */
    public void add(String recordKey, int task) {
        add(recordKey, task, task);
    }

    /** Adds the tasks from {@code first} to {@code last}, both inclusive. */
    public void add(String recordKey, int first, int last) {
        tasksByKey.computeIfAbsent(recordKey, key -> new BitSet()).set(first, last + 1);
    }

    /** Whether no record contains a released task. */
    public boolean isEmpty() {
        return tasksByKey.isEmpty();
    }

    /** The keys of the records that contain released tasks other than these. */
    Set<String> keysOfTasksOtherThan(BitSet excluded) {
        Set<String> keys = new HashSet<>();
        tasksByKey.forEach((key, released) -> {
            BitSet others = (BitSet) released.clone();
            others.andNot(excluded);
            if (!others.isEmpty()) {
                keys.add(key);
            }
        });
        return keys;
    }

    /** The released tasks in any record, except those with these keys. */
    BitSet tasksOutside(Set<String> keys) {
        BitSet tasks = new BitSet();
        tasksByKey.forEach((key, released) -> {
            if (!keys.contains(key)) {
                tasks.or(released);
            }
        });
        return tasks;
    }

    /** Records that the write in flight takes this many released tasks off the record, or 0 at its end. */
    public void setLeavingTasks(int tasks) {
        leavingTasks = tasks;
    }

    /** The number of released tasks that the write in flight takes off the record. */
    int leavingTasks() {
        return leavingTasks;
    }

    /** A copy of the released tasks in the records with these keys, as a write of those records leaves them out. */
    public Map<String, BitSet> in(Set<String> keys) {
        Map<String, BitSet> copy = new HashMap<>();
        tasksByKey.forEach((key, released) -> {
            if (keys.contains(key)) {
                copy.put(key, (BitSet) released.clone());
            }
        });
        return copy;
    }

    /** Removes tasks that the records with these keys no longer contain. */
    public void removeAll(Map<String, BitSet> removedByKey) {
        removedByKey.forEach((key, removed) -> {
            BitSet released = tasksByKey.get(key);
            if (released != null) {
                released.andNot(removed);
                if (released.isEmpty()) {
                    tasksByKey.remove(key);
                }
            }
        });
    }
}
