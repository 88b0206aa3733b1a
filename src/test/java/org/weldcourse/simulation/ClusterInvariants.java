package org.weldcourse.simulation;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.BiConsumer;
import org.weldcourse.http.Json;
import org.weldcourse.settings.Settings;
import org.weldcourse.simulation.SimulatedCluster.ApiResponse;

/**
 * Checks the protocol's invariants on the tasks that run on machines and on the responses that users receive. A task counts
 * as running from the end of its image pull until it exits, is killed or its machine is lost, also while the machine is
 * frozen or unreachable.
 */
public final class ClusterInvariants implements TaskBehavior {
    /** Time after which the members of a running gang detect that a member has ended or that its machine is frozen. */
    private static final long GANG_PEER_MICROS = 4_000_000;

    private static final double ROUNDING_TOLERANCE = 1e-9;

    /** Number of starts by task. */
    public final Map<String, Integer> starts = new HashMap<>();

    /** Submission bodies by job. */
    public final Map<String, Map<String, Object>> jobs = new HashMap<>();

    /** Run times by task or by job; the entry of a task takes precedence. */
    public final Map<String, Long> runMicros = new HashMap<>();

    private final Map<String, FakeWorker> workerByRunningTask = new HashMap<>();
    private final Map<String, Long> cancelledMicros = new HashMap<>();
    private final Set<String> completedTasks = new HashSet<>();
    /** The latest state of each job that any controller reported: open, done or cancelled. */
    private final Map<String, String> reportedStates = new HashMap<>();

    /** Duration of the image pull of a job's tasks; 0 where a job has no entry. */
    public final Map<String, Long> fetchMicros = new HashMap<>();

    private final FakeClock clock;
    private final List<Settings.Team> teams;
    private final long cancelMicros;
    private BiConsumer<String, Integer> startListener = (task, attempt) -> {};
    private int startsAfterCancellation;

    public ClusterInvariants(FakeClock clock, List<Settings.Team> teams, long cancelMicros) {
        this.clock = clock;
        this.teams = teams;
        this.cancelMicros = cancelMicros;
    }

    /** Replaces the listeners that are called with the task and attempt of each start, after the checks have passed. */
    public void setStartListener(BiConsumer<String, Integer> listener) {
        startListener = listener;
    }

    /** Adds a listener that is called after the existing ones; see {@link #setStartListener}. */
    public void addStartListener(BiConsumer<String, Integer> listener) {
        startListener = startListener.andThen(listener);
    }

    /** The latest state of the job that any controller reported (open, done or cancelled), or null. */
    public String lastReportedState(String id) {
        return reportedStates.get(id);
    }

    /**
     * Fails when a response is wrong, or reports a state older than {@code stateBefore}, the last state that was reported
     * before the request was sent.
     */
    public ApiResponse checkResponse(String id, String stateBefore, ApiResponse response) {
        if (response.status() != 200 && response.status() != 201) {
            if (stateBefore != null
                    && (response.status() == 404 || response.status() == 400 || response.status() == 422)) {
                throw new AssertionError("forgotten: " + id + " after " + stateBefore + ": " + response);
            }
            return response;
        }
        if (!jobs.containsKey(id)) {
            throw new AssertionError("invented: " + id);
        }
        boolean isFinal = "done".equals(response.state()) || "cancelled".equals(response.state());
        if (stateBefore != null && !stateBefore.equals("open") && !stateBefore.equals(response.state())) {
            throw new AssertionError("went_back: " + id + " from " + stateBefore + ": " + response);
        }
        if ("done".equals(response.state())) {
            checkDone(id);
        }
        if ("cancelled".equals(response.state())) {
            cancelledMicros.putIfAbsent(id, clock.nowMicros());
        }
        if (isFinal || !reportedStates.containsKey(id)) {
            reportedStates.put(id, isFinal ? response.state() : "open");
        }
        return response;
    }

    private void checkDone(String id) {
        for (int task = 0; task < Json.integer(jobs.get(id), "beads", 0); task++) {
            if (!isTaskDone(id, task)) {
                throw new AssertionError("not_done: " + id + "/" + task);
            }
        }
    }

    /** Whether the task is done. All tasks of a gang are done as soon as one of them is. */
    public boolean isTaskDone(String id, int task) {
        return isGang(id)
                ? completedTasks.stream().anyMatch(done -> done.startsWith(id + "/"))
                : completedTasks.contains(id + "/" + task);
    }

