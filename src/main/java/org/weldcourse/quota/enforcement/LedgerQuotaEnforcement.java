package org.weldcourse.quota.enforcement;

import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.weldcourse.admission.CycleDecisions;
import org.weldcourse.cluster.Booking;
import org.weldcourse.cluster.ClusterState;
import org.weldcourse.cluster.Job;
import org.weldcourse.cluster.Snapshot.TeamView;
import org.weldcourse.persistence.RecordWriter;
import org.weldcourse.quota.ResourceAmount;
import org.weldcourse.quota.ledger.EffectiveQuota;
import org.weldcourse.quota.ledger.QuotaLedger;
import org.weldcourse.quota.ledger.QuotaRecordCodec;
import org.weldcourse.quota.ledger.Reservation;
import org.weldcourse.runtime.Timers;
import org.weldcourse.settings.Settings;
import org.weldcourse.store.Transaction;

/**
 * The quota of the ledger, as the leader enforces it. Each admission is written on the versions of the records that it
 * was decided on. What other controllers reserved, or may still reserve out of their budgets, counts as taken.
 */
public final class LedgerQuotaEnforcement implements QuotaEnforcement {
    private static final long READ_AGAIN_MICROS = 300_000;

    private final ClusterState cluster;
    private final Settings settings;
    private final QuotaLedger ledger;
    private final TermCallbacks callbacks;
    private final Timers timers;
    private final long fencingTokenVersion;
    private final ReservationTracker reservations = new ReservationTracker();
    private final OverQuotaMonitor monitor;
    private final BudgetAllocator budgets;
    private final QuotaSeeder seeder;
    private final Runnable onLedgerChange = this::ledgerChanged;
    private QuotaSnapshot snapshot;
    private boolean ended;

    /** What the leader term does for the enforcement of quota. */
    public interface TermCallbacks {
        /** Reads the changes of open jobs at once, rather than with the next watch. */
        void readOpenJobs();

        /** Something changed that the next cycle may act on. */
        void quotaChanged();

        /** A steady reading of the clock. */
        long nowMicros();
    }

    /**
     * The quota of one leader term.
     *
     * @param fencingTokenVersion the store's version of the key that holds the fencing token, which guards every grant of a
     *     budget
     */
    public LedgerQuotaEnforcement(
            ClusterState cluster,
            Settings settings,
            QuotaLedger ledger,
            BudgetPlanner planner,
            RecordWriter recorder,
            Timers timers,
            long fencingTokenVersion,
            TermCallbacks callbacks) {
        this.timers = timers;
        this.fencingTokenVersion = fencingTokenVersion;
        this.cluster = cluster;
        this.settings = settings;
        this.ledger = ledger;
        this.callbacks = callbacks;
        this.monitor = new OverQuotaMonitor(cluster, settings, ledger);
        this.budgets = new BudgetAllocator(ledger, reservations, planner, recorder, timers, callbacks::quotaChanged);
        this.seeder = new QuotaSeeder(settings, ledger, recorder);
        this.snapshot = takeSnapshot();
    }

    @Override
    public void begin() {
        ledger.onChange(onLedgerChange);
        takeOverLedger();
        readLedger();
    }

    /**
     * The leader before this one may have granted budgets shortly before its end. Until the ledger was read up to the
     * election, nothing counts as known: after it only this leader grants any.
     */
    private void readLedger() {
        ledger.readAgain(isRead -> {
            if (!isRead && !ended && !ledger.isReadUpTo(fencingTokenVersion)) {
                timers.after(READ_AGAIN_MICROS, this::readLedger);
            }
        });
    }

    private QuotaSnapshot takeSnapshot() {
        return new QuotaSnapshot(cluster, settings, ledger, reservations, ledger.isReadUpTo(fencingTokenVersion));
    }

    private void ledgerChanged() {
        takeOverLedger();
        callbacks.quotaChanged();
    }

