package org.weldcourse.leader;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.weldcourse.admission.CapacityDemandEstimator;
import org.weldcourse.admission.CapacityWaits;
import org.weldcourse.admission.CycleDecisions;
import org.weldcourse.admission.Planner;
import org.weldcourse.admission.SnapshotBuilder;
import org.weldcourse.cluster.AttemptBookings;
import org.weldcourse.cluster.ClusterState;
import org.weldcourse.cluster.Job;
import org.weldcourse.cluster.Machine;
import org.weldcourse.cluster.Snapshot;
import org.weldcourse.fleet.HostCapacity;
import org.weldcourse.fleet.MachineType;
import org.weldcourse.fleet.ScaleOutPlanner;
import org.weldcourse.http.Json;
import org.weldcourse.http.Server.Reply;
import org.weldcourse.http.Server.Request;
import org.weldcourse.jobs.AdmissionRecordCodec;
import org.weldcourse.jobs.AdmittedTasks;
import org.weldcourse.jobs.InvalidJobException;
import org.weldcourse.jobs.JobRecordCodec;
import org.weldcourse.jobs.JobSpec;
import org.weldcourse.jobs.JobSpec.Kind;
import org.weldcourse.jobs.JobSpec.Priority;
import org.weldcourse.jobs.StoreKeys;
import org.weldcourse.persistence.JobRecordRestorer;
import org.weldcourse.persistence.RecordWriter;
import org.weldcourse.quota.enforcement.QuotaEnforcement;
import org.weldcourse.quota.enforcement.SettingsQuotaEnforcement;
import org.weldcourse.runtime.Clock;
import org.weldcourse.runtime.Timers;
import org.weldcourse.settings.Settings;
import org.weldcourse.store.Store;
import org.weldcourse.workers.CommandCodec;
import org.weldcourse.workers.CommandSelector;
import org.weldcourse.workers.Heartbeat;
import org.weldcourse.workers.HeartbeatCodec;
import org.weldcourse.workers.HeartbeatReconciler;
import org.weldcourse.workers.MalformedHeartbeatException;
import org.weldcourse.workers.StartAuthorization;
import org.weldcourse.workers.StartCounts;

/**
 * The synthetic cluster of one warm-up round: machines and jobs on which the code of a leader's term runs. Its time
 * starts at the time of the clock and advances by one heartbeat interval per cycle.
 */
final class SyntheticCluster {
    /** Number of machines; they are numbered from 0. */
    static final int MACHINES = 16;

    private static final long FENCING_TOKEN = 1;
    private static final String NAME = "warm-up";
    private static final int MAX_TASKS_PER_ADMISSION = 50;
    private static final int MAX_ADMISSIONS = 10;
    private static final int MAX_NEW_MACHINES = 50;
    /** Machines with more CPUs are treated as needed by jobs of high priority. */
    private static final int HIGH_PRIORITY_CPU_THRESHOLD = 8;

    private final Settings settings;
    private final List<MachineType> types;
    private final List<String> zones;
    private final ClusterState state = new ClusterState();
    private final SnapshotBuilder snapshots;
    private final CapacityDemandEstimator demandEstimator;
    private final CommandSelector commands;
    private final HeartbeatReconciler reconciler;
    private final RecordWriter recordWriter;
    private long nowMicros;
    private int sequence;

    /**
     * Creates a cluster.
     *
     * @param store receives the records; it must answer synchronously and store nothing
     */
    SyntheticCluster(Settings settings, Store store, Clock clock, Timers timers) {
        this.settings = settings;
        this.zones = settings.zones().isEmpty() ? List.of("a") : settings.zones();
        this.types = List.of(
                new MachineType("small", 8, 0, 16, 50, 0.4, 0.5, 0.2, 30_000_000, zones),
                new MachineType("large", 32, 0, 128, 50, 0.4, 2.0, 0.8, 30_000_000, zones));
        this.nowMicros = clock.nowMicros();
        QuotaEnforcement quotas = new SettingsQuotaEnforcement(state, settings);
        this.snapshots = new SnapshotBuilder(state, settings, quotas);
        this.demandEstimator = new CapacityDemandEstimator(state, settings);
        StartAuthorization startAuthorization = new StartAuthorization(state, quotas, new StartCounts());
        this.commands = new CommandSelector(state, startAuthorization);
        this.reconciler =
                new HeartbeatReconciler(state, FENCING_TOKEN, settings.workers().leaseMicros(), startAuthorization);
        this.recordWriter =
                new RecordWriter(store, clock, timers, settings.storeLimits(), 1, new IgnoredWriterEvents());
        for (int i = 0; i < MACHINES; i++) {
            state.getOrAddMachine(machineName(i), nowMicros).type = types.get(i % types.size());
        }
        addJob(1, Kind.GANG, Priority.HIGH, 3, 30);
        addJob(2, Kind.GANG, Priority.HIGH, 40, 30);
        addJob(3, Kind.JOB_ARRAY, Priority.LOW, 60, 1);
        addJob(4, Kind.JOB_ARRAY, Priority.LOW, 200, 2);
        addJob(5, Kind.JOB_ARRAY, Priority.NORMAL, 20, 2);
    }

    private static String machineName(int number) {
        return "m-" + NAME + "-" + number;
    }

