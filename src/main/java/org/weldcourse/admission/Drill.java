package org.weldcourse.admission;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.weldcourse.fleet.FleetPlanner;
import org.weldcourse.fleet.MachineType;
import org.weldcourse.http.Caller;
import org.weldcourse.http.Json;
import org.weldcourse.http.Server.Handler;
import org.weldcourse.http.Server.Reply;
import org.weldcourse.http.Server.Request;
import org.weldcourse.jobs.JobCodec;
import org.weldcourse.jobs.JobSpec;
import org.weldcourse.jobs.JobSpec.Rank;
import org.weldcourse.jobs.JobSpec.Shape;
import org.weldcourse.jobs.Keys;
import org.weldcourse.jobs.SliceCodec;
import org.weldcourse.runtime.Clock;
import org.weldcourse.runtime.Duty;
import org.weldcourse.runtime.Timers;
import org.weldcourse.settings.Settings;
import org.weldcourse.store.Store;
import org.weldcourse.workers.CheckinCodec;
import org.weldcourse.workers.Reconciler;
import org.weldcourse.workers.Report;

/**
 * Practice of a node that does not lead. A new leader's first reports and cycles would else be the first that its process
 * ever did: code that was never run is many times as slow, just when all workers come at once, and on a small share of a
 * core such a leader lost its lease before it was done. So a made-up board is planned, reported on and recorded here, in
 * small steps that leave most of the processor to the node's users. Nothing of it leaves the process.
 */
public final class Drill extends Duty implements Handler {
    private static final int ROUNDS = 24;
    private static final int MACHINES = 16;
    private static final long TOKEN = 1;
    private static final long LEAST_REST_MICROS = 20_000;
    private static final long ASK_AGAIN_MICROS = 1_000_000;
    private static final String CLASS = "drill";

    private final Settings settings;
    private final Spare spare;
    private final List<MachineType> types;
    private final Store nowhere;
    private final Timers timers;
    private final Iterator<Runnable> steps = new Steps();
    private Front front;
    Board board;
    private Outlook outlook;
    private Reconciler reconciler;
    private Recorder recorder;
    private long nowMicros;
    private int sequence;

    /** Whether this node has time for it. */
    public interface Spare {
        boolean get();
    }

    /** Takes the bytes of a request as a connection would, and hands it to this drill. */
    public interface Front {
        void receive(byte[] request);
    }

    public Drill(Settings settings, Clock clock, Timers timers, Spare spare) {
        super("drill", clock, timers);
        this.settings = settings;
        this.timers = timers;
        this.spare = spare;
        List<String> zones = settings.zones().isEmpty() ? List.of("a") : settings.zones();
        this.types = List.of(new MachineType("small", 8, 0, 16, 50, 0.4, 0.5, 0.2, 30_000_000, zones),
                new MachineType("large", 32, 0, 128, 50, 0.4, 2.0, 0.8, 30_000_000, zones));
        this.nowhere = new Store(Drill::answered, clock, "nowhere");
    }

    public void through(Front requests) {
        front = requests;
    }

    /** What the real service would say, in the same breath. */
    private static void answered(Caller.Call call, Caller.Done done) {
        byte[] body = call.body() == null ? new byte[0] : Json.bytes(call.body());
        done.accept(new Caller.Answer(200, body.length == 0 ? Map.of() : Json.of("ledger", 1L)));
    }

    @Override
    protected int rest() {
        return 2;
    }

    @Override
    protected long step() {
        if (!steps.hasNext()) {
            return -1;
        }
        if (!spare.get()) {
            return ASK_AGAIN_MICROS;
        }
        steps.next().run();
        return LEAST_REST_MICROS;
    }

    /** Rounds of a board set up anew, reports of all its machines, a cycle, and the reports that follow from it. */
    private final class Steps implements Iterator<Runnable> {
        private static final int REPORTS = 3;
        private int round;
        private int at;

        @Override
        public boolean hasNext() {
            return round < ROUNDS;
        }

        @Override
        public Runnable next() {
            int here = at++;
            int each = MACHINES + 1;
            if (here == 0) {
                return Drill.this::setUp;
            }
            if (here <= REPORTS * each) {
                int machine = (here - 1) % each;
                int pass = (here - 1) / each;
                return machine < MACHINES ? () -> report(machine, pass) : Drill.this::cycle;
            }
            at = 0;
            round++;
            return Drill.this::readBack;
        }
    }

    private void setUp() {
        nowMicros = clock.nowMicros();
        sequence = 0;
        board = new Board();
        outlook = new Outlook(board, settings);
        reconciler = new Reconciler(board, TOKEN, settings.workers().leaseMicros(), settings.teams());
        recorder = new Recorder(nowhere, clock, timers, settings.state(), 1, new Recorder.Events() {
            @Override
            public void recorded(Job job) {
            }

            @Override
            public void stale(Job job) {
            }

            @Override
            public void outdated() {
            }
        });
        for (int i = 0; i < MACHINES; i++) {
            Machine machine = board.machine(machineName(i), nowMicros);
            machine.type = types.get(i % types.size());
        }
        job(1, Shape.GANG, Rank.HIGH, 3, 30);
        job(2, Shape.GANG, Rank.HIGH, 40, 30);
        job(3, Shape.ARRAY, Rank.LOW, 60, 1);
        job(4, Shape.ARRAY, Rank.LOW, 200, 2);
        job(5, Shape.ARRAY, Rank.NORMAL, 20, 2);
    }

