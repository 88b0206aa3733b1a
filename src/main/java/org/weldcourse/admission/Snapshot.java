package org.weldcourse.admission;

import java.util.BitSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.weldcourse.fleet.MachineType;
import org.weldcourse.jobs.JobSpec;
import org.weldcourse.settings.Settings;

/** What one admission cycle decides on. The planner books in copies of it and changes nothing here. */
public record Snapshot(List<MachineView> machines, List<JobView> jobs, List<TeamView> teams) {

    /**
     * {@code sought}: jobs whose class has an aim for its start need such a machine, so that what they would
     * displace had better go elsewhere. {@code free*} may be negative while a preemptor waits for its victims to leave.
     */
    public record MachineView(String name, MachineType type, String zone, boolean spot, boolean sought, double freeCpus,
            double freeGpus, double freeMemoryGb, Set<String> images, List<TaskView> tasks) {
    }

    /** A booked task. {@code ranMicros} is the work that stopping it would lose. */
    public record TaskView(JobSpec job, int task, boolean stopping, long ranMicros) {
    }

    /** A job with tasks to place; {@code zoneCounts} says where its other tasks are booked. */
    public record JobView(JobSpec spec, BitSet pending, long latestStartMicros, Map<String, Integer> zoneCounts,
            Set<String> badMachines) {
    }

    public record TeamView(Settings.Team team, double usedCpus, double usedGpus) {
    }
}
