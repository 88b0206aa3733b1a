package org.weldcourse.quota;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Predicate;
import org.weldcourse.http.Json;
import org.weldcourse.jobs.AdmissionRecordCodec;
import org.weldcourse.jobs.StoreKeys;
import org.weldcourse.quota.ledger.CohortQuota;
import org.weldcourse.quota.ledger.QuotaRecordCodec;
import org.weldcourse.quota.ledger.Reservation;
import org.weldcourse.quota.ledger.TeamQuota;
import org.weldcourse.quota.ledger.UnreadableQuotaRecordException;
import org.weldcourse.simulation.ClusterInvariants;
import org.weldcourse.simulation.FakeStore;
import org.weldcourse.simulation.FakeStore.CommittedWrite;
import org.weldcourse.store.Store;

/**
 * Checks the history of store writes and of tasks on workers against the teams' limits, independently of the
 * controllers. After each write that adds a reservation or a budget, all counted usage must fit the limit in force.
 * When a task starts, the running tasks of its team must fit a limit that was in force at some time since the task was
 * admitted.
 */
public final class QuotaHistoryChecker {
    private final ClusterInvariants invariants;
    private final Map<String, LimitHistory> limitsByTeam = new HashMap<>();
    private final Map<String, TreeMap<Long, ResourceAmount>> cohortLimits = new HashMap<>();
    private final Map<String, Long> cohortVersions = new HashMap<>();
    private final Map<String, OpenJob> openJobs = new HashMap<>();
    /** The job of each recorded task, including jobs that have ended. */
    private final Map<String, OpenJob> allJobs = new HashMap<>();
    /** The revision at which each attempt of a task was recorded. */
    private final Map<String, Long> admissionRevisions = new HashMap<>();

    private final Set<String> admittedJobs = new HashSet<>();
    private int reservations;
    private int budgets;
    private int starts;
    private int admissions;

    /** The history of a team's limit by revision, and its latest record. */
    private static final class LimitHistory {
        final TreeMap<Long, ResourceAmount> byRevision = new TreeMap<>();
        final Map<String, ResourceAmount> spent = new HashMap<>();
        TeamQuota record;

        ResourceAmount current() {
            return record.limit();
        }
    }

    private record OpenJob(
            String id, String team, ResourceAmount perTask, int tasks, boolean cancelled, Reservation reservation) {}

    public QuotaHistoryChecker(FakeStore state, ClusterInvariants invariants) {
        this.invariants = invariants;
        state.onCommit(this::onCommit);
        invariants.setStartListener(this::onStart);
    }

    public int reservations() {
        return reservations;
    }

    public int budgets() {
        return budgets;
    }

    public int starts() {
        return starts;
    }

    public int admissions() {
        return admissions;
    }

    private void onCommit(List<CommittedWrite> changes) {
        for (CommittedWrite change : changes) {
            if (change.key().startsWith(QuotaRecordCodec.PREFIX)) {
                onQuotaWritten(change);
            } else if (change.key().startsWith(StoreKeys.OPEN_JOBS)) {
                onJobWritten(change);
            } else if (change.key().startsWith(StoreKeys.ADMISSIONS) && change.value() != null) {
                onAdmissionWritten(change);
            }
        }
    }

    private void onQuotaWritten(CommittedWrite change) {
        Store.Entry entry = new Store.Entry(change.key(), change.value(), change.version(), 0);
        try {
            if (QuotaRecordCodec.isCohort(change.key())) {
                CohortQuota cohort = QuotaRecordCodec.decodeCohort(entry);
                cohortLimits
                        .computeIfAbsent(cohort.name(), name -> new TreeMap<>())
                        .put(change.version(), cohort.limit());
                cohortVersions.put(cohort.name(), change.version());
            } else {
                onTeamWritten(change, QuotaRecordCodec.decodeTeam(entry));
            }
        } catch (UnreadableQuotaRecordException unreadable) {
            throw new AssertionError("unreadable record: " + change, unreadable);
        }
    }

