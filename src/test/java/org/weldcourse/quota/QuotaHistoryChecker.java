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
import org.weldcourse.simulation.FakeStore.Written;
import org.weldcourse.store.Store;

/**
 * Checks the history of writes and of tasks on workers against the teams' limits, from outside the controllers. Each write
 * that adds a reservation or a budget has to leave all that counts within the limit in force. Each task that starts has to
 * find its team within a limit that was in force since the task was admitted.
 */
public final class QuotaHistoryChecker {
    private final ClusterInvariants rules;
    private final Map<String, Limit> limits = new HashMap<>();
    private final Map<String, TreeMap<Long, ResourceAmount>> cohorts = new HashMap<>();
    private final Map<String, Long> cohortVersions = new HashMap<>();
    private final Map<String, OpenJob> openJobs = new HashMap<>();
    /** The job of each task on record, also of those whose job has ended since. */
    private final Map<String, OpenJob> everyJob = new HashMap<>();
    /** Revision at which each attempt of a task was put on record. */
    private final Map<String, Long> admittedAt = new HashMap<>();

    private final Set<String> admittedJobs = new HashSet<>();
    private int reservations;
    private int budgets;
    private int starts;
    private int admissions;

    /** A team's limit as it changed: by revision, and the last record. */
    private static final class Limit {
        final TreeMap<Long, ResourceAmount> byRevision = new TreeMap<>();
        final Map<String, ResourceAmount> spent = new HashMap<>();
        TeamQuota record;

        ResourceAmount inForce() {
            return record.limit();
        }
    }

    private record OpenJob(
            String id, String team, ResourceAmount perTask, int tasks, boolean cancelled, Reservation reservation) {}

