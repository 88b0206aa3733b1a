package org.weldcourse.admission;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.weldcourse.fleet.Cloud;
import org.weldcourse.fleet.FleetKeeper;
import org.weldcourse.fleet.FleetPlanner;
import org.weldcourse.fleet.TypesDuty;
import org.weldcourse.http.Caller;
import org.weldcourse.http.Server.Reply;
import org.weldcourse.jobs.JobCodec;
import org.weldcourse.jobs.JobSpec;
import org.weldcourse.jobs.Keys;
import org.weldcourse.jobs.SliceCodec;
import org.weldcourse.leadership.Leadership;
import org.weldcourse.runtime.Clock;
import org.weldcourse.runtime.Duty;
import org.weldcourse.runtime.Timers;
import org.weldcourse.settings.Settings;
import org.weldcourse.settings.Tuning;
import org.weldcourse.store.Store;
import org.weldcourse.store.Store.Outcome;
import org.weldcourse.workers.CheckinCodec;
import org.weldcourse.workers.Order;
import org.weldcourse.workers.Reconciler;
import org.weldcourse.workers.Report;

/**
 * One leader's time in office. It reads the records back, answers the workers, and cycles: finished work is put
 * on record, what waits is admitted against a snapshot, and what must stop is told so.
 */
public final class Term extends Duty {
    private static final Logger LOG = LoggerFactory.getLogger(Term.class);
    private static final long IDLE_CYCLE_MICROS = 1_000_000;
    private static final long SOON_MICROS = 10_000;
    /** What a cycle leaves to check-ins and users before the next one, for each machine and job that it looks at. */
    private static final long PAUSE_EACH_MICROS = 200;
    private static final long RETRY_MICROS = 300_000;
    /** Short enough that a watch which went silent costs a cancellation little of its time. */
    private static final long WATCH_MICROS = 8_000_000;
    private static final long DIRECT_TIMEOUT_MICROS = 2_000_000;
    /** How far ahead arrays are booked, in reports: about the time until a machine could be told otherwise. */
    private static final double AHEAD_REPORTS = 0.75;
    /** Cycles that begin this late show that the processor does not keep up. */
    private static final long PRESSED_MICROS = 100_000;
    private static final long STATUS_MICROS = 30_000_000;
    private static final long CANCEL_MARGIN_MICROS = 3_000_000;

    private final Parts parts;
    private final long token;
    private final Board board = new Board();
    private final Outlook outlook;
    private final Reconciler reconciler;
    private final Recorder recorder;
    private final FleetKeeper fleet;
    private final int mostTasksPerAdmission;
    private final long startedMicros;
    private boolean loaded;
    private long nextStatusMicros;
    private long earliestCycleMicros;
    private int waitingByQuota;
    private int directInFlight;

    /** What a term works with; all of it outlives the term. */
    public record Parts(Store store, Cloud cloud, Caller caller, Clock clock, Timers timers, Settings settings,
            Tuning tuning, Leadership leadership, TypesDuty types, Outage outage) {
    }

    /** Whether the state service, when it does not serve this node, serves no other either, by their own word. */
    public interface Outage {
        boolean isShared();
    }

    public Term(Parts parts, long token, long epochVersion) {
        super("term " + token, parts.clock(), parts.timers());
        this.parts = parts;
        this.token = token;
        this.startedMicros = parts.clock().nowMicros();
        this.outlook = new Outlook(board, parts.settings());
        this.reconciler = new Reconciler(
                board,
                token,
                parts.settings().workers().leaseMicros(),
                parts.settings().teams());
        this.mostTasksPerAdmission = Recorder.mostTasksPerAdmission(parts.settings().state());
        this.recorder = new Recorder(parts.store(), parts.clock(), parts.timers(), parts.settings().state(),
                epochVersion, new Recorder.Events() {
                    @Override
                    public void recorded(Job job) {
                        soon();
                    }

                    @Override
                    public void stale(Job job) {
                        refresh(job);
                    }

                    @Override
                    public void outdated() {
                        parts.leadership().doubt();
                    }
                });
        this.fleet = new FleetKeeper(board, parts.cloud(), parts.types(), parts.settings(), parts.tuning(), token,
                parts.clock(), parts.timers(), new FleetKeeper.Office() {
                    @Override
                    public boolean holds() {
                        return parts.leadership().leaseHolds();
                    }

                    @Override
                    public void machinesGone() {
                        soon();
                    }
                });
    }

