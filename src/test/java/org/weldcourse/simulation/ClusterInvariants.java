package org.weldcourse.simulation;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.BiConsumer;
import org.weldcourse.http.Json;
import org.weldcourse.settings.Settings;
import org.weldcourse.simulation.SimulatedCluster.ApiResponse;

/**
 * The rules of the protocol, watched from outside: what tasks do on machines, and what users are told. A task is on its
 * machine from the moment it has its image until it exits, is killed or the machine is gone, also while the machine hangs or
 * can't be reached.
 */
public final class ClusterInvariants implements TaskBehavior {
    /** Within this time the tasks of a running gang notice that one of them is gone or its machine hangs. */
    private static final long GANG_PEER_MICROS = 4_000_000;

    private static final double ROUNDING = 1e-9;

    public final Map<String, Integer> starts = new HashMap<>();
    public final Map<String, Map<String, Object>> jobs = new HashMap<>();
    public final Map<String, Long> runMicros = new HashMap<>();
    private final Map<String, FakeWorker> workerByRunningTask = new HashMap<>();
    private final Map<String, Long> cancelledMicros = new HashMap<>();
    private final Set<String> completedTasks = new HashSet<>();
    /** The latest that any node told of a job. */
    private final Map<String, String> reportedStates = new HashMap<>();

    /** How long the image of a job's tasks takes, where it is not there at once. */
    public final Map<String, Long> fetchMicros = new HashMap<>();

    private final FakeClock clock;
    private final List<Settings.Team> teams;
    private final long cancelMicros;
    private BiConsumer<String, Integer> setStartListener = (task, attempt) -> {};
    private int startsAfterCancellation;

    public ClusterInvariants(FakeClock clock, List<Settings.Team> teams, long cancelMicros) {
        this.clock = clock;
        this.teams = teams;
        this.cancelMicros = cancelMicros;
    }

    /** Told of each task that starts, after the rules were checked. */
    public void setStartListener(BiConsumer<String, Integer> listener) {
        setStartListener = listener;
    }

    /** Told as well, after the listener that was there before. */
    public void addStartListener(BiConsumer<String, Integer> listener) {
        setStartListener = setStartListener.andThen(listener);
    }

    /** The latest that any node told of the job, or null. */
    public String lastReportedState(String id) {
        return reportedStates.get(id);
    }

    /** Fails when an answer is older than what was told before its question, or is not true. */
    public ApiResponse checkResponse(String id, String before, ApiResponse answer) {
        if (answer.status() != 200 && answer.status() != 201) {
            if (before != null && (answer.status() == 404 || answer.status() == 400 || answer.status() == 422)) {
                throw new AssertionError("forgotten: " + id + " after " + before + ": " + answer);
            }
            return answer;
        }
        if (!jobs.containsKey(id)) {
            throw new AssertionError("invented: " + id);
        }
        boolean over = "done".equals(answer.state()) || "cancelled".equals(answer.state());
        if (before != null && !before.equals("open") && !before.equals(answer.state())) {
            throw new AssertionError("went_back: " + id + " from " + before + ": " + answer);
        }
        if ("done".equals(answer.state())) {
            checkDone(id);
        }
        if ("cancelled".equals(answer.state())) {
            cancelledMicros.putIfAbsent(id, clock.nowMicros());
        }
        if (over || !reportedStates.containsKey(id)) {
            reportedStates.put(id, over ? answer.state() : "open");
        }
        return answer;
    }

    private void checkDone(String id) {
        for (int task = 0; task < Json.integer(jobs.get(id), "beads", 0); task++) {
            if (!isTaskDone(id, task)) {
                throw new AssertionError("not_done: " + id + "/" + task);
            }
        }
    }

    /** Whether the task is done; all tasks of a gang are with whichever of them is the first. */
    public boolean isTaskDone(String id, int task) {
        return isGang(id)
                ? completedTasks.stream().anyMatch(done -> done.startsWith(id + "/"))
                : completedTasks.contains(id + "/" + task);
    }

    /** A job that was accepted, and partly done, before this world began: its record holds the user's words. */
    public void addExistingJob(Map<String, Object> record, BitSet done) {
        String id = Json.text(record, "name_id");
        jobs.put(id, record);
        reportedStates.put(id, "open");
        done.stream().forEach(task -> completedTasks.add(id + "/" + task));
    }

