package org.weldcourse.workers;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.weldcourse.admission.Board;
import org.weldcourse.admission.Booking;
import org.weldcourse.admission.Job;
import org.weldcourse.admission.Machine;
import org.weldcourse.fleet.MachineType;
import org.weldcourse.jobs.JobSpec;
import org.weldcourse.settings.Settings;

/**
 * Lays a worker's report beside the bookings: learns what happened, and says what the worker is to do. Only a
 * newer report counts, and only one that shows this leader's token: before that, an older leader's orders could
 * still reach the worker and make the report untrue.
 */
public final class Reconciler {
    private static final Logger LOG = LoggerFactory.getLogger(Reconciler.class);

    /** So many orders stay well below the 64 KiB that a message may have; the rest goes with the next one. */
    public static final int MOST_ORDERS = 500;

    private final Board board;
    private final long token;
    private final long leaseMicros;
    private final Map<String, Settings.Team> teams = new HashMap<>();

    /** {@code teams} are those of the settings, with their limits. */
    public Reconciler(Board board, long token, long leaseMicros, List<Settings.Team> teams) {
        this.board = board;
        this.token = token;
        this.leaseMicros = leaseMicros;
        teams.forEach(team -> this.teams.put(team.name(), team));
    }

    /** {@code changed}: something was learnt that the next admission cycle may use. */
    public record Result(List<Order> orders, boolean changed) {
        static final Result NOTHING = new Result(List.of(), false);
    }

    public Result report(Machine machine, Report report, boolean mayStart, long nowMicros) {
        if (!machine.newer(report) || machine.released) {
            return Result.NOTHING;
        }
        if (report.token() != token) {
            // Older than this term, if only by the way it took: it may speak of a machine long gone. The answer
            // brings our token, and what the worker then says counts.
            return Result.NOTHING;
        }
        boolean newSession = report.session() > machine.session;
        if (newSession && machine.session > 0 && nowMicros - machine.heardMicros < leaseMicros) {
            // Its reports came all the time, and yet its lease ran out.
            machine.answerLost(nowMicros);
        }
        machine.session = report.session();
        machine.sequence = report.sequence();
        boolean changed = machine.heardMicros < 0;
        machine.heardMicros = nowMicros;
        if (machine.upMicros < 0) {
            machine.upMicros = nowMicros;
            machine.idleSinceMicros = Math.max(machine.idleSinceMicros, nowMicros);
        }
        machine.address = report.address();
        machine.zone = report.zone();
        machine.spot = report.spot();
        changed |= notice(machine, report, nowMicros);
        if (!machine.underToken) {
            machine.underToken = true;
            changed = true;
        }
        if (newSession) {
            LOG.debug("{} session {}", machine.name, machine.session);
        }
        board.seen(machine, report.tasks());
        changed |= learn(machine, report, nowMicros);
        long lostMicros = machine.answersLostMicros();
        if (lostMicros >= 0 && nowMicros - lostMicros > leaseMicros * 3 / 2) {
            // Without an answer since then this session would be over.
            machine.answerArrived();
        }
        return new Result(orders(machine, mayStart && !machine.isDeaf()), changed);
    }

    private static boolean notice(Machine machine, Report report, long nowMicros) {
        if (report.noticeMicros() == Report.NO_NOTICE) {
            return false;
        }
        boolean first = machine.takenBackAtMicros == Long.MAX_VALUE;
        machine.takenBackAtMicros = nowMicros + report.noticeMicros();
        if (first) {
            LOG.info("{} is taken back in {} s", machine.name, report.noticeMicros() / 1e6);
        }
        return first;
    }

    private boolean learn(Machine machine, Report report, long nowMicros) {
        boolean changed = false;
        Set<TaskName> listed = new HashSet<>();
        boolean arrived = false;
        boolean lost = false;
        machine.strangers.clear();
        machine.exited.clear();
        for (Report.Task task : report.tasks()) {
            Booking booking = machine.bookings.get(task.name());
            boolean booked = booking != null && booking.attempt == task.attempt();
            if (task.state() == Report.State.EXITED) {
                machine.exited.add(task);
                if (booked) {
                    arrived |= booking.runSent;
                    listed.add(task.name());
                    board.exited(booking, task.cause(), nowMicros);
                    changed = true;
                }
            } else if (booked) {
                arrived |= booking.runSent;
                listed.add(task.name());
                changed |= progress(booking, task.state(), nowMicros);
            } else {
                LOG.info("{} attempt {} is on {} without a booking", task.name(), task.attempt(), machine.name);
                machine.strangers.add(task);
            }
        }
        for (Booking booking : machine.bookings.values()) {
            lost |= booking.runSent && !listed.contains(booking.name);
        }
        if (arrived) {
            machine.answerArrived();
        } else if (lost) {
            machine.answerLost(nowMicros);
        }
        for (Booking booking : new ArrayList<>(machine.bookings.values())) {
            if (listed.contains(booking.name)) {
                continue;
            }
            booking.runSent = false;
            // Seen before and not now, with no exit: a new session swept it away. Never seen: it was never run,
            // or the answer that said so was lost, and it may be run again or, when unwanted or when the machine
            // hears nothing, given up: this report is newer than any answer that told it to run.
            // A team above its limit has tasks on record that were preempted or are over, beside those that took
            // their quota.
            boolean unwanted = booking.stop || machine.isDeaf() || isAboveLimit(booking.job.spec.team());
            if (booking.seen || booking.persisted && unwanted) {
                board.free(booking, nowMicros);
                changed = true;
            }
        }
        return changed;
    }

