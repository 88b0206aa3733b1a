package org.weldcourse.quota;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.weldcourse.http.Json;
import org.weldcourse.jobs.Keys;
import org.weldcourse.jobs.SliceCodec;
import org.weldcourse.simulation.FakeState.Written;
import org.weldcourse.simulation.SimulatedCluster;

/**
 * Checks the history of writes and of tasks on workers against the teams' limits, from outside the controllers. Each write
 * that adds a reservation or a budget has to leave all that counts within the limit in force. Each task that starts has to
 * find its team within a limit that was in force since the task was admitted.
 */
final class QuotaHistory {
    private final SimulatedCluster world;
    private final Map<String, Limit> limits = new HashMap<>();
    private final Map<String, OpenJob> openJobs = new HashMap<>();
    /** The job of each task on record, also of those whose job has ended since. */
    private final Map<String, OpenJob> everyJob = new HashMap<>();
    /** Revision at which each attempt of a task was put on record. */
    private final Map<String, Long> admittedAt = new HashMap<>();

    private int reservations;
    private int budgets;
    private int starts;
    private int admissions;

    /** A team's limit as it changed: by revision, and the last record. */
    private static final class Limit {
        final TreeMap<Long, Amount> byRevision = new TreeMap<>();
        final Map<String, Amount> spent = new HashMap<>();
        TeamLimit record;

        Amount inForce() {
            return record.limit();
        }
    }

    private record OpenJob(
            String id,
            String team,
            Amount perTask,
            int tasks,
            boolean gang,
            boolean cancelled,
            Reservation reservation) {}

    QuotaHistory(SimulatedCluster world) {
        this.world = world;
        world.state.onCommit(this::committed);
        world.onStart(this::started);
    }

    int reservations() {
        return reservations;
    }

    int budgets() {
        return budgets;
    }

    int starts() {
        return starts;
    }

    int admissions() {
        return admissions;
    }

    Amount limit(String team) {
        return limits.get(team).inForce();
    }

    private void committed(List<Written> changes) {
        for (Written change : changes) {
            if (change.key().startsWith(TeamLimitCodec.PREFIX)) {
                limitWritten(change);
            } else if (change.key().startsWith(Keys.OPEN)) {
                jobWritten(change);
            } else if (change.key().startsWith(Keys.SLICES) && change.value() != null) {
                admissionWritten(change);
            }
        }
    }

    private void limitWritten(Written change) {
        TeamLimit record;
        try {
            record = TeamLimitCodec.read(
                    new org.weldcourse.store.Store.Entry(change.key(), change.value(), change.version(), 0));
        } catch (TeamLimitCodec.Unreadable unreadable) {
            throw new AssertionError("a record that nobody can read: " + change, unreadable);
        }
        Limit limit = limits.computeIfAbsent(record.team(), team -> new Limit());
        limit.record = record;
        limit.spent.clear();
        limit.byRevision.put(change.version(), record.limit());
        if (!record.budgets().isEmpty()) {
            budgets++;
            check(record.team(), "a budget was granted");
        }
    }

    private void jobWritten(Written change) {
        String id = Keys.jobOf(change.key());
        if (change.value() == null) {
            openJobs.remove(id);
            return;
        }
        Map<String, Object> value = change.value();
        boolean isNew = !everyJob.containsKey(id);
        OpenJob job = new OpenJob(
                id,
                Json.text(value, "crew"),
                Amount.of(Json.decimal(value, "cpus", 0), Json.decimal(value, "gpus", 0)),
                (int) Json.integer(value, "beads", 0),
                "ensemble".equals(value.get("shape")),
                Json.flag(value, "cancelled"),
                Reservation.of(value));
        openJobs.put(id, job);
        everyJob.put(id, job);
        if (isNew && job.reservation != null && !job.reservation.isNone()) {
            reservations++;
            Limit limit = limits.get(job.team);
            Amount amount = job.perTask.times(job.reservation.tasks());
            Amount spent = limit.spent.merge(job.reservation.owner(), amount, Amount::plus);
            if (job.reservation.limitVersion() != limit.record.version()
                    || !spent.fitsInto(limit.record.budget(job.reservation.owner()))) {
                throw new AssertionError("reserved beyond the budget: " + id + " " + job.reservation + ", spent "
                        + spent + " of " + limit.record);
            }
            check(job.team, id + " was reserved");
        }
    }

    private void admissionWritten(Written change) {
        String id = Keys.jobOf(change.key());
        SliceCodec.visit(change.value(), (machine, attempt, first, last) -> {
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
        Amount counted = Amount.ZERO;
        for (OpenJob job : openJobs.values()) {
            if (job.team.equals(team)) {
                counted = counted.plus(QuotaRule.ofJob(job.perTask, reserved(job), running(job)));
            }
        }
        for (Map.Entry<String, Amount> budget : limit.record.budgets().entrySet()) {
            counted = counted.plus(budget.getValue().minus(limit.spent.getOrDefault(budget.getKey(), Amount.ZERO)));
        }
        if (!QuotaRule.mayAdd(limit.inForce(), counted, Amount.ZERO)) {
            throw new AssertionError(
                    "overshoot: " + team + " has " + counted + " of " + limit.inForce() + " when " + what);
        }
    }

    /** What a reservation still holds: no more than the tasks that are left to do. */
    private int reserved(OpenJob job) {
        if (job.cancelled || job.reservation == null) {
            return 0;
        }
        int left = 0;
        for (int task = 0; task < job.tasks && left < job.reservation.tasks(); task++) {
            left += world.hasCompleted(job.id + "/" + (job.gang ? 0 : task)) ? 0 : 1;
        }
        return left;
    }

    private int running(OpenJob job) {
        int running = 0;
        for (int task = 0; task < job.tasks; task++) {
            running += world.whereIs(job.id + "/" + task) == null ? 0 : 1;
        }
        return running;
    }

    private void started(String task, int attempt) {
        starts++;
        OpenJob started = everyJob.get(task.substring(0, task.indexOf('/')));
        Long admitted = admittedAt.get(task + " attempt " + attempt);
        if (admitted == null) {
            throw new AssertionError("started without being on record: " + task);
        }
        Amount running = Amount.ZERO;
        StringBuilder jobs = new StringBuilder();
        for (OpenJob job : everyJob.values()) {
            if (job.team.equals(started.team) && running(job) > 0) {
                running = running.plus(job.perTask.times(running(job)));
                jobs.append(running(job)).append(" of ").append(job).append("; ");
            }
        }
        if (!mostSince(started.team, admitted, running)) {
            throw new AssertionError("overshoot: " + started.team + " runs " + running + " with " + task
                    + " admitted at " + admitted + " under " + limits.get(started.team).byRevision + ": " + jobs);
        }
    }

    /** Whether a limit that was in force at this revision or later covers so much. */
    private boolean mostSince(String team, long revision, Amount running) {
        Limit limit = limits.get(team);
        if (limit == null) {
            return true;
        }
        Long first = limit.byRevision.floorKey(revision);
        return first == null
                || limit.byRevision.tailMap(first).values().stream().anyMatch(running::fitsInto);
    }
}