    private void addJob(int number, Kind kind, Priority priority, int tasks, double cpus) {
        JobSpec submitted = new JobSpec(
                "req-" + number,
                NAME,
                settings.teams().isEmpty() ? NAME : settings.teams().get(0).name(),
                kind,
                priority,
                tasks,
                cpus,
                0,
                cpus,
                "image-" + number % 3,
                1,
                null,
                null,
                kind == Kind.GANG,
                false,
                true,
                20_000_000,
                10_000_000,
                2_000_000,
                100_000_000);
        try {
            // Encoded and decoded, as when a leader reads the job's record.
            JobSpec spec = JobRecordCodec.decodeSpec(
                    Json.object(Json.parse(Json.bytes(JobRecordCodec.encode(submitted, 0, false)))));
            state.jobs.put(spec.id(), new Job(spec, 1, nowMicros));
        } catch (Json.MalformedJsonException | InvalidJobException unexpected) {
            throw new IllegalStateException(unexpected);
        }
    }

    /** The state of the machines and jobs. */
    ClusterState state() {
        return state;
    }

    /** The body of the machine's next heartbeat; {@code pass} as in {@link SyntheticHeartbeats#body}. */
    byte[] heartbeatBody(int number, int pass) {
        Machine machine = state.machines.get(machineName(number));
        String zone = zones.get(number % zones.size());
        return SyntheticHeartbeats.body(machine, zone, number % 3 == 0, ++sequence, FENCING_TOKEN, pass);
    }

    /** Answers a heartbeat as a leader's term does. */
    void handleHeartbeat(Request request, Reply reply) {
        Heartbeat heartbeat;
        try {
            heartbeat = HeartbeatCodec.decode(request.body());
        } catch (MalformedHeartbeatException unexpected) {
            throw new IllegalStateException(unexpected);
        }
        Machine machine = state.getOrAddMachine(heartbeat.machine(), nowMicros);
        reconciler.reconcile(machine, heartbeat, nowMicros);
        commands.hasTasksToStart(machine);
        reply.send(
                200,
                CommandCodec.encodeHeartbeatResponse(FENCING_TOKEN, commands.selectCommands(machine, true, nowMicros)));
    }

    /** Runs one admission cycle and plans the scale-out for its pending tasks. */
    void runCycle() {
        nowMicros += settings.workers().heartbeatIntervalMicros();
        Snapshot snapshot = snapshots.snapshot(
                nowMicros, machine -> machine.type.cpus() > HIGH_PRIORITY_CPU_THRESHOLD ? Priority.HIGH : null);
        CycleDecisions decisions = Planner.decide(
                snapshot,
                new Planner.CycleLimits(
                        MAX_TASKS_PER_ADMISSION,
                        MAX_ADMISSIONS,
                        settings.workers().heartbeatIntervalMicros()));
        for (CycleDecisions.Admission admission : decisions.admissions()) {
            Job job = state.jobs.get(admission.job());
            AttemptBookings bookings = new AttemptBookings(state, job, admission.tasks());
            bookings.bookPart(MAX_TASKS_PER_ADMISSION, nowMicros);
            recordWriter.admit(job, bookings.admission(), persisted -> {
                if (persisted) {
                    bookings.markPersisted();
                }
            });
        }
        planScaleOut(decisions);
        for (Machine machine : state.machines.values()) {
            commands.needsHeartbeatPrompt(machine);
            commands.heartbeatPromptCommand(machine, nowMicros);
        }
    }

    private void planScaleOut(CycleDecisions decisions) {
        List<HostCapacity> hosts = new ArrayList<>();
        for (Machine machine : state.machines.values()) {
            hosts.add(new HostCapacity(
                    machine.type,
                    machine.zone,
                    machine.spot,
                    false,
                    nowMicros,
                    machine.allocation(state.runTimes).cpus() * 1e6,
                    0,
                    new double[Priority.values().length]));
        }
        ScaleOutPlanner.plan(
                demandEstimator.demand(decisions.pending(), new CapacityWaits(), nowMicros),
                hosts,
                types,
                Set.of(),
                MAX_NEW_MACHINES,
                nowMicros);
    }

    /** Restores the jobs from their records, as a new leader does with its predecessor's records. */
    void restoreRecords() {
        for (Job job : state.jobs.values()) {
            AdmittedTasks admitted = job.bookings().admitted();
            Map<String, Object> record = AdmissionRecordCodec.encode(admitted, job.lastAttempt(), 1, job.doneTasks());
            Job restored = new Job(job.spec(), 1, nowMicros);
            new JobRecordRestorer(settings.storeLimits())
                    .restore(
                            restored,
                            new Store.Entry(StoreKeys.admission(job.spec().id(), 0), record, 1, 0));
            AdmissionRecordCodec.visit(record, (machine, attempt, first, last) -> restored.recordAttempt(attempt));
        }
    }

    /** Ignores the results of writes: the cluster is discarded after one round. */
    private static final class IgnoredWriterEvents implements RecordWriter.Listener {
        @Override
        public void recordWritten(Job job) {}

        @Override
        public void jobRecordChanged(Job job) {}

        @Override
        public void fencingTokenSuperseded() {}
    }
}