    private void onTeamWritten(CommittedWrite change, TeamQuota record) {
        LimitHistory limit = limitsByTeam.computeIfAbsent(record.name(), team -> new LimitHistory());
        limit.record = record;
        limit.spent.clear();
        limit.byRevision.put(change.version(), record.limit());
        if (!record.budgets().isEmpty()) {
            budgets++;
            check(record.name(), "a budget was granted");
        }
    }

    private void onJobWritten(CommittedWrite change) {
        String id = StoreKeys.jobId(change.key());
        if (change.value() == null) {
            openJobs.remove(id);
            return;
        }
        Map<String, Object> value = change.value();
        boolean isNew = !allJobs.containsKey(id);
        OpenJob job = new OpenJob(
                id,
                Json.text(value, "crew"),
                ResourceAmount.of(Json.decimal(value, "cpus", 0), Json.decimal(value, "gpus", 0)),
                (int) Json.integer(value, "beads", 0),
                Json.flag(value, "cancelled"),
                Reservation.fromJobRecord(value));
        openJobs.put(id, job);
        allJobs.put(id, job);
        if (isNew && job.reservation != null && !job.reservation.isNone()) {
            reservations++;
            LimitHistory limit = limitsByTeam.get(job.team);
            ResourceAmount amount = job.perTask.times(job.reservation.tasks());
            ResourceAmount spent = limit.spent.merge(job.reservation.owner(), amount, ResourceAmount::plus);
            if (job.reservation.quotaVersion() != limit.record.version()
                    || limit.record.cohort() != null
                            && limit.record.budgetsCohortVersion() != cohortVersions.get(limit.record.cohort())
                    || !spent.fitsInto(limit.record.budget(job.reservation.owner()))) {
                throw new AssertionError("reserved beyond the budget: " + id + " " + job.reservation + ", spent "
                        + spent + " of " + limit.record);
            }
            check(job.team, id + " was reserved");
        }
    }

    private void onAdmissionWritten(CommittedWrite change) {
        String id = StoreKeys.jobId(change.key());
        admittedJobs.add(id);
        AdmissionRecordCodec.visit(change.value(), (machine, attempt, first, last) -> {
            for (int task = first; task <= last; task++) {
                if (admissionRevisions.putIfAbsent(name(id, task, attempt), change.version()) == null) {
                    admissions++;
                }
            }
        });
    }

    private static String name(String id, int task, int attempt) {
        return id + "/" + task + " attempt " + attempt;
    }

    private void check(String team, String what) {
        LimitHistory limit = limitsByTeam.get(team);
        requireWithin(limit.current(), countedUsage(team), team, what);
        String cohort = limit.record.cohort();
        if (cohort != null) {
            ResourceAmount sum = ResourceAmount.ZERO;
            for (LimitHistory member : limitsByTeam.values()) {
                if (cohort.equals(member.record.cohort())) {
                    sum = sum.plus(countedUsage(member.record.name()));
                }
            }
            requireWithin(cohortLimits.get(cohort).lastEntry().getValue(), sum, "cohort " + cohort, what);
        }
    }

    private void requireWithin(ResourceAmount limit, ResourceAmount countedUsage, String who, String what) {
        if (!QuotaInvariant.mayAdd(limit, countedUsage, ResourceAmount.ZERO)) {
            throw new AssertionError("overshoot: " + who + " has " + countedUsage + " of " + limit + " when " + what
                    + ": "
                    + limitsByTeam.keySet().stream().map(this::describeUsage).toList());
        }
    }

    /** Describes the counted usage for a failure message. */
    private String describeUsage(String team) {
        StringBuilder text = new StringBuilder(team).append(": ");
        for (OpenJob job : openJobs.values()) {
            if (job.team.equals(team) && reserved(job) + running(job) > 0) {
                text.append(job).append(" reserved ").append(reserved(job));
                text.append(" running ").append(running(job)).append("; ");
            }
        }
        return text.append(limitsByTeam.get(team).record)
                .append(" spent ")
                .append(limitsByTeam.get(team).spent)
                .toString();
    }

