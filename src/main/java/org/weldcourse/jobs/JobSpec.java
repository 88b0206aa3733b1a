package org.weldcourse.jobs;

import java.util.List;

/** A job as its user described it. Lists are null where the user leaves the choice open. */
public record JobSpec(
        String id,
        String jobClass,
        String team,
        boolean gang,
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
    public enum Rank { PRODUCTION, HIGH, NORMAL, LOW }

    /** How many tasks one zone may hold. */
    public int mostPerZone() {
        return spread ? (tasks + 1) / 2 : tasks;
    }

    public boolean allowsType(String type) {
        return types == null || types.contains(type);
    }

    public boolean allowsZone(String candidate) {
        return zone == null || zone.equals(candidate);
    }
}