    private void job(int number, Shape shape, Rank rank, int tasks, double cpus) {
        JobSpec made = new JobSpec("req-" + number, CLASS, settings.teams().isEmpty() ? CLASS : settings.teams().get(0).name(),
                shape, rank, tasks, cpus, 0, cpus, "image-" + number % 3, 1, null, null, shape == Shape.GANG, false, true,
                20_000_000, 10_000_000, 2_000_000, 100_000_000);
        try {
            // By way of its record, as a leader reads it.
            JobSpec spec = JobCodec.spec(Json.object(Json.parse(Json.bytes(JobCodec.record(made, 0, false)))));
            board.jobs.put(spec.id(), new Job(spec, 1, nowMicros));
        } catch (Json.BadJson | JobCodec.Malformed impossible) {
            throw new IllegalStateException(impossible);
        }
    }

    private static String machineName(int number) {
        return "m-drill-" + number;
    }

    /** A worker's report: what it was told to run fetches at first, runs in the next pass and is done in the one after. */
    private void report(int number, int pass) {
        Machine machine = board.machines.get(machineName(number));
        List<Object> tasks = new ArrayList<>();
        for (Booking booking : machine.bookings.values()) {
            if (booking.runSent || booking.seen) {
                Map<String, Object> task = Json.of("bead", booking.name.toString(), "strike", (long) booking.attempt,
                        "heat", pass == 2 && booking.task % 2 == 0 ? "exited" : booking.seen ? "running" : "fetching");
                if (task.get("heat").equals("exited")) {
                    task.put("cause", "done");
                }
                tasks.add(task);
            }
        }
        byte[] body = Json.bytes(Json.of("forge", machine.name, "addr", "127.0.0.1:1", "rig", machine.type.name(),
                "yard", types.get(0).zones().get(number % types.get(0).zones().size()), "loaners", number % 3 == 0,
                "shift", 1L, "stitch", (long) ++sequence, "torch", TOKEN, "recall_s", null, "beads", tasks));
        if (front == null) {
            handle(new Request("POST", "/checkin", body), (status, answer, retryAfterSeconds) -> Json.bytes(answer));
            return;
        }
        byte[] head = ("POST /checkin HTTP/1.1\r\nHost: drill\r\nContent-Type: application/json\r\nContent-Length: " + body.length
                + "\r\n\r\n").getBytes(StandardCharsets.US_ASCII);
        byte[] request = new byte[head.length + body.length];
        System.arraycopy(head, 0, request, 0, head.length);
        System.arraycopy(body, 0, request, head.length, body.length);
        front.receive(request);
    }

    @Override
    public void handle(Request request, Reply reply) {
        Report report = CheckinCodec.report(request.body());
        Reconciler.Result result = reconciler.report(board.machine(report.machine(), nowMicros), report, true, nowMicros);
        reply.send(200, CheckinCodec.answer(TOKEN, result.orders()));
    }

    private void cycle() {
        nowMicros += settings.workers().reportMicros();
        Snapshot snapshot = outlook.snapshot(nowMicros, machine -> machine.type.cpus() > 8 ? Rank.HIGH : null);
        Decisions decisions = Planner.decide(snapshot, new Planner.Bounds(50, 10, settings.workers().reportMicros()));
        for (Decisions.Admission admission : decisions.admissions()) {
            Job job = board.jobs.get(admission.job());
            List<Booking> booked = new ArrayList<>();
            int attempt = job.lastAttempt + 1;
            admission.tasks().forEach((machine, tasks) -> {
                for (int task : tasks) {
                    booked.add(board.book(job, task, attempt, board.machines.get(machine), nowMicros));
                }
            });
            recorder.admit(job, attempt, booked, onRecord -> booked.forEach(booking -> booking.persisted = onRecord));
        }
        List<FleetPlanner.Host> hosts = new ArrayList<>();
        for (Machine machine : board.machines.values()) {
            hosts.add(new FleetPlanner.Host(machine.type, machine.zone, machine.spot, false, nowMicros,
                    machine.load(board.runTimes).cpus() * 1e6, new double[Rank.values().length]));
        }
        FleetPlanner.plan(outlook.needs(decisions.waiting()), hosts, types, Set.of(), 50, nowMicros);
        for (Machine machine : board.machines.values()) {
            reconciler.wantsBell(machine);
            reconciler.bell(machine);
        }
    }

    /** As a leader reads its predecessor's records. */
    private void readBack() {
        for (Job job : board.jobs.values()) {
            SliceCodec.Admitted admitted = new SliceCodec.Admitted();
            job.bookings.values().forEach(booking -> admitted.add(booking.machine.name, booking.attempt, booking.task));
            Map<String, Object> record = SliceCodec.record(admitted, job.lastAttempt, 1, job.done);
            Job again = new Job(job.spec, 1, nowMicros);
            recorder.restore(again, new Store.Entry(Keys.slice(job.spec.id(), 0), record, 1, 0));
            SliceCodec.visit(record, (machine, attempt, first, last) -> again.pending.clear(first, last + 1));
        }
    }
}
