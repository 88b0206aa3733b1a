package org.weldcourse.admission;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.weldcourse.admission.Snapshot.TeamView;
import org.weldcourse.quota.Amount;
import org.weldcourse.quota.BudgetPlanner;
import org.weldcourse.quota.LimitLedger;
import org.weldcourse.quota.OverLimit;
import org.weldcourse.quota.Reservation;
import org.weldcourse.quota.ReservationBook;
import org.weldcourse.quota.TeamLimit;
import org.weldcourse.quota.TeamLimitCodec;
import org.weldcourse.settings.Settings;
import org.weldcourse.store.Store.Outcome;
import org.weldcourse.store.Transaction;

/**
 * The limits of the ledger, as the leader enforces them. Each admission is written on the version of its team's record
 * that it was decided on. What other controllers reserved, or may still reserve out of their budgets, counts as taken.
 */
final class RecordedLimits implements TeamLimits {
    private static final Logger LOG = LoggerFactory.getLogger(RecordedLimits.class);
    /** The least time between two changes of a team's budgets. */
    private static final long DIVISION_PAUSE_MICROS = 1_000_000;

    private static final long SEED_PAUSE_MICROS = 1_000_000;

    private final ClusterState cluster;
    private final Settings settings;
    private final LimitLedger ledger;
    private final BudgetPlanner planner;
    private final Recorder recorder;
    private final Office office;
    private final ReservationBook book = new ReservationBook();
    private final Runnable onLedgerChange = this::ledgerChanged;
    private final Map<String, Integer> coveredTasks = new HashMap<>();
    /** What counted in this cycle against the limits of teams whose budgets may have to change. */
    private final Map<String, Amount> committedByTeam = new HashMap<>();
    /** Teams whose demand or limit changed since their budgets were last looked at. */
    private final Set<String> toDivide = new HashSet<>();

    private final Set<String> writing = new HashSet<>();
    private final Map<String, Long> dividedMicros = new HashMap<>();
    private long nextSeedMicros;

    /** What the term does for its limits. */
    interface Office {
        /** Reads the changes of open jobs at once, rather than with the next watch. */
        void readOpenJobs();

        /** Something changed that the next cycle may act on. */
        void limitsChanged();

        long nowMicros();
    }

    RecordedLimits(
            ClusterState cluster,
            Settings settings,
            LimitLedger ledger,
            BudgetPlanner planner,
            Recorder recorder,
            Office office) {
        this.cluster = cluster;
        this.settings = settings;
        this.ledger = ledger;
        this.planner = planner;
        this.recorder = recorder;
        this.office = office;
        ledger.onChange(onLedgerChange);
        takeOverLedger();
    }

    private void ledgerChanged() {
        takeOverLedger();
        office.limitsChanged();
    }

    private void takeOverLedger() {
        boolean behind = false;
        for (Settings.Team team : settings.teams()) {
            TeamLimit limit = ledger.limit(team.name());
            if (limit != null) {
                book.limitSeen(limit);
                behind |= !book.isUpToDate(team.name());
                toDivide.add(team.name());
            }
        }
        if (behind) {
            office.readOpenJobs();
        }
    }

    @Override
    public List<TeamView> views(long nowMicros) {
        coveredTasks.clear();
        committedByTeam.clear();
        List<TeamView> views = new ArrayList<>(settings.teams().size());
        for (Settings.Team team : settings.teams()) {
            views.add(view(team));
        }
        return views;
    }

    private TeamView view(Settings.Team team) {
        String name = team.name();
        TeamLimit limit = ledger.limit(name);
        if (!ledger.isLoaded() || ledger.isUnreadable(name) || limit != null && !book.isUpToDate(name)) {
            return new TeamView(team, Double.POSITIVE_INFINITY, Double.POSITIVE_INFINITY);
        }
        if (limit == null) {
            return new TeamView(team, cluster.usedCpus(name), cluster.usedGpus(name));
        }
        ReservationBook.Account account = book.account(name, limit.limit(), cluster.used(name), this::unusedTasks);
        coveredTasks.putAll(account.coveredTasks());
        committedByTeam.put(name, account.committed());
        Settings.Team terms = new Settings.Team(
                name,
                limit.guarantee().cpus(),
                limit.limit().cpuLimit(),
                limit.guarantee().gpus(),
                limit.limit().gpuLimit());
        return new TeamView(terms, account.counted().cpus(), account.counted().gpus());
    }

    private int unusedTasks(String id) {
        Job job = cluster.jobs.get(id);
        if (job == null || job.cancelled || job.closed) {
            return 0;
        }
        int unused = Math.max(0, book.reservedTasks(id) - job.bookings.size());
        return Math.min(unused, job.pending.cardinality());
    }

    @Override
    public int coveredTasks(Job job) {
        return coveredTasks.getOrDefault(job.spec.id(), 0);
    }

    @Override
    public void guard(Transaction admission, Job job) {
        String team = job.spec.team();
        TeamLimit limit = ledger.limit(team);
        admission.guard(TeamLimitCodec.key(team), limit == null ? 0 : limit.version());
    }

    @Override
    public void conditionFailed(Job job, List<Object> keys) {
        String team = job.spec.team();
        if (keys.contains(TeamLimitCodec.key(team))) {
            ledger.refresh(team, () -> {});
        }
    }

