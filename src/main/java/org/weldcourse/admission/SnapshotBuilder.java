package org.weldcourse.admission;

import java.util.ArrayList;
import java.util.List;
import org.weldcourse.cluster.ClusterState;
import org.weldcourse.cluster.Job;
import org.weldcourse.cluster.Machine;
import org.weldcourse.cluster.Snapshot;
import org.weldcourse.cluster.Snapshot.JobView;
import org.weldcourse.cluster.Snapshot.MachineView;
import org.weldcourse.cluster.Snapshot.TeamView;
import org.weldcourse.cluster.ZoneCounts;
import org.weldcourse.fleet.HeartbeatTimeouts;
import org.weldcourse.jobs.JobSpec;
import org.weldcourse.quota.enforcement.QuotaEnforcement;
import org.weldcourse.settings.Settings;

/** Builds the snapshot of the cluster that is the input of one admission cycle. */
public final class SnapshotBuilder {
    private final ClusterState cluster;
    private final QuotaEnforcement quotas;
    private final long heartbeatTimeoutMicros;
    private final JobDeadlines deadlines;

    /** Tells which machines are needed by job classes with a start objective. */
    public interface StartSloPriority {
        /** The highest priority among the job classes that need this machine, or null if none does. */
        JobSpec.Priority of(Machine machine);
    }

    /** Creates a builder that reads the current cluster state and team limits for each snapshot. */
    public SnapshotBuilder(ClusterState cluster, Settings settings, QuotaEnforcement quotas) {
        this.quotas = quotas;
        this.cluster = cluster;
        this.heartbeatTimeoutMicros = new HeartbeatTimeouts(settings.workers()).notReadyMicros();
        this.deadlines = new JobDeadlines(settings.objectives(), cluster.runTimes);
    }

    /** Builds a snapshot of the schedulable machines, the jobs with pending tasks and the usage of the teams. */
    public Snapshot snapshot(long nowMicros, StartSloPriority startSloPriority) {
        List<MachineView> machines = new ArrayList<>(cluster.machines.size());
        for (Machine machine : cluster.machines.values()) {
            if (machine.isSchedulable() && nowMicros - machine.lastHeartbeatMicros < heartbeatTimeoutMicros) {
                machines.add(new MachineView(
                        machine.name,
                        machine.type,
                        machine.zone,
                        machine.spot,
                        startSloPriority.of(machine),
                        machine.allocation(cluster.runTimes)));
            }
        }
        List<TeamView> teams = quotas.teamViews(nowMicros);
        List<JobView> jobs = new ArrayList<>();
        for (Job job : cluster.jobs.values()) {
            if (job.canBeBooked(nowMicros)) {
                ZoneCounts zones = job.spec().hasZoneConstraint() ? job.zoneCounts() : ZoneCounts.NONE;
                boolean started = !job.bookings().isEmpty() || job.hasDoneTasks();
                jobs.add(new JobView(
                        job.spec(),
                        job.pendingTasks(),
                        job.acceptedMicros(),
                        started,
                        deadlines.admissionDeadlinesMicros(job, started),
                        deadlines.latestStartMicros(job),
                        cluster.runTimes.expectedMicros(job),
                        zones,
                        job.runHistory().exclusions().machinesAt(nowMicros),
                        quotas.reservedTasks(job),
                        tasksReleasedByAdmission(job)));
            }
        }
        return new Snapshot(nowMicros, machines, jobs, teams);
    }

    /** An admission rewrites one record that contains released tasks for certain; more may not fit its transaction. */
    private int tasksReleasedByAdmission(Job job) {
        boolean isRewritten = quotas.isLimited(job.spec().team())
                && job.keysOfReleasedTasks(false).size() == 1;
        return isRewritten ? job.releasedTaskCount() : 0;
    }

    /** How long after its last heartbeat a machine may still get new tasks, in microseconds. */
    public long heartbeatTimeoutMicros() {
        return heartbeatTimeoutMicros;
    }
}
