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
 * Enforces the quota of the ledger during one leader term. The write of each admission is conditional on the versions
 * of the quota records on which it was decided. Reservations of other controllers and their unspent budgets count as
 * used.
 */
public final class LedgerQuotaEnforcement implements QuotaEnforcement {
    private static final long RETRY_DELAY_MICROS = 300_000;

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

    /** Operations of the leader term that quota enforcement uses. */
    public interface TermCallbacks {
        /** Reads the changes of open jobs immediately, without waiting for the next watch event. */
        void readOpenJobs();

        /** Reports a quota change on which the next admission cycle may act. */
        void quotaChanged();

        /** Returns the time of a monotonic clock. */
        long nowMicros();
    }

    /**
     * Creates the quota enforcement of one leader term.
     *
     * @param fencingTokenVersion the mod revision of the key that holds the fencing token, on which every budget grant
     *     is conditional
     */
    public LedgerQuotaEnforcement(
            ClusterState cluster,
            Settings settings,
            QuotaLedger ledger,
            BudgetPlanner planner,
            RecordWriter recordWriter,
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
        this.budgets =
                new BudgetAllocator(ledger, reservations, planner, recordWriter, timers, callbacks::quotaChanged);
        this.seeder = new QuotaSeeder(settings, ledger, recordWriter);
        this.snapshot = takeSnapshot();
    }

    @Override
    public void begin() {
        ledger.onChange(onLedgerChange);
        syncWithLedger();
        readLedger();
    }

    /**
     * Reads the ledger up to the leader's election. The previous leader may have granted budgets shortly before its
     * term ended, so the usage of every team counts as unknown until then. Afterwards only this leader grants budgets.
     */
    private void readLedger() {
        ledger.reload(isRead -> {
            if (!isRead && !ended && !ledger.isReadUpTo(fencingTokenVersion)) {
                timers.after(RETRY_DELAY_MICROS, this::readLedger);
            }
        });
    }

    private QuotaSnapshot takeSnapshot() {
        return new QuotaSnapshot(cluster, settings, ledger, reservations, ledger.isReadUpTo(fencingTokenVersion));
    }

    private void ledgerChanged() {
        syncWithLedger();
        callbacks.quotaChanged();
    }

    private void syncWithLedger() {
        boolean needsOpenJobs = false;
        for (EffectiveQuota quota : monitor.quotas()) {
            String team = quota.team().name();
            reservations.updateQuota(quota);
            needsOpenJobs |= !reservations.isUpToDate(team);
            budgets.markForDivision(team);
        }
        if (needsOpenJobs) {
            callbacks.readOpenJobs();
        }
    }

    @Override
    public List<TeamView> teamViews(long nowMicros) {
        snapshot = takeSnapshot();
        return snapshot.teamViews();
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
        boolean isQuotaPrecondition =
                keys.stream().anyMatch(key -> String.valueOf(key).startsWith(QuotaRecordCodec.PREFIX));
        if (isQuotaPrecondition) {
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
        reservations.addJob(job.spec().id(), job.spec().team(), perTask, reservation);
        ResourceAmount concurrentAmount = perTask.times(job.spec().concurrentTasks());
        reservations.recordDemand(job.spec().team(), reservation.owner(), concurrentAmount, callbacks.nowMicros());
        budgets.markForDivision(job.spec().team());
    }

    @Override
    public void jobEnded(Job job) {
        reservations.removeJob(job.spec().id());
    }

    @Override
    public void openJobsReadUpTo(long revision) {
        reservations.openJobsReadUpTo(revision);
    }

    @Override
    public void cycleEnded(List<CycleDecisions.PendingTasks> waiting, long nowMicros) {
        Set<String> waitingTeams = new HashSet<>();
        for (CycleDecisions.PendingTasks pending : waiting) {
            if (pending.blockedByQuota()) {
                waitingTeams.add(pending.spec().team());
            }
        }
        // The cycle has added bookings since its snapshot was taken, so the division takes a new snapshot if it has any
        // team to consider.
        budgets.divide(teamsSharingLimits(waitingTeams), this::takeSnapshot, nowMicros);
        seeder.seedMissing(nowMicros);
    }

    @Override
    public Set<String> teamsSharingLimits(Set<String> teams) {
        Set<String> members = new HashSet<>(teams);
        for (String team : teams) {
            EffectiveQuota quota = ledger.quota(team);
            if (quota != null && quota.cohort() != null) {
                monitor.members(quota.cohort())
                        .forEach(member -> members.add(member.team().name()));
            }
        }
        return members;
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
        return monitor.isOver(team, cluster::usageOnRecord);
    }

    @Override
    public boolean isLimited(String team) {
        EffectiveQuota quota = ledger.quota(team);
        return quota != null && (!quota.team().limit().isUnlimited() || quota.cohort() != null);
    }

    @Override
    public boolean allowsOnRecord(String team, ResourceAmount less) {
        return !monitor.isOver(
                team, member -> cluster.usageOnRecord(member).minus(member.equals(team) ? less : ResourceAmount.ZERO));
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