    /** Returns what the team's jobs use or reserve, plus what may still be reserved from its budgets. */
    private ResourceAmount countedUsage(String team) {
        LimitHistory limit = limitsByTeam.get(team);
        ResourceAmount countedUsage = ResourceAmount.ZERO;
        for (OpenJob job : openJobs.values()) {
            if (job.team.equals(team)) {
                countedUsage = countedUsage.plus(job.perTask.times(Math.max(reserved(job), running(job))));
            }
        }
        boolean areBudgetsValid = limit.record.cohort() == null
                || limit.record.budgetsCohortVersion() == cohortVersions.get(limit.record.cohort());
        if (areBudgetsValid) {
            for (Map.Entry<String, ResourceAmount> budget :
                    limit.record.budgets().entrySet()) {
                countedUsage = countedUsage.plus(
                        budget.getValue().minus(limit.spent.getOrDefault(budget.getKey(), ResourceAmount.ZERO)));
            }
        }
        return countedUsage;
    }

    /**
     * Returns how many tasks a reservation still covers: at most the unfinished tasks, and none after the first
     * admission.
     */
    private int reserved(OpenJob job) {
        if (job.cancelled || job.reservation == null || admittedJobs.contains(job.id)) {
            return 0;
        }
        int left = 0;
        for (int task = 0; task < job.tasks && left < job.reservation.tasks(); task++) {
            left += invariants.isTaskDone(job.id, task) ? 0 : 1;
        }
        return left;
    }

    private int running(OpenJob job) {
        int running = 0;
        for (int task = 0; task < job.tasks; task++) {
            running += invariants.workerOf(job.id + "/" + task) == null ? 0 : 1;
        }
        return running;
    }

    /** Returns the usage of running tasks of the matching jobs, including jobs without an open record. */
    private ResourceAmount running(Predicate<OpenJob> which) {
        ResourceAmount sum = ResourceAmount.ZERO;
        for (OpenJob job : allJobs.values()) {
            if (which.test(job)) {
                sum = sum.plus(job.perTask.times(running(job)));
            }
        }
        return sum;
    }

    private void onStart(String task, int attempt) {
        starts++;
        OpenJob started = allJobs.get(task.substring(0, task.indexOf('/')));
        Long admitted = admissionRevisions.get(task + " attempt " + attempt);
        if (admitted == null) {
            throw new AssertionError("started without a recorded admission: " + task);
        }
        checkCohort(started.team, admitted, task);
        ResourceAmount running = running(job -> job.team.equals(started.team));
        if (!coveredByLimitSince(started.team, admitted, running)) {
            throw new AssertionError("overshoot: " + started.team + " runs " + running + " with " + task
                    + " admitted at " + admitted + " under " + limitsByTeam.get(started.team).byRevision + ": "
                    + describeUsage(started.team));
        }
    }

    /**
     * For a task that was admitted after the cohort was created, checks that the running tasks of all its teams fit a
     * cohort limit that was in force since the admission.
     */
    private void checkCohort(String team, long admitted, String task) {
        String cohort =
                limitsByTeam.containsKey(team) ? limitsByTeam.get(team).record.cohort() : null;
        if (cohort == null || cohortLimits.get(cohort).firstKey() > admitted) {
            return;
        }
        ResourceAmount running =
                running(job -> cohort.equals(limitsByTeam.get(job.team).record.cohort()));
        TreeMap<Long, ResourceAmount> history = cohortLimits.get(cohort);
        if (history.tailMap(history.floorKey(admitted)).values().stream().noneMatch(running::fitsInto)) {
            throw new AssertionError("overshoot: cohort " + cohort + " runs " + running + " with " + task
                    + " admitted at " + admitted + " under " + history + ": "
                    + limitsByTeam.keySet().stream().map(this::describeUsage).toList());
        }
    }

    /** Returns whether a limit that was in force at this revision or later covers the running tasks. */
    private boolean coveredByLimitSince(String team, long revision, ResourceAmount running) {
        LimitHistory limit = limitsByTeam.get(team);
        if (limit == null) {
            return true;
        }
        Long first = limit.byRevision.floorKey(revision);
        return first == null
                || limit.byRevision.tailMap(first).values().stream().anyMatch(running::fitsInto);
    }
}