    /**
     * Adds a job that was accepted before the simulation started; {@code done} are the tasks that were done by then. Its
     * record holds the fields of the submission.
     */
    public void addExistingJob(Map<String, Object> record, BitSet done) {
        String id = Json.text(record, "name_id");
        jobs.put(id, record);
        reportedStates.put(id, "open");
        done.stream().forEach(task -> completedTasks.add(id + "/" + task));
    }

    /** Fails when a task of a cancelled job still runs after the time allowed for cancellation. */
    public void checkCancelled() {
        cancelledMicros.forEach((id, cancelledAtMicros) -> {
            for (String task : workerByRunningTask.keySet()) {
                if (task.startsWith(id + "/") && clock.nowMicros() > cancelledAtMicros + cancelMicros) {
                    throw new AssertionError("ran_cancelled: " + task);
                }
            }
        });
    }

    /**
     * Fails when a controller sends a start command after any controller has confirmed the cancellation, whether or not
     * the command reaches the worker.
     */
    void checkStartCommands(Map<String, Object> heartbeatResponse) {
        for (Object item : Json.list(heartbeatResponse.get("orders"))) {
            Map<String, Object> command = Json.object(item);
            String task = Json.text(command, "bead");
            if (!"run".equals(Json.text(command, "order"))) {
                continue;
            }
            if (cancelledMicros.containsKey(jobOf(task))) {
                throw new AssertionError("ran_cancelled: a response sent after the cancellation starts " + task);
            }
        }
    }

    public FakeWorker workerOf(String task) {
        return workerByRunningTask.get(task);
    }

    public int startsAfterCancellation() {
        return startsAfterCancellation;
    }

    public boolean hasCompleted(String task) {
        return completedTasks.contains(task);
    }

    public int runningTasks() {
        return workerByRunningTask.size();
    }

    @Override
    public long runMicros(String task) {
        String id = task.substring(0, task.indexOf('/'));
        return runMicros.getOrDefault(task, runMicros.getOrDefault(id, 10_000_000L));
    }

    @Override
    public long fetchMicros(String task) {
        return fetchMicros.getOrDefault(jobOf(task), 0L);
    }

    @Override
    public boolean isGangTask(String task) {
        return jobs.containsKey(jobOf(task)) && isGang(jobOf(task));
    }

    private static String jobOf(String task) {
        return task.substring(0, task.indexOf('/'));
    }

    @Override
    public void taskStarted(FakeWorker worker, String task, int attempt) {
        String id = jobOf(task);
        if (workerByRunningTask.containsKey(task)) {
            throw new AssertionError("ran_twice: " + task);
        }
        Long cancelledAtMicros = cancelledMicros.get(id);
        if (cancelledAtMicros != null && clock.nowMicros() > cancelledAtMicros + cancelMicros) {
            throw new AssertionError("ran_cancelled: " + task);
        }
        startsAfterCancellation += cancelledAtMicros == null ? 0 : 1;
        Map<String, Object> job = jobs.get(id);
        if (job == null) {
            throw new AssertionError("task of an unknown job: " + task);
        }
        checkPlacement(job, id, worker);
        workerByRunningTask.put(task, worker);
        starts.merge(task, 1, Integer::sum);
        checkQuota();
        startListener.accept(task, attempt);
        if (isGang(id)) {
            startGangIfComplete(id, attempt);
        }
    }

    private void startGangIfComplete(String id, int attempt) {
        int tasks = taskCount(id);
        for (int task = 0; task < tasks; task++) {
            String member = id + "/" + task;
            FakeWorker worker = workerByRunningTask.get(member);
            if (worker == null || worker.tasks().attempt(member) != attempt) {
                return;
            }
        }
        for (int task = 0; task < tasks; task++) {
            String member = id + "/" + task;
            workerByRunningTask.get(member).tasks().startWithGang(member);
        }
    }

    private int taskCount(String id) {
        return (int) Json.integer(jobs.get(id), "beads", 0);
    }

    @Override
    public void machineFrozen(FakeWorker worker) {
        Map<String, Set<Integer>> attemptsByGang = new LinkedHashMap<>();
        for (String task : worker.presentTasks()) {
            if (isGangTask(task)) {
                attemptsByGang
                        .computeIfAbsent(jobOf(task), id -> new LinkedHashSet<>())
                        .add(worker.tasks().attempt(task));
            }
        }
        attemptsByGang.forEach((id, attempts) -> attempts.forEach(attempt -> clock.after(GANG_PEER_MICROS, () -> {
            if (worker.isFrozenFor(GANG_PEER_MICROS)) {
                failGangMembers(id, attempt);
            }
        })));
    }