    /** Fails when a task of a cancelled job is still somewhere after the time that the rules allow. */
    public void checkCancelled() {
        cancelledMicros.forEach((id, at) -> {
            for (String task : workerByRunningTask.keySet()) {
                if (task.startsWith(id + "/") && clock.nowMicros() > at + cancelMicros) {
                    throw new AssertionError("ran_cancelled: " + task);
                }
            }
        });
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
        Long cancelled = cancelledMicros.get(id);
        if (cancelled != null && clock.nowMicros() > cancelled + cancelMicros) {
            throw new AssertionError("ran_cancelled: " + task);
        }
        startsAfterCancellation += cancelled == null ? 0 : 1;
        Map<String, Object> job = jobs.get(id);
        if (job == null) {
            throw new AssertionError("a task of no job: " + task);
        }
        checkPlacement(job, id, worker);
        workerByRunningTask.put(task, worker);
        starts.merge(task, 1, Integer::sum);
        checkQuota();
        setStartListener.accept(task, attempt);
        if (isGang(id)) {
            startGangIfComplete(id, attempt);
        }
    }

    private void startGangIfComplete(String id, int attempt) {
        List<String> members = tasksOf(id);
        for (String member : members) {
            FakeWorker worker = workerByRunningTask.get(member);
            if (worker == null || worker.tasks().attempt(member) != attempt) {
                return;
            }
        }
        members.forEach(member -> workerByRunningTask.get(member).tasks().startWithGang(member));
    }

    private List<String> tasksOf(String id) {
        List<String> tasks = new ArrayList<>();
        for (int task = 0; task < Json.integer(jobs.get(id), "beads", 0); task++) {
            tasks.add(id + "/" + task);
        }
        return tasks;
    }

    @Override
    public void machineFrozen(FakeWorker worker) {
        for (String task : worker.presentTasks()) {
            if (isGangTask(task)) {
                int attempt = worker.tasks().attempt(task);
                clock.after(GANG_PEER_MICROS, () -> {
                    if (worker.isFrozenFor(GANG_PEER_MICROS)) {
                        failGangMembers(jobOf(task), attempt);
                    }
                });
            }
        }
    }

    /** The tasks of the gang that still run give up. */
    private void failGangMembers(String id, int attempt) {
        if (isTaskDone(id, 0)) {
            return;
        }
        for (String member : tasksOf(id)) {
            FakeWorker worker = workerByRunningTask.get(member);
            if (worker != null) {
                worker.tasks().gangMemberLost(member, attempt);
            }
        }
    }

    private void checkPlacement(Map<String, Object> job, String id, FakeWorker worker) {
        FakeCloud.RentedMachine at = worker.machine();
        boolean wrong = job.get("rigs") != null && !Json.list(job.get("rigs")).contains(at.type())
                || job.get("yard") != null && !job.get("yard").equals(at.zone())
                || !Json.flag(job, "loaners") && at.spot();
        Set<String> zones = new HashSet<>();
        int sameZone = 1;
        for (Map.Entry<String, FakeWorker> entry : workerByRunningTask.entrySet()) {
            if (entry.getKey().startsWith(id + "/")) {
                String zone = entry.getValue().machine().zone();
                zones.add(zone);
                sameZone += zone.equals(at.zone()) ? 1 : 0;
            }
        }
        zones.add(at.zone());
        long tasks = Json.integer(job, "beads", 0);
        wrong |= Json.flag(job, "together") && zones.size() > 1;
        wrong |= Json.flag(job, "apart") && sameZone > (tasks + 1) / 2;
        if (wrong) {
            throw new AssertionError("wrong_place: " + id + " on " + at);
        }
    }

    /** All teams, since what any of them has on machines may have become too much by now. */
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
        if (cpus > team.cpusMax() + ROUNDING || gpus > team.gpusMax() + ROUNDING) {
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
        for (String member : tasksOf(id)) {
            FakeWorker other = workerByRunningTask.get(member);
            if (other != null) {
                int attempt = other.tasks().attempt(member);
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
     * The tasks of a gang complete together: none does while one of them is not there. That its machine hangs the others
     * notice only after a while, and may have completed by then.
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