    public QuotaHistoryChecker(FakeStore state, ClusterInvariants rules) {
        this.rules = rules;
        state.onCommit(this::committed);
        rules.onStart(this::started);
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

    private void committed(List<Written> changes) {
        for (Written change : changes) {
            if (change.key().startsWith(QuotaRecordCodec.PREFIX)) {
                limitWritten(change);
            } else if (change.key().startsWith(StoreKeys.OPEN_JOBS)) {
                jobWritten(change);
            } else if (change.key().startsWith(StoreKeys.ADMISSIONS) && change.value() != null) {
                admissionWritten(change);
            }
        }
    }

    private void limitWritten(Written change) {
        Store.Entry entry = new Store.Entry(change.key(), change.value(), change.version(), 0);
        try {
            if (QuotaRecordCodec.isCohort(change.key())) {
                CohortQuota cohort = QuotaRecordCodec.decodeCohort(entry);
                cohorts.computeIfAbsent(cohort.name(), name -> new TreeMap<>()).put(change.version(), cohort.limit());
                cohortVersions.put(cohort.name(), change.version());
            } else {
                teamWritten(change, QuotaRecordCodec.decodeTeam(entry));
            }
        } catch (UnreadableQuotaRecordException unreadable) {
            throw new AssertionError("a record that nobody can read: " + change, unreadable);
        }
    }

    private void teamWritten(Written change, TeamQuota record) {
        Limit limit = limits.computeIfAbsent(record.name(), team -> new Limit());
        limit.record = record;
        limit.spent.clear();
        limit.byRevision.put(change.version(), record.limit());
        if (!record.budgets().isEmpty()) {
            budgets++;
            check(record.name(), "a budget was granted");
        }
    }

    private void jobWritten(Written change) {
        String id = StoreKeys.jobId(change.key());
        if (change.value() == null) {
            openJobs.remove(id);
            return;
        }
        Map<String, Object> value = change.value();
        boolean isNew = !everyJob.containsKey(id);
        OpenJob job = new OpenJob(
                id,
                Json.text(value, "crew"),
                ResourceAmount.of(Json.decimal(value, "cpus", 0), Json.decimal(value, "gpus", 0)),
                (int) Json.integer(value, "beads", 0),
                Json.flag(value, "cancelled"),
                Reservation.fromJobRecord(value));
        openJobs.put(id, job);
        everyJob.put(id, job);
        if (isNew && job.reservation != null && !job.reservation.isNone()) {
            reservations++;
            Limit limit = limits.get(job.team);
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

    private void admissionWritten(Written change) {
        String id = StoreKeys.jobId(change.key());
        admittedJobs.add(id);
        AdmissionRecordCodec.visit(change.value(), (machine, attempt, first, last) -> {
            for (int task = first; task <= last; task++) {
                if (admittedAt.putIfAbsent(name(id, task, attempt), change.version()) == null) {
                    admissions++;
                }
            }
        });
    }

    private static String name(String id, int task, int attempt) {
        return id + "/" + task + " attempt " + attempt;
    }

    private void check(String team, String what) {
        Limit limit = limits.get(team);
        requireWithin(limit.inForce(), counted(team), team, what);
        String cohort = limit.record.cohort();
        if (cohort != null) {
            ResourceAmount sum = ResourceAmount.ZERO;
            for (Limit member : limits.values()) {
                if (cohort.equals(member.record.cohort())) {
                    sum = sum.plus(counted(member.record.name()));
                }
            }
            requireWithin(cohorts.get(cohort).lastEntry().getValue(), sum, "cohort " + cohort, what);
        }
    }

    private void requireWithin(ResourceAmount limit, ResourceAmount counted, String who, String what) {
        if (!QuotaInvariant.mayAdd(limit, counted, ResourceAmount.ZERO)) {
            throw new AssertionError("overshoot: " + who + " has " + counted + " of " + limit + " when " + what + ": "
                    + limits.keySet().stream().map(this::counting).toList());
        }
    }

    /** What counts, for the report of a failure. */
    private String counting(String team) {
        StringBuilder text = new StringBuilder(team).append(": ");
        for (OpenJob job : openJobs.values()) {
            if (job.team.equals(team) && reserved(job) + running(job) > 0) {
                text.append(job).append(" reserved ").append(reserved(job));
                text.append(" running ").append(running(job)).append("; ");
            }
        }
        return text.append(limits.get(team).record)
                .append(" spent ")
                .append(limits.get(team).spent)
                .toString();
    }

    /** What a team's jobs hold and its budgets may still reserve. */
    private ResourceAmount counted(String team) {
        Limit limit = limits.get(team);
        ResourceAmount counted = ResourceAmount.ZERO;
        for (OpenJob job : openJobs.values()) {
            if (job.team.equals(team)) {
                counted = counted.plus(job.perTask.times(Math.max(reserved(job), running(job))));
            }
        }
        boolean areBudgetsValid = limit.record.cohort() == null
                || limit.record.budgetsCohortVersion() == cohortVersions.get(limit.record.cohort());
        if (areBudgetsValid) {
            for (Map.Entry<String, ResourceAmount> budget :
                    limit.record.budgets().entrySet()) {
                counted = counted.plus(
                        budget.getValue().minus(limit.spent.getOrDefault(budget.getKey(), ResourceAmount.ZERO)));
            }
        }
        return counted;
    }

    /** What a reservation still holds: until the first admission, and no more than the tasks that are left to do. */
    private int reserved(OpenJob job) {
        if (job.cancelled || job.reservation == null || admittedJobs.contains(job.id)) {
            return 0;
        }
        int left = 0;
        for (int task = 0; task < job.tasks && left < job.reservation.tasks(); task++) {
            left += rules.isOver(job.id, task) ? 0 : 1;
        }
        return left;
    }

    private int running(OpenJob job) {
        int running = 0;
        for (int task = 0; task < job.tasks; task++) {
            running += rules.workerOf(job.id + "/" + task) == null ? 0 : 1;
        }
        return running;
    }

    /** What runs of the jobs that are asked for, also of those that are on record no more. */
    private ResourceAmount running(Predicate<OpenJob> which) {
        ResourceAmount sum = ResourceAmount.ZERO;
        for (OpenJob job : everyJob.values()) {
            if (which.test(job)) {
                sum = sum.plus(job.perTask.times(running(job)));
            }
        }
        return sum;
    }

    private void started(String task, int attempt) {
        starts++;
        OpenJob started = everyJob.get(task.substring(0, task.indexOf('/')));
        Long admitted = admittedAt.get(task + " attempt " + attempt);
        if (admitted == null) {
            throw new AssertionError("started without being on record: " + task);
        }
        checkCohort(started.team, admitted, task);
        ResourceAmount running = running(job -> job.team.equals(started.team));
        if (!mostSince(started.team, admitted, running)) {
            throw new AssertionError(
                    "overshoot: " + started.team + " runs " + running + " with " + task + " admitted at " + admitted
                            + " under " + limits.get(started.team).byRevision + ": " + counting(started.team));
        }
    }

    /** A task that was admitted after its team joined the cohort finds all teams of it within a limit since. */
    private void checkCohort(String team, long admitted, String task) {
        String cohort = limits.containsKey(team) ? limits.get(team).record.cohort() : null;
        if (cohort == null || cohorts.get(cohort).firstKey() > admitted) {
            return;
        }
        ResourceAmount running =
                running(job -> cohort.equals(limits.get(job.team).record.cohort()));
        TreeMap<Long, ResourceAmount> history = cohorts.get(cohort);
        if (history.tailMap(history.floorKey(admitted)).values().stream().noneMatch(running::fitsInto)) {
            throw new AssertionError("overshoot: cohort " + cohort + " runs " + running + " with " + task
                    + " admitted at " + admitted + " under " + history + ": "
                    + limits.keySet().stream().map(this::counting).toList());
        }
    }

    /** Whether a limit that was in force at this revision or later covers so much. */
    private boolean mostSince(String team, long revision, ResourceAmount running) {
        Limit limit = limits.get(team);
        if (limit == null) {
            return true;
        }
        Long first = limit.byRevision.floorKey(revision);
        return first == null
                || limit.byRevision.tailMap(first).values().stream().anyMatch(running::fitsInto);
    }
}