    @Override
    public void jobSeen(Job job, Map<String, Object> jobRecord) {
        Reservation reservation = Reservation.of(jobRecord);
        if (reservation == null || book.knows(job.spec.id())) {
            return;
        }
        Amount perTask = Amount.of(job.spec.cpus(), job.spec.gpus());
        book.jobSeen(job.spec.id(), job.spec.team(), perTask, reservation);
        Amount atOnce = perTask.times(job.spec.tasksAtOnce());
        book.demanded(job.spec.team(), reservation.owner(), atOnce, office.nowMicros());
        toDivide.add(job.spec.team());
    }

    @Override
    public void jobEnded(Job job) {
        book.jobEnded(job.spec.id());
    }

    @Override
    public void readUpTo(long revision) {
        book.readUpTo(revision);
    }

    @Override
    public void cycleEnded(List<Decisions.Waiting> waiting, long nowMicros) {
        Set<String> waitingTeams = new HashSet<>();
        for (Decisions.Waiting item : waiting) {
            if (item.byQuota()) {
                waitingTeams.add(item.spec().team());
            }
        }
        toDivide.addAll(waitingTeams);
        for (String team : List.copyOf(toDivide)) {
            boolean due = nowMicros - dividedMicros.getOrDefault(team, -DIVISION_PAUSE_MICROS) >= DIVISION_PAUSE_MICROS;
            if (due && committedByTeam.containsKey(team) && !writing.contains(team)) {
                toDivide.remove(team);
                divide(team, waitingTeams.contains(team), nowMicros);
            }
        }
        if (ledger.isLoaded() && nowMicros >= nextSeedMicros) {
            nextSeedMicros = nowMicros + SEED_PAUSE_MICROS;
            seedMissing();
        }
    }

    private void divide(String team, boolean waits, long nowMicros) {
        TeamLimit limit = ledger.limit(team);
        if (limit == null || !book.isUpToDate(team)) {
            return;
        }
        // What this cycle booked counts as well: the account was made before it.
        ReservationBook.Account account = book.account(team, limit.limit(), cluster.used(team), this::unusedTasks);
        boolean leaveNoRoom = waits || !account.honoursAll();
        Map<String, Amount> budgets = planner.plan(limit, account.committed(), leaveNoRoom, book, nowMicros);
        if (budgets != null) {
            dividedMicros.put(team, nowMicros);
            write(limit, budgets);
        }
    }

    private void write(TeamLimit limit, Map<String, Amount> budgets) {
        String team = limit.team();
        String key = TeamLimitCodec.key(team);
        TeamLimit next = limit.withBudgets(budgets);
        book.budgetsPending(team, budgets);
        writing.add(team);
        boolean sent = recorder.writeInBackground(
                txn -> txn.guard(key, limit.version()).put(key, TeamLimitCodec.value(next)),
                (commit, unclear) -> written(next, commit.outcome(), commit.revision()));
        if (!sent) {
            writing.remove(team);
            book.budgetsPending(team, Map.of());
            toDivide.add(team);
        }
    }

    private void written(TeamLimit limit, Outcome outcome, long version) {
        String team = limit.team();
        Runnable settled = () -> {
            writing.remove(team);
            book.budgetsPending(team, Map.of());
            toDivide.add(team);
            office.limitsChanged();
        };
        if (outcome == Outcome.OK) {
            ledger.written(
                    new TeamLimit(team, limit.guarantee(), limit.limit(), limit.overLimit(), limit.budgets(), version));
            settled.run();
        } else {
            // Refused, or carried out by an earlier try: what stands on record tells.
            ledger.refresh(team, settled);
        }
    }

    /** Teams without a record get the limit of this node's settings. */
    private void seedMissing() {
        List<TeamLimit> missing = new ArrayList<>();
        for (Settings.Team team : settings.teams()) {
            boolean absent = ledger.limit(team.name()) == null && !ledger.isUnreadable(team.name());
            if (absent && missing.size() < settings.state().safeTxnOps()) {
                missing.add(LimitLedger.seed(team));
            }
        }
        if (missing.isEmpty()) {
            return;
        }
        recorder.writeInBackground(
                txn -> missing.forEach(limit -> txn.guard(TeamLimitCodec.key(limit.team()), 0)
                        .put(TeamLimitCodec.key(limit.team()), TeamLimitCodec.value(limit))),
                (commit, unclear) -> {
                    LOG.info("{} team limits put on record from settings: {}", missing.size(), commit.outcome());
                    missing.forEach(limit -> ledger.refresh(limit.team(), () -> {}));
                });
    }

    @Override
    public List<Booking> overLimit() {
        List<Booking> stops = new ArrayList<>();
        for (Settings.Team team : settings.teams()) {
            TeamLimit limit = ledger.limit(team.name());
            if (limit != null
                    && limit.overLimit() == OverLimit.DISPLACE
                    && !cluster.used(team.name()).fitsInto(limit.limit())) {
                stops.addAll(OverLimitStops.choose(cluster, team.name(), limit.limit()));
            }
        }
        return stops;
    }

    @Override
    public boolean isExceeded(String team) {
        TeamLimit limit = ledger.limit(team);
        return limit != null && !cluster.used(team).fitsInto(limit.limit());
    }

    @Override
    public String status() {
        StringBuilder text = new StringBuilder();
        for (Settings.Team team : settings.teams()) {
            TeamLimit limit = ledger.limit(team.name());
            Amount used = cluster.used(team.name());
            if (limit != null && !used.fitsInto(limit.limit())) {
                text.append("team ").append(team.name()).append(" has ");
                text.append(used.minus(limit.limit())).append(" over its limit left to ");
                text.append(limit.overLimit().word()).append("; ");
            }
        }
        return text.toString();
    }

    @Override
    public void end() {
        ledger.removeListener(onLedgerChange);
    }
}
