package org.weldcourse.app;

import org.weldcourse.cluster.OperationCounter;
import org.weldcourse.leader.LeaderTermMetrics;
import org.weldcourse.placement.WaitReason;
import org.weldcourse.quota.ResourceAmount;
import org.weldcourse.workers.StartCounts;

/** The metrics that a controller serves at {@code /metrics}. */
final class ControllerMetrics implements LeaderTermMetrics {
    private final MetricsText text = new MetricsText();

    /** Adds the metrics that exist whether or not this controller is the leader. */
    void reportProcess(boolean isLeader, StartCounts counts, OperationCounter bookingOperations) {
        text.add("leads", "Whether this controller is the leader, as far as it knows.", isLeader ? 1 : 0);
        text.add("starts_total", "Tasks that workers were told to run.", counts.started());
        text.add(
                "starts_withheld_total",
                "Starts withheld because tasks without a booking, running or on record, count against the limit.",
                counts.withheld());
        text.add(
                "admissions_withheld_total",
                "Admissions that would have taken the records above a limit, and were not written.",
                counts.admissionsWithheld());
        text.add(
                "responses_held_total",
                "Heartbeat responses with starts that were held back until the open jobs were read.",
                counts.responsesHeld());
        text.add(
                "responses_without_read_total",
                "Held responses that started nothing because the open jobs could not be read in time.",
                counts.responsesWithoutRead());
        text.add(
                "limit_violations_total",
                "Starts refused because a team's bookings exceeded its limit, which indicates a bug.",
                counts.violations());
        text.add(
                "booking_operations_total",
                "Operations on single bookings; it grows by a bounded number in each event.",
                bookingOperations.count());
    }

    @Override
    public void reportTerm(
            long fencingToken, boolean loaded, long recordsRevision, int outstandingJobs, int unknownTasks) {
        text.add("token", "The fencing token of this leader.", fencingToken);
        text.add("records_loaded", "Whether this leader has loaded the records.", loaded ? 1 : 0);
        text.add("records_revision", "The store revision at which the records were loaded.", recordsRevision);
        text.add("outstanding_jobs", "Ended jobs of which tasks may still run on machines.", outstandingJobs);
        text.add("unknown_tasks", "Tasks on machines that belong to no known job.", unknownTasks);
    }

    @Override
    public void reportTeam(
            String team,
            ResourceAmount booked,
            ResourceAmount unbooked,
            ResourceAmount released,
            ResourceAmount limit) {
        text.addForTeam("team_booked_cpus", "CPUs of the team's bookings.", team, booked.cpus());
        text.addForTeam("team_booked_gpus", "GPUs of the team's bookings.", team, booked.gpus());
        text.addForTeam(
                "team_unbooked_cpus", "CPUs of the team's tasks that run without a booking.", team, unbooked.cpus());
        text.addForTeam(
                "team_unbooked_gpus", "GPUs of the team's tasks that run without a booking.", team, unbooked.gpus());
        text.addForTeam(
                "team_released_cpus",
                "CPUs of the team's tasks that are off their machines and still on record.",
                team,
                released.cpus());
        text.addForTeam(
                "team_released_gpus",
                "GPUs of the team's tasks that are off their machines and still on record.",
                team,
                released.gpus());
        text.addForTeam(
                "team_limit_cpus",
                "The team's limit in CPUs; +Inf means no limit.",
                team,
                orInfinity(limit.cpuLimit()));
        text.addForTeam(
                "team_limit_gpus",
                "The team's limit in GPUs; +Inf means no limit.",
                team,
                orInfinity(limit.gpuLimit()));
    }

    @Override
    public void reportWaiting(WaitReason reason, int tasks, double longestSeconds) {
        text.addForReason("waiting_tasks", "Pending tasks by what they wait for.", reason.text(), tasks);
        text.addForReason(
                "longest_wait_seconds",
                "The longest time that a job has waited for capacity without any task being booked.",
                reason.text(),
                longestSeconds);
    }

    private static double orInfinity(double limit) {
        return limit > 0 ? limit : Double.POSITIVE_INFINITY;
    }

    @Override
    public String toString() {
        return text.toString();
    }
}