    private void takeOverLedger() {
        boolean behind = false;
        for (EffectiveQuota quota : monitor.quotas()) {
            String team = quota.team().name();
            reservations.quotaSeen(quota);
            behind |= !reservations.isUpToDate(team);
            budgets.reconsider(team);
        }
        if (behind) {
            callbacks.readOpenJobs();
        }
    }

    @Override
    public List<TeamView> teamViews(long nowMicros) {
        snapshot = takeSnapshot();
        return snapshot.views();
    }

    @Override
    public int reservedTasks(Job job) {
        return snapshot.reservedTasks(job);
    }

    @Override
    public void addPreconditions(Transaction admission, Job job) {
        String team = job.spec().team();
        EffectiveQuota quota = ledger.quota(team);
        if (quota == null) {
            admission.ifModRevision(QuotaRecordCodec.teamKey(team), 0);
        } else {
            quota.guards().forEach(admission::ifModRevision);
        }
    }

    @Override
    public void preconditionFailed(Job job, List<Object> keys) {
        boolean ofLedger = keys.stream().anyMatch(key -> String.valueOf(key).startsWith(QuotaRecordCodec.PREFIX));
        if (ofLedger) {
            ledger.refresh(job.spec().team(), isRead -> {});
        }
    }

    @Override
    public void jobLoaded(Job job, Map<String, Object> jobRecord) {
        Reservation reservation = Reservation.fromJobRecord(jobRecord);
        if (reservation == null) {
            return;
        }
        ResourceAmount perTask = job.spec().quotaPerTask();
        reservations.jobSeen(job.spec().id(), job.spec().team(), perTask, reservation);
        ResourceAmount atOnce = perTask.times(job.spec().concurrentTasks());
        reservations.demanded(job.spec().team(), reservation.owner(), atOnce, callbacks.nowMicros());
        budgets.reconsider(job.spec().team());
    }

    @Override
    public void jobEnded(Job job) {
        reservations.jobEnded(job.spec().id());
    }

    @Override
    public void openJobsReadUpTo(long revision) {
        reservations.readUpTo(revision);
    }

    @Override
    public void cycleEnded(List<CycleDecisions.PendingTasks> waiting, long nowMicros) {
        Set<String> waitingTeams = new HashSet<>();
        for (CycleDecisions.PendingTasks item : waiting) {
            if (item.blockedByQuota()) {
                waitingTeams.add(item.spec().team());
            }
        }
        waitingTeams.addAll(othersOfTheirCohorts(waitingTeams));
        // The cycle has booked since its snapshot was taken, so that a new one is needed, where there is anything to
        // divide.
        budgets.divide(waitingTeams, this::takeSnapshot, nowMicros);
        seeder.seedMissing(nowMicros);
    }

    /** A job that waits for a cohort's limit may wait for room that another team's budgets hold. */
    private Set<String> othersOfTheirCohorts(Set<String> waitingTeams) {
        Set<String> others = new HashSet<>();
        for (String team : waitingTeams) {
            EffectiveQuota quota = ledger.quota(team);
            if (quota != null && quota.cohort() != null) {
                monitor.members(quota.cohort())
                        .forEach(member -> others.add(member.team().name()));
            }
        }
        return others;
    }

    @Override
    public List<Booking> bookingsOverQuota() {
        return monitor.bookingsToPreempt();
    }

    @Override
    public boolean isOverbooked(String team) {
        return monitor.isOver(team, cluster.quotaUsage::bookedBy);
    }

    @Override
    public boolean isLimitExceeded(String team) {
        return monitor.isOver(team, cluster.quotaUsage::usedBy);
    }

    @Override
    public ResourceAmount limit(String team) {
        EffectiveQuota quota = ledger.quota(team);
        return quota == null ? ResourceAmount.NO_LIMIT : quota.team().limit();
    }

    @Override
    public String status() {
        return monitor.status();
    }

    @Override
    public void end() {
        ended = true;
        ledger.removeListener(onLedgerChange);
    }
}
