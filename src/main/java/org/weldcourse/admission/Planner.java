package org.weldcourse.admission;

import java.util.ArrayList;
import java.util.List;
import org.weldcourse.cluster.Snapshot;
import org.weldcourse.cluster.Snapshot.JobView;
import org.weldcourse.cluster.Snapshot.TaskView;

/**
 * One admission cycle, as a pure function of a snapshot. Jobs are admitted in the order of {@link AdmissionQueues};
 * each booking changes the capacity and quota left for later jobs. Gangs are placed as a whole or not at all, arrays as
 * far as quota and capacity allow.
 */
public final class Planner {
    private final CycleLimits cycleLimits;
    private final long nowMicros;
    private final CycleBookings bookings;
    private final GangAdmission gangs;
    private final ArrayAdmission arrays;
    private final List<CycleDecisions.PendingTasks> pendingTasks = new ArrayList<>();

    private Planner(Snapshot snapshot, CycleLimits cycleLimits) {
        this.cycleLimits = cycleLimits;
        this.nowMicros = snapshot.nowMicros();
        this.bookings = new CycleBookings(snapshot, cycleLimits);
        MachinePreemption preemption = new MachinePreemption(bookings.usages(), nowMicros);
        this.gangs = new GangAdmission(bookings, preemption, nowMicros);
        this.arrays = new ArrayAdmission(bookings, preemption);
    }

    /**
     * Limits of one cycle: the number and size of admission records, and how far ahead arrays are booked.
     *
     * @param maxTasksPerAdmission the maximum number of tasks in one admission record
     * @param maxAdmissions the maximum number of admissions in one cycle; after the last one, no further task is
     *     preempted
     * @param lookaheadMicros arrays are also booked on capacity that is expected to be free within this time
     */
    public record CycleLimits(int maxTasksPerAdmission, int maxAdmissions, long lookaheadMicros) {}

    /**
     * Decides one admission cycle. Booked tasks are removed from the jobs' pending tasks; the snapshot is otherwise
     * unchanged.
     */
    public static CycleDecisions decide(Snapshot snapshot, CycleLimits cycleLimits) {
        Planner planner = new Planner(snapshot, cycleLimits);
        planner.run(snapshot.jobs());
        return planner.bookings.decisions(planner.pendingTasks);
    }

    private void run(List<JobView> jobs) {
        for (JobView job : jobs) {
            TeamUsage usage = bookings.usages().get(job.spec().team());
            if (usage != null) {
                usage.claimGuarantee(job.spec(), job.pending().cardinality());
            }
        }
        AdmissionQueues queues = new AdmissionQueues(jobs, bookings.usages(), nowMicros);
        while (!queues.isEmpty()) {
            admit(queues.removeHead());
        }
    }

    private void admit(JobView job) {
        TeamUsage usage = bookings.usages().get(job.spec().team());
        int wanted = job.pending().cardinality();
        if (usage == null) {
            pendingTasks.add(new CycleDecisions.PendingTasks(bookings.constraints(job), wanted, true));
            return;
        }
        // Reserved quota already counts as used, so it is released while its own job is being placed. So is the quota
        // of tasks that the job's own admission takes off the record: it is free for other jobs only after that write.
        usage.charge(job.spec(), -job.quotaReservedTasks());
        usage.chargeReleased(job.spec(), -job.releasedTasks());
        int placed = place(job, usage, wanted);
        usage.chargeReleased(job.spec(), Math.max(0, job.releasedTasks() - placed));
        usage.charge(job.spec(), Math.max(0, job.quotaReservedTasks() - placed));
    }

    /** Admits as much of the job as quota and capacity allow, and returns how many of its tasks now count as used. */
    private int place(JobView job, TeamUsage usage, int wanted) {
        // Tasks with reserved quota always fit, even if an earlier job reserves quota while it waits for the limit.
        // Otherwise the two jobs would wait for each other.
        int withinLimits = Math.max(job.quotaReservedTasks(), usage.tasksWithinLimits(job.spec()));
        return job.spec().isGang()
                ? placeGang(job, usage, wanted, withinLimits)
                : placeArray(job, usage, wanted, withinLimits);
    }

    private int placeGang(JobView job, TeamUsage usage, int wanted, int withinLimits) {
        if (withinLimits < wanted) {
            preemptForQuota(job, usage, wanted);
            usage.reserve(job.spec(), wanted);
            pendingTasks.add(new CycleDecisions.PendingTasks(bookings.constraints(job), wanted, true));
            return wanted;
        }
        if (gangs.place(job, usage, wanted)) {
            return wanted;
        }
        pendingTasks.add(new CycleDecisions.PendingTasks(
                bookings.constraints(job), wanted, false, gangs.reserve(job, usage, wanted)));
        return 0;
    }

    private int placeArray(JobView job, TeamUsage usage, int wanted, int withinLimits) {
        int withinGuarantee = Math.min(wanted, usage.tasksWithinGuarantee(job.spec()));
        if (job.spec().isService() && withinLimits < wanted) {
            // Otherwise lower priorities of the same team could keep a lost replica from restarting indefinitely.
            preemptForQuota(job, usage, wanted);
        } else if (usage.tasksWithinCohortLimit(job.spec()) < withinGuarantee) {
            // Other teams of the cohort have borrowed the guarantee that this team claims now.
            preemptForQuota(job, usage, withinGuarantee);
        }
        int allowed = Math.min(wanted, withinLimits);
        int placed = arrays.place(job, usage, Math.min(allowed, cycleLimits.maxTasksPerAdmission));
        if (placed < allowed) {
            pendingTasks.add(new CycleDecisions.PendingTasks(bookings.constraints(job), allowed - placed, false));
        } else if (placed < wanted) {
            pendingTasks.add(new CycleDecisions.PendingTasks(bookings.constraints(job), wanted - placed, true));
            // Later jobs must not take the quota that is only waiting to be taken off the record.
            int onceReleased = Math.min(wanted - placed, usage.tasksWithinLimitsOnceReleased(job.spec()));
            usage.charge(job.spec(), onceReleased);
        }
        return placed;
    }

    /**
     * Preempts tasks so that {@code tasks} tasks of the job fit under the quota limits, or none if that is impossible.
     * Only lower-priority tasks of the same team are preempted for the team's limit; for the cohort's limit also tasks
     * of teams that borrow.
     */
    private void preemptForQuota(JobView job, TeamUsage usage, int tasks) {
        QuotaPreemption quota = new QuotaPreemption(job, usage, tasks, bookings.usages(), nowMicros);
        for (FreeCapacity capacity : bookings.capacities()) {
            for (TaskView task : capacity.machine.allocation().tasks()) {
                quota.addCandidate(capacity, task);
            }
        }
        quota.choose().forEach(victim -> bookings.preempt(job, victim.capacity(), victim.task()));
    }
}