    /** Reads the records and begins to work. */
    public void begin() {
        start();
        load();
    }

    @Override
    public void cancel() {
        super.cancel();
        recorder.end();
        fleet.cancel();
    }

    // Reading the records

    private void load() {
        if (!isRunning()) {
            return;
        }
        parts.store().list(Keys.OPEN, open -> parts.store().list(Keys.SLICES, slices ->
                parts.store().list(Keys.DONE_TASKS, done -> {
                    if (!isRunning()) {
                        return;
                    }
                    if (open.outcome() != Outcome.OK || slices.outcome() != Outcome.OK
                            || done.outcome() != Outcome.OK) {
                        parts.timers().after(RETRY_MICROS, this::load);
                        return;
                    }
                    restore(open.entries(), slices.entries(), done.entries());
                    loaded = true;
                    LOG.info("token {}: took over {} open jobs, {} records, {} ms after its election", token,
                            board.jobs.size(), slices.entries().size() + done.entries().size(),
                            (clock.nowMicros() - startedMicros) / 1000);
                    watch(open.revision());
                    wakeIn(0);
                })));
    }

    private void restore(List<Store.Entry> open, List<Store.Entry> slices, List<Store.Entry> done) {
        long nowMicros = clock.nowMicros();
        for (Store.Entry entry : open) {
            jobWritten(entry.key(), entry.value(), entry.version());
        }
        List<String> orphans = new ArrayList<>();
        List<Store.Entry> records = new ArrayList<>(slices);
        records.addAll(done);
        for (Store.Entry entry : records) {
            Job job = board.jobs.get(Keys.jobOf(entry.key()));
            if (job == null) {
                orphans.add(entry.key());
            } else {
                restore(job, entry, () -> recorder.restore(job, entry));
            }
        }
        for (Store.Entry entry : slices) {
            Job job = board.jobs.get(Keys.jobOf(entry.key()));
            if (job != null) {
                restore(job, entry, () -> SliceCodec.visit(entry.value(), (machineName, attempt, first, last) -> {
                    for (int task = first; task <= last && task < job.spec.tasks(); task++) {
                        restore(job, task, attempt, machineName, entry.key(), nowMicros);
                    }
                }));
            }
        }
        recorder.sweep(orphans);
    }

    /** Where a record can't be read, nobody knows what runs where: the job stays known, and nothing is decided about it. */
    private static void restore(Job job, Store.Entry entry, Runnable read) {
        try {
            read.run();
        } catch (RuntimeException unreadable) {
            LOG.error("{}: can't be read, so that nothing is done for its job: {}", entry.key(),
                    unreadable.toString());
            job.stale = true;
        }
    }

    /** A task may stand in several records; the last of its admissions is the one that counts. */
    private void restore(Job job, int task, int attempt, String machineName, String record, long nowMicros) {
        job.lastAttempt = Math.max(job.lastAttempt, attempt);
        Booking earlier = job.bookings.get(task);
        if (job.done.get(task) || earlier != null && earlier.attempt >= attempt) {
            return;
        }
        if (earlier != null) {
            board.drop(earlier);
        }
        Booking booking = board.book(job, task, attempt, board.machine(machineName, nowMicros), nowMicros);
        booking.persisted = true;
        booking.record = record;
    }

    private void watch(long revision) {
        parts.store().watch(Keys.OPEN, revision, WATCH_MICROS, events -> {
            if (!isRunning()) {
                return;
            }
            if (events.outcome() == Outcome.OK) {
                for (Store.Event event : events.events()) {
                    if (event.value() != null) {
                        jobWritten(event.key(), event.value(), event.version());
                    }
                }
                if (!events.events().isEmpty()) {
                    soon();
                }
                watch(Math.max(revision, events.revision()));
            } else if (events.outcome() == Outcome.NO) {
                readAgain();
            } else {
                parts.timers().after(events.outcome() == Outcome.UNKNOWN ? 0 : RETRY_MICROS, () -> watch(revision));
            }
        });
    }