    /** Ends the members of the gang that still run this attempt. */
    private void failGangMembers(String id, int attempt) {
        if (isTaskDone(id, 0)) {
            return;
        }
        new LinkedHashMap<>(workerByRunningTask).forEach((member, worker) -> {
            if (jobOf(member).equals(id)) {
                worker.tasks().gangMemberLost(member, attempt);
            }
        });
    }

    private void checkPlacement(Map<String, Object> job, String id, FakeWorker worker) {
        FakeCloud.RentedMachine machine = worker.machine();
        boolean violated =
                job.get("rigs") != null && !Json.list(job.get("rigs")).contains(machine.type())
                        || job.get("yard") != null && !job.get("yard").equals(machine.zone())
                        || !Json.flag(job, "loaners") && machine.spot();
        Set<String> zones = new HashSet<>();
        int sameZone = 1;
        for (Map.Entry<String, FakeWorker> entry : workerByRunningTask.entrySet()) {
            if (entry.getKey().startsWith(id + "/")) {
                String zone = entry.getValue().machine().zone();
                zones.add(zone);
                sameZone += zone.equals(machine.zone()) ? 1 : 0;
            }
        }
        zones.add(machine.zone());
        long tasks = Json.integer(job, "beads", 0);
        violated |= Json.flag(job, "together") && zones.size() > 1;
        violated |= Json.flag(job, "apart") && sameZone > (tasks + 1) / 2;
        if (violated) {
            throw new AssertionError("wrong_place: " + id + " on " + machine);
        }
    }

    /** Checks all teams: any of them may have come to exceed its limit since the last check. */
    private void checkQuota() {
        for (Settings.Team team : teams) {
            checkQuota(team);
        }
    }

    private void checkQuota(Settings.Team team) {
        double cpus = 0;
        double gpus = 0;
        for (String task : workerByRunningTask.keySet()) {
            Map<String, Object> job = jobs.get(jobOf(task));
            if (team.name().equals(Json.text(job, "crew"))) {
                cpus += Json.decimal(job, "cpus", 0);
                gpus += Json.decimal(job, "gpus", 0);
            }
        }
        if (cpus > team.cpusMax() + ROUNDING_TOLERANCE || gpus > team.gpusMax() + ROUNDING_TOLERANCE) {
            throw new AssertionError("quota: " + team.name() + " uses " + cpus + " CPUs and " + gpus + " GPUs with "
                    + new TreeSet<>(workerByRunningTask.keySet()));
        }
    }

    @Override
    public void taskEnded(FakeWorker worker, String task) {
        if (!workerByRunningTask.remove(task, worker) || !isGangTask(task)) {
            return;
        }
        String id = jobOf(task);
        int tasks = taskCount(id);
        for (int other = 0; other < tasks; other++) {
            String member = id + "/" + other;
            FakeWorker remaining = workerByRunningTask.get(member);
            if (remaining != null) {
                int attempt = remaining.tasks().attempt(member);
                clock.after(GANG_PEER_MICROS, () -> failGangMembers(id, attempt));
                return;
            }
        }
    }

    @Override
    public void taskCompleted(String task) {
        completedTasks.add(task);
        String id = task.substring(0, task.indexOf('/'));
        if (isGang(id)) {
            for (Map.Entry<String, FakeWorker> member : new ArrayList<>(workerByRunningTask.entrySet())) {
                if (member.getKey().startsWith(id + "/")) {
                    member.getValue().tasks().completeWithGang(member.getKey());
                }
            }
        }
    }

    private boolean isGang(String id) {
        return "ensemble".equals(jobs.get(id).get("shape"));
    }

    /**
     * The tasks of a gang complete together: none completes while a member does not run. The members detect a frozen machine
     * only after {@link #GANG_PEER_MICROS} and may complete until then.
     */
    @Override
    public boolean mayComplete(String task) {
        String id = task.substring(0, task.indexOf('/'));
        if (!isGang(id)) {
            return true;
        }
        for (int member = 0; member < Json.integer(jobs.get(id), "beads", 0); member++) {
            FakeWorker worker = workerByRunningTask.get(id + "/" + member);
            if (worker == null || worker.isFrozenFor(GANG_PEER_MICROS)) {
                return false;
            }
        }
        return true;
    }
}
