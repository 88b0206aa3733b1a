package org.weldcourse.placement;

import java.util.Set;
import org.weldcourse.cluster.ZoneCounts;
import org.weldcourse.jobs.JobSpec;

/**
 * What decides on which machines the tasks of a job may run, apart from free room. Admission, scale-out, scale-in and
 * warm pools all ask it, so that a machine that admission refuses never counts as capacity.
 *
 * @param excludedMachines names of machines that tasks of the job failed on a short while ago
 * @param otherTasks the zones of the job's tasks on machines, if it has a zone constraint; else empty
 * @param teamHasGuarantee whether the job's team has guaranteed quota
 */
public record PlacementConstraints(
        JobSpec job, Set<String> excludedMachines, ZoneCounts otherTasks, boolean teamHasGuarantee) {

    /** Creates the constraints of a job without tasks on machines and without failures. */
    public static PlacementConstraints ofNewJob(JobSpec job) {
        return new PlacementConstraints(job, Set.of(), ZoneCounts.NONE, true);
    }

    /** Returns the same constraints with the job's tasks in other zones. */
    public PlacementConstraints withOtherTasks(ZoneCounts zones) {
        return new PlacementConstraints(job, excludedMachines, zones, teamHasGuarantee);
    }

    /** Returns whether tasks of the job may run on the target. */
    public boolean allows(PlacementTarget target) {
        return check(target) == Feasibility.FEASIBLE;
    }

    /** Returns whether tasks of the job may run on the target, or the first reason why not. */
    public Feasibility check(PlacementTarget target) {
        Feasibility condition = target.condition();
        return condition == Feasibility.FEASIBLE ? checkUse(target) : condition;
    }

    /** Checks everything but the condition of the machine, for one that is still booting. */
    public Feasibility checkUse(PlacementTarget target) {
        Feasibility kind = checkKind(target);
        if (kind != Feasibility.FEASIBLE) {
            return kind;
        }
        if (target.name() != null && excludedMachines.contains(target.name())) {
            return Feasibility.EXCLUDED;
        }
        return isReservedAgainstJob(target.reservedFor()) ? Feasibility.RESERVED : Feasibility.FEASIBLE;
    }

    /** Checks the target's type, zone and kind of rental only, which do not change while a machine is up. */
    public Feasibility checkKind(PlacementTarget target) {
        if (!target.type().fits(job)) {
            return Feasibility.MACHINE_TYPE;
        }
        if (!allowsZone(target.zone())) {
            return Feasibility.ZONE;
        }
        return target.spot() && !job.allowsSpot() ? Feasibility.SPOT : Feasibility.FEASIBLE;
    }

    private boolean allowsZone(String zone) {
        if (!job.allowsZone(zone) || job.singleZone() && !otherTasks.areAllIn(zone)) {
            return false;
        }
        return !job.spreadAcrossZones() || otherTasks.atMostIn(zone) < job.maxTasksPerZone();
    }

    /** Jobs that the gang can preempt later may use a machine that is reserved for it in the meantime. */
    private boolean isReservedAgainstJob(JobSpec gang) {
        if (gang == null || gang.id().equals(job.id())) {
            return false;
        }
        boolean gangCanPreempt =
                job.priority().compareTo(gang.priority()) > 0 && (job.team().equals(gang.team()) || !teamHasGuarantee);
        return !gangCanPreempt;
    }
}