    /** The watch fell too far behind: read all open jobs once more. */
    private void readAgain() {
        if (!isRunning()) {
            return;
        }
        parts.store().list(Keys.OPEN, open -> {
            if (open.outcome() != Outcome.OK) {
                parts.timers().after(RETRY_MICROS, this::readAgain);
                return;
            }
            for (Store.Entry entry : open.entries()) {
                jobWritten(entry.key(), entry.value(), entry.version());
            }
            soon();
            watch(open.revision());
        });
    }

    /**
     * A write was refused because the job's record is not what it was. The watch may lag, or may have told of a job
     * that is over by now: without reading it again the same write would be tried for ever.
     */
    private void refresh(Job job) {
        if (job.stale || job.closed) {
            return;
        }
        job.stale = true;
        readJob(job);
    }

    private void readJob(Job job) {
        if (!isRunning()) {
            return;
        }
        String key = Keys.open(job.spec.id());
        parts.store().get(key, read -> {
            if (read.outcome() == Outcome.OK) {
                jobWritten(key, read.entry().value(), read.entry().version());
                recorder.refresh(job, () -> {
                    job.stale = false;
                    soon();
                });
                return;
            } else if (read.outcome() == Outcome.NO) {
                LOG.info("{}: over already", job.spec.id());
                job.closed = true;
                board.evict(job, 0);
            } else {
                parts.timers().after(RETRY_MICROS, () -> readJob(job));
                return;
            }
            job.stale = false;
            soon();
        });
    }

    private void jobWritten(String key, Map<String, Object> value, long version) {
        String id = Keys.jobOf(key);
        Job job = board.jobs.get(id);
        if (job == null) {
            try {
                JobSpec spec = JobCodec.spec(value);
                long ageMicros = Math.max(0, clock.wallMicros() - JobCodec.acceptedWallMicros(value));
                job = new Job(spec, version, clock.nowMicros() - ageMicros);
            } catch (JobCodec.Malformed unreadable) {
                LOG.error("{}: its record can't be read: {}", id, unreadable.getMessage());
                return;
            }
            board.jobs.put(id, job);
            fleet.jobSeen(job.spec);
        }
        if (version >= job.version && !job.closed) {
            job.version = version;
            job.cancelled |= JobCodec.isCancelled(value);
        }
    }

    // Workers

    /** A worker's report. The lease that the answer renews lets work outlive a loss of the state service. */
    public void checkin(Report report, Reply reply) {
        long nowMicros = clock.nowMicros();
        if (!mayRenewWorkers(nowMicros)) {
            reply.refuse(503, "cut off from the state service", 1);
            return;
        }
        if (!loaded || fleet.isGone(report.machine())) {
            reply.send(200, CheckinCodec.answer(token, List.of()));
            return;
        }
        if (report.token() != token && !board.machines.containsKey(report.machine())) {
            // A late copy may speak of a machine that is long gone; a machine that is there comes again with our token.
            reply.send(200, CheckinCodec.answer(token, List.of()));
            return;
        }
        Machine machine = board.machine(report.machine(), nowMicros);
        if (machine.type == null) {
            machine.type = parts.types().byName(report.type());
        }
        Reconciler.Result result = reconciler.report(machine, report, parts.leadership().leaseHolds(), nowMicros);
        reply.send(200, CheckinCodec.answer(token, result.orders()));
        if (result.changed()) {
            soon();
        }
    }

    /**
     * Without its lease a leader may keep work alive only while the others say that the state service serves none of
     * them: else a successor may wait for its workers. And even then, after the outage a successor may have told a user
     * that a job is cancelled: early enough before that job must be gone, the workers' own leases have to start running
     * out.
     */
    private boolean mayRenewWorkers(long nowMicros) {
        if (nowMicros < parts.leadership().leaseEndMicros()) {
            return true;
        }
        if (!parts.outage().isShared()) {
            return false;
        }
        long lastContactMicros = parts.leadership().leaseEndMicros() - parts.tuning().stateLeaseMicros();
        Settings.Workers workers = parts.settings().workers();
        long extraMicros = workers.cancelMicros() - workers.leaseMicros() - CANCEL_MARGIN_MICROS;
        return nowMicros < lastContactMicros + extraMicros;
    }

