package org.weldcourse.simulation;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.weldcourse.cluster.Job;
import org.weldcourse.jobs.AdmissionRecordCodec;
import org.weldcourse.jobs.InvalidJobException;
import org.weldcourse.jobs.JobRecordCodec;
import org.weldcourse.jobs.JobSpec;
import org.weldcourse.jobs.StoreKeys;
import org.weldcourse.jobs.UnreadableRecordException;
import org.weldcourse.persistence.JobRecordRestorer;
import org.weldcourse.quota.QuotaInvariant;
import org.weldcourse.quota.ResourceAmount;
import org.weldcourse.settings.Settings;
import org.weldcourse.store.Store;

/**
 * Checks at every revision of the store that no commit takes the admissions on record above a team's limit. A task
 * counts unless a record shows it as finished or its job is cancelled or has ended, whatever the machines report: a
 * leader may start every task that counts. Sums above a limit that a test injects, or that a lowered limit leaves, may
 * only shrink.
 */
final class RecordedQuotaInvariant {
    private final FakeStore store;
    private final JobRecordRestorer restorer;
    private final Map<String, ResourceAmount> limitByTeam = new HashMap<>();
    private final Map<String, JobUsage> usageByJob = new HashMap<>();

    private record JobUsage(String team, ResourceAmount admitted) {}

    RecordedQuotaInvariant(FakeStore store, List<Settings.Team> teams, Settings.StoreLimits limits) {
        this.store = store;
        this.restorer = new JobRecordRestorer(limits);
        teams.forEach(team -> limitByTeam.put(team.name(), ResourceAmount.limit(team.cpusMax(), team.gpusMax())));
    }

    /** Starts to check every commit. */
    void enforce() {
        store.onInjection(key -> recount(StoreKeys.jobId(key)));
        store.onCommit(this::check);
    }

    private void check(List<FakeStore.CommittedWrite> changes) {
        Map<String, ResourceAmount> before = admittedByTeam();
        Set<String> changedJobs = new HashSet<>();
        changes.forEach(change -> changedJobs.add(StoreKeys.jobId(change.key())));
        changedJobs.forEach(this::recount);
        admittedByTeam().forEach((team, after) -> {
            ResourceAmount limit = limitByTeam.getOrDefault(team, ResourceAmount.NO_LIMIT);
            boolean grew = !after.fitsInto(before.getOrDefault(team, ResourceAmount.ZERO));
            if (grew && QuotaInvariant.isExceeded(limit, after)) {
                throw new AssertionError("quota on record: " + team + " has " + after + " admitted, limit " + limit
                        + ", after the write of " + changes);
            }
        });
    }

    private Map<String, ResourceAmount> admittedByTeam() {
        Map<String, ResourceAmount> sums = new HashMap<>();
        usageByJob.values().forEach(usage -> sums.merge(usage.team(), usage.admitted(), ResourceAmount::plus));
        return sums;
    }

    private void recount(String id) {
        usageByJob.remove(id);
        Map<String, Object> record = store.value(StoreKeys.openJob(id));
        if (record == null || JobRecordCodec.isCancelled(record)) {
            return;
        }
        try {
            JobSpec spec = JobRecordCodec.decodeSpec(record);
            usageByJob.put(id, new JobUsage(spec.team(), spec.quotaPerTask().times(recordedTasks(spec))));
        } catch (InvalidJobException | UnreadableRecordException unreadable) {
            // Nothing of such a job is started.
        }
    }

    private int recordedTasks(JobSpec spec) {
        Job job = new Job(spec, 0, 0);
        Set<Integer> admitted = new HashSet<>();
        for (String key : store.keys(StoreKeys.admissions(spec.id()))) {
            restorer.restore(job, new Store.Entry(key, store.value(key), 0, 0));
            AdmissionRecordCodec.visit(store.value(key), (machine, attempt, first, last) -> {
                for (int task = first; task <= last; task++) {
                    admitted.add(task);
                }
            });
        }
        for (String key : store.keys(StoreKeys.FINISHED_TASKS + spec.id() + "/")) {
            restorer.restore(job, new Store.Entry(key, store.value(key), 0, 0));
        }
        admitted.removeIf(job::isDone);
        return admitted.size();
    }
}