    private boolean isAboveLimit(String name) {
        Settings.Team team = teams.get(name);
        return team != null
                && (board.usedCpus(name) > team.cpusMax() + MachineType.EPSILON
                        || board.usedGpus(name) > team.gpusMax() + MachineType.EPSILON);
    }

    private static boolean progress(Booking booking, Report.State state, long nowMicros) {
        boolean wasRunning = booking.running();
        booking.seen = true;
        booking.runSent = false;
        if (booking.state == state) {
            return false;
        }
        booking.state = state;
        booking.machine.touch();
        if (state != Report.State.FETCHING) {
            booking.machine.usedImage(booking.job.spec.image(), booking.job.spec.imageGb());
        }
        if (booking.running() && !wasRunning) {
            booking.runningSinceMicros = nowMicros;
            return true;
        }
        return false;
    }

    private List<Order> orders(Machine machine, boolean mayStart) {
        List<Order> orders = new ArrayList<>();
        List<Order> forgets = forgets(machine);
        orders.addAll(forgets.subList(0, Math.min(forgets.size(), MOST_ORDERS / 4)));
        for (Report.Task stranger : machine.strangers) {
            if (orders.size() >= MOST_ORDERS) {
                break;
            }
            orders.add(Order.halt(stranger.name(), stranger.attempt(), 0));
        }
        double cpus = 0;
        double gpus = 0;
        double memoryGb = 0;
        for (Booking booking : machine.bookings.values()) {
            if (!booking.seen) {
                continue;
            }
            if (booking.stop && orders.size() < MOST_ORDERS) {
                orders.add(Order.halt(booking.name, booking.attempt, booking.graceMicros));
                booking.haltSent = true;
            }
            // The worker takes orders in turn, and a task that has nothing to save exits at once.
            if (!booking.stop || saves(booking)) {
                cpus += booking.job.spec.cpus();
                gpus += booking.job.spec.gpus();
                memoryGb += booking.job.spec.memoryGb();
            }
        }
        if (mayStart && machine.type != null) {
            run(machine, orders, cpus, gpus, memoryGb);
        }
        return orders;
    }

    private void run(Machine machine, List<Order> orders, double cpus, double gpus, double memoryGb) {
        MachineType type = machine.type;
        double slack = MachineType.EPSILON;
        for (Booking booking : machine.bookings.values()) {
            if (booking.seen || booking.stop || !booking.persisted || booking.job.cancelled || booking.job.closed) {
                continue;
            }
            JobSpec spec = booking.job.spec;
            boolean fits = cpus + spec.cpus() <= type.cpus() + slack && gpus + spec.gpus() <= type.gpus() + slack
                    && memoryGb + spec.memoryGb() <= type.memoryGb() + slack;
            Machine elsewhere = board.whereabouts(booking.name);
            if (!fits || orders.size() >= MOST_ORDERS || elsewhere != null && elsewhere != machine || isStranger(machine, booking)) {
                continue;
            }
            cpus += spec.cpus();
            gpus += spec.gpus();
            memoryGb += spec.memoryGb();
            booking.runSent = true;
            booking.sawStart = spec.checkpointMicros() == 0 || booking.attempt == 1;
            orders.add(Order.run(booking.name, booking.attempt));
        }
    }

    private static boolean isStranger(Machine machine, Booking booking) {
        for (Report.Task stranger : machine.strangers) {
            if (stranger.name().equals(booking.name)) {
                return true;
            }
        }
        return false;
    }

    private static boolean saves(Booking booking) {
        boolean canSave = booking.job.spec.checkpointMicros() > 0 && booking.graceMicros > 0
                && booking.graceMicros >= booking.job.spec.saveMicros();
        return canSave && booking.running();
    }

    /**
     * Exits that are on record, so that no leader will ever run these attempts again. The last one is kept back as a
     * bell: forgetting it is a change that makes the worker report at once, and only a report can be answered with
     * {@code run}.
     */
    private List<Order> forgets(Machine machine) {
        List<Order> orders = forgettable(machine);
        if (orders.size() == machine.exited.size() && !orders.isEmpty()) {
            orders.remove(orders.size() - 1);
        }
        return orders;
    }

    /** Something waits to be run there that the next report alone would bring. */
    public boolean wantsBell(Machine machine) {
        for (Booking booking : machine.bookings.values()) {
            if (booking.persisted && !booking.seen && !booking.runSent && !booking.stop) {
                return true;
            }
        }
        return false;
    }

    /** The order that rings the bell, or null when the machine has none. */
    public Order bell(Machine machine) {
        List<Order> orders = forgettable(machine);
        return orders.isEmpty() ? null : orders.get(orders.size() - 1);
    }

    private List<Order> forgettable(Machine machine) {
        List<Order> orders = new ArrayList<>();
        for (Report.Task task : machine.exited) {
            Job job = board.jobs.get(task.name().job());
            if (job == null || job.mayForget(task.name().index(), task.attempt())) {
                orders.add(Order.forget(task.name(), task.attempt()));
            }
        }
        return orders;
    }
}