    // The cycle

    @Override
    protected int rest() {
        return 2;
    }

    /** A cycle costs in step with what it looks at, so a large cluster has to wait a little longer for the next one. */
    private void soon() {
        wakeIn(Math.max(SOON_MICROS, earliestCycleMicros - clock.nowMicros()));
    }

    @Override
    protected long step() {
        if (!loaded) {
            return -1;
        }
        long nowMicros = clock.nowMicros();
        for (Job job : new ArrayList<>(board.jobs.values())) {
            tend(job, nowMicros);
        }
        for (Machine machine : board.machines.values()) {
            drain(machine, nowMicros);
        }
        if (parts.leadership().leaseHolds()) {
            admit(nowMicros);
        }
        if (!fleet.isRunning()) {
            // Not before it is known what waits: a step that costs a new leader much would find nothing to do.
            fleet.start();
        }
        direct();
        earliestCycleMicros =
                clock.nowMicros() + PAUSE_EACH_MICROS * (board.machines.size() + board.jobs.size());
        if (nowMicros >= nextStatusMicros && !(board.jobs.isEmpty() && board.machines.isEmpty())) {
            nextStatusMicros = nowMicros + STATUS_MICROS;
            LOG.info("token {}: {}", token, status());
        }
        return IDLE_CYCLE_MICROS;
    }

    /** One line for operators: how much is open, what waits and why, and where the money goes. */
    private String status() {
        int up = 0;
        int quiet = 0;
        for (Machine machine : board.machines.values()) {
            up += machine.isUp() ? 1 : 0;
            quiet += machine.isUp() && clock.nowMicros() - machine.heardMicros > outlook.quietMicros() ? 1 : 0;
        }
        int pending = 0;
        int booked = 0;
        for (Job job : board.jobs.values()) {
            pending += job.pending.cardinality();
            booked += job.bookings.size();
        }
        return board.jobs.size() + " jobs open, " + booked + " tasks booked, " + pending + " waiting ("
                + waitingByQuota + " for their team's limit); " + up + " machines up, " + quiet + " silent, "
                + (board.machines.size() - up) + " coming; " + fleet.spending();
    }

    private void tend(Job job, long nowMicros) {
        if (job.closed) {
            board.jobs.remove(job.spec.id());
            return;
        }
        if (job.stale) {
            return;
        }
        if (job.allDone()) {
            recorder.close(job);
        } else if (job.cancelled) {
            board.evict(job, 0);
            if (job.bookings.isEmpty()) {
                recorder.close(job);
            }
        } else {
            recorder.saveDone(job);
            if (job.spec.gang()) {
                checkStart(job, nowMicros);
            }
        }
    }

    /** A gang that is not running whole within the wait that covers its fetches is evicted and queued again. */
    private void checkStart(Job job, long nowMicros) {
        long waitMicros = parts.settings().workers().gangWaitMicros();
        for (Booking booking : job.bookings.values()) {
            double rate = booking.machine.type == null ? 0.1 : booking.machine.type.fetchGbPerSecond();
            long fetchMicros = Math.round(job.spec.imageGb() / Math.max(0.01, rate) * 2e6);
            boolean late = nowMicros - booking.bookedMicros > waitMicros + fetchMicros + 15_000_000;
            if (late && !booking.running() && !booking.stop) {
                LOG.info("{} attempt {} did not start in time on {}", booking.name, booking.attempt,
                        booking.machine.name);
                board.evict(job, job.spec.saveMicros());
                return;
            }
        }
    }

    /** Before the cloud takes a machine back, tasks that won't finish there save what they can and leave. */
    private void drain(Machine machine, long nowMicros) {
        if (machine.takenBackAtMicros == Long.MAX_VALUE) {
            return;
        }
        for (Booking booking : new ArrayList<>(machine.bookings.values())) {
            if (booking.stop) {
                continue;
            }
            if (nowMicros + board.runTimes.leftMicros(booking, nowMicros) < machine.takenBackAtMicros) {
                continue;
            }
            stop(booking);
        }
    }

