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
    /** Tasks that were released while the write of their admission was in flight: they may be on record already. */
    private final BitSet releasedDuringWrite = new BitSet();

    private boolean isWriteInFlight;
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
        return tasksByKey.isEmpty() && releasedDuringWrite.isEmpty();
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

    /** The released tasks that may be in any record, except those with these keys. */
    BitSet tasksOutside(Set<String> keys) {
        BitSet tasks = (BitSet) releasedDuringWrite.clone();
        tasksByKey.forEach((key, released) -> {
            if (!keys.contains(key)) {
                tasks.or(released);
            }
        });
        return tasks;
    }

    /** Records that a write of admissions is in flight, which takes this many released tasks off the record. */
    public void beginWrite(int leaving) {
        isWriteInFlight = true;
        leavingTasks = leaving;
    }

    /** Records the end of the write in flight. The tasks that it has put on record must then be added by its key. */
    public void endWrite() {
        isWriteInFlight = false;
        leavingTasks = 0;
        releasedDuringWrite.clear();
    }

    /** Adds a task that was released before its admission was known to be on record. */
    void addUnpersisted(int task) {
        if (isWriteInFlight) {
            releasedDuringWrite.set(task);
        }
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
