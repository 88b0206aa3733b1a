package org.weldcourse.jobs;

import java.util.List;

/** A job as its user described it. Lists are null where the user leaves the choice open. */
public record JobSpec(
        String id,
        String jobClass,
        String team,
        Shape shape,
        Rank rank,
        int tasks,
        double cpus,
        double gpus,
        double memoryGb,
        String image,
        double imageGb,
        List<String> types,
        String zone,
        boolean oneZone,
        boolean spread,
        boolean spot,
        long estimateMicros,
        long checkpointMicros,
        long saveMicros,
        long deadlineMicros) {

    /** From the most to the least important. */
    public enum Rank {
        PRODUCTION,
        HIGH,
        NORMAL,
        LOW
    }

    /** Services have no end of their own: they run until their user cancels them. */
    public enum Shape {
        ARRAY,
        GANG,
        SERVICE
    }

    /** How many of its tasks have to run at the same time: an array's may follow one another. */
    public int tasksAtOnce() {
        return gang() || service() ? tasks : 1;
    }

    /** Whether all tasks run at the same time or none does. */
    public boolean gang() {
        return shape == Shape.GANG;
    }

    /** Whether its tasks are replicas that run until the job is cancelled. */
    public boolean service() {
        return shape == Shape.SERVICE;
    }

    /** How many tasks one zone may hold. */
    public int mostPerZone() {
        return spread ? (tasks + 1) / 2 : tasks;
    }

    /** Whether its tasks may go to machines of this type. */
    public boolean allowsType(String type) {
        return types == null || types.contains(type);
    }

    /** Whether its tasks may go to this zone. */
    public boolean allowsZone(String candidate) {
        return zone == null || zone.equals(candidate);
    }
}