    private void stop(Booking booking) {
        long graceMicros = booking.job.spec.checkpointMicros() > 0
                ? booking.job.spec.saveMicros() + 1_000_000 : 0;
        if (booking.job.spec.gang()) {
            board.evict(booking.job, graceMicros);
        } else {
            booking.requestStop(graceMicros);
        }
    }

    private void admit(long nowMicros) {
        Decisions decisions = Planner.decide(outlook.snapshot(nowMicros, fleet::soughtBy),
                new Planner.Bounds(mostTasksPerAdmission, recorder.mostAdmissions(),
                        (long) (parts.settings().workers().reportMicros() * AHEAD_REPORTS)));
        for (Decisions.Stop stop : decisions.stops()) {
            Job job = board.jobs.get(stop.job());
            Booking booking = job == null ? null : job.bookings.get(stop.task());
            if (booking != null && !booking.stop) {
                LOG.debug("{} attempt {} makes room on {}", booking.name, booking.attempt, booking.machine.name);
                stop(booking);
            }
        }
        for (Decisions.Admission admission : decisions.admissions()) {
            admit(board.jobs.get(admission.job()), admission.tasks(), nowMicros);
        }
        fleet.need(needs(decisions.waiting()), decisions.held());
    }

    private void admit(Job job, Map<String, int[]> tasks, long nowMicros) {
        int attempt = job.lastAttempt + 1;
        List<Booking> booked = new ArrayList<>();
        tasks.forEach((machineName, indexes) -> {
            Machine machine = board.machines.get(machineName);
            for (int task : indexes) {
                booked.add(board.book(job, task, attempt, machine, nowMicros));
            }
        });
        recorder.admit(job, attempt, booked, onRecord -> {
            if (onRecord) {
                LOG.debug("{} attempt {}: {} tasks admitted on {}", job.spec.id(), attempt, booked.size(),
                        tasks.keySet());
                booked.forEach(booking -> {
                    booking.persisted = true;
                    booking.machine.unsaid = true;
                });
            } else {
                booked.forEach(booking -> board.free(booking, clock.nowMicros()));
            }
            soon();
        });
    }

    private List<FleetPlanner.Need> needs(List<Decisions.Waiting> waiting) {
        waitingByQuota = 0;
        for (Decisions.Waiting item : waiting) {
            if (LOG.isDebugEnabled()) {
                LOG.debug("{}: {} tasks wait for {}", item.spec().id(), item.tasks(),
                        item.byQuota() ? "their team's limit" : "room");
            }
            waitingByQuota += item.byQuota() ? item.tasks() : 0;
        }
        return outlook.needs(waiting);
    }

    /**
     * Halts that need not wait for the next report, and bells. A late copy of either does no harm. Everything else that
     * a worker may forget is told with its next report: a request for it alone would cost more than the longer list.
     */
    private void direct() {
        for (Machine machine : board.machines.values()) {
            if (directInFlight >= parts.settings().directSockets()) {
                // The rest of a wave is told in the next cycle, or with the machines' next reports.
                return;
            }
            if (!machine.unsaid || machine.directInFlight || !machine.underToken || machine.released
                    || machine.address == null) {
                continue;
            }
            machine.unsaid = reconciler.wantsBell(machine);
            List<Order> orders = new ArrayList<>();
            // A bell costs a message and another report: short of time, the machine's own next report will do.
            Order bell = machine.unsaid && lateMicros() < PRESSED_MICROS ? reconciler.bell(machine) : null;
            if (bell != null) {
                orders.add(bell);
            }
            for (Booking booking : machine.bookings.values()) {
                if (orders.size() >= Reconciler.MOST_ORDERS) {
                    break;
                }
                if (booking.stop && booking.seen && !booking.haltSent) {
                    booking.haltSent = true;
                    orders.add(Order.halt(booking.name, booking.attempt, booking.graceMicros));
                }
            }
            if (orders.isEmpty()) {
                continue;
            }
            machine.directInFlight = true;
            directInFlight++;
            parts.caller().call(new Caller.Call(machine.address, "POST", "/orders",
                    CheckinCodec.direct(token, machine.session, orders), DIRECT_TIMEOUT_MICROS),
                    answer -> {
                        machine.directInFlight = false;
                        directInFlight--;
                    });
        }
    }
}
