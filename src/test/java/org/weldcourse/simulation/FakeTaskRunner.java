package org.weldcourse.simulation;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.weldcourse.http.Json;

/**
 * Runs the tasks of one fake worker, from the image pull to the exit. {@link TaskBehavior} decides how long pulls and runs
 * take.
 */
final class FakeTaskRunner {
    private static final long GANG_COMPLETION_RETRY_MICROS = 100_000;
    private static final long GANG_WAIT_MICROS = 40_000_000;
    /** A run time that stands for an exit with an error. */
    private static final long FAILURE = -1;

    private final FakeWorker worker;
    private final FakeClock clock;
    private final TaskBehavior behavior;
    private final Map<String, FakeTask> tasks = new LinkedHashMap<>();
    /** The attempts that the worker was told to run and not to forget; to run one of them again has no effect. */
    private final Map<String, Set<Integer>> knownAttempts = new HashMap<>();

    FakeTaskRunner(FakeWorker worker, FakeClock clock, TaskBehavior behavior) {
        this.worker = worker;
        this.clock = clock;
        this.behavior = behavior;
    }

    /** Tasks that have not exited. */
    List<String> active() {
        List<String> present = new ArrayList<>();
        tasks.forEach((id, task) -> {
            if (!task.isExited()) {
                present.add(id);
            }
        });
        return present;
    }

    /** Number of tasks that a heartbeat lists, including exited tasks that the leader has not told the worker to forget. */
    int count() {
        return tasks.size();
    }

    /** Returns the task list of a heartbeat. */
    List<Object> statuses() {
        List<Object> statuses = new ArrayList<>();
        tasks.forEach((id, task) -> {
            Map<String, Object> status = Json.of("bead", id, "strike", task.attempt, "heat", task.state);
            if (task.cause != null) {
                status.put("cause", task.cause);
            }
            statuses.add(status);
        });
        return statuses;
    }

    /** Kills all tasks without reporting an exit. */
    void dropAll() {
        new ArrayList<>(tasks.keySet()).forEach(this::drop);
        knownAttempts.clear();
    }

    void execute(List<Object> commands) {
        for (Object item : commands) {
            Map<String, Object> command = Json.object(item);
            String taskId = Json.text(command, "bead");
            int attempt = (int) Json.integer(command, "strike", 0);
            FakeTask task = tasks.get(taskId);
            switch (Json.text(command, "order")) {
                case "run" -> run(taskId, attempt, task);
                case "halt" -> {
                    if (task != null && task.attempt == attempt && !task.isExited()) {
                        exit(taskId, task, "stopped");
                    }
                }
                default -> {
                    if (task != null && task.attempt == attempt && task.isExited()) {
                        tasks.remove(taskId);
                        knownAttempts.get(taskId).remove(attempt);
                        worker.scheduleHeartbeat();
                    }
                }
            }
        }
    }

    private void run(String taskId, int attempt, FakeTask task) {
        if (knownAttempts.getOrDefault(taskId, Set.of()).contains(attempt)) {
            return;
        }
        if (task != null && !task.isExited()) {
            throw new AssertionError(taskId + " was started while another attempt of it was active on "
                    + worker.machine().name());
        }
        FakeTask newTask = new FakeTask(attempt);
        tasks.put(taskId, newTask);
        knownAttempts.computeIfAbsent(taskId, id -> new HashSet<>()).add(attempt);
        long fetchMicros = behavior.fetchMicros(taskId);
        if (fetchMicros > 0) {
            clock.after(fetchMicros, () -> worker.runWhenNotFrozen(() -> imageFetched(taskId, newTask)));
        } else {
            imageFetched(taskId, newTask);
        }
        worker.scheduleHeartbeat();
    }

    private void imageFetched(String taskId, FakeTask task) {
        if (tasks.get(taskId) != task || !task.state.equals(FakeTask.FETCHING)) {
            return;
        }
        boolean waitsForGang = behavior.isGangTask(taskId);
        task.state = waitsForGang ? FakeTask.GATHERING : FakeTask.RUNNING;
        behavior.taskStarted(worker, taskId, task.attempt);
        if (!waitsForGang) {
            enterRunning(taskId, task);
        } else {
            clock.after(GANG_WAIT_MICROS, () -> worker.runWhenNotFrozen(() -> failIfGangIncomplete(taskId, task)));
        }
        worker.scheduleHeartbeat();
    }

    private void failIfGangIncomplete(String taskId, FakeTask task) {
        if (tasks.get(taskId) == task && task.state.equals(FakeTask.GATHERING)) {
            exit(taskId, task, "alone");
        }
    }

    /** Starts the task: all members of its gang have their image. */
    void startWithGang(String taskId) {
        worker.runWhenNotFrozen(() -> {
            FakeTask task = tasks.get(taskId);
            if (task != null && task.state.equals(FakeTask.GATHERING)) {
                enterRunning(taskId, task);
                worker.scheduleHeartbeat();
            }
        });
    }

    private void enterRunning(String taskId, FakeTask task) {
        task.state = FakeTask.RUNNING;
        long runMicros = worker.failsNextTask() ? FAILURE : behavior.runMicros(taskId);
        if (runMicros < Long.MAX_VALUE) {
            clock.after(
                    runMicros,
                    () -> worker.runWhenNotFrozen(() -> finish(taskId, task, runMicros < 0 ? "error" : "done")));
        }
    }

    /** The attempt of an active task, or 0. */
    int attempt(String taskId) {
        FakeTask task = tasks.get(taskId);
        return task == null || task.isExited() ? 0 : task.attempt;
    }

    /** Ends a member of a running gang that has lost another member. */
    void gangMemberLost(String taskId, int attempt) {
        worker.runWhenNotFrozen(() -> {
            FakeTask task = tasks.get(taskId);
            if (task != null && task.attempt == attempt && task.state.equals(FakeTask.RUNNING)) {
                exit(taskId, task, "mates_gone");
            }
        });
    }

    private void finish(String taskId, FakeTask task, String cause) {
        if (tasks.get(taskId) != task || !task.state.equals(FakeTask.RUNNING)) {
            return;
        }
        if (cause.equals("done") && !behavior.mayComplete(taskId)) {
            clock.after(GANG_COMPLETION_RETRY_MICROS, () -> worker.runWhenNotFrozen(() -> finish(taskId, task, cause)));
            return;
        }
        exit(taskId, task, cause);
    }

    /** Completes the task together with another member of its gang. */
    void completeWithGang(String taskId) {
        // A frozen machine completes its task only after it resumes.
        worker.runWhenNotFrozen(() -> {
            FakeTask task = tasks.get(taskId);
            if (task != null && task.state.equals(FakeTask.RUNNING)) {
                exit(taskId, task, "done");
            }
        });
    }

    private void exit(String taskId, FakeTask task, String cause) {
        boolean wasActive = !task.state.equals(FakeTask.FETCHING);
        task.state = FakeTask.EXITED;
        task.cause = cause;
        if (wasActive) {
            behavior.taskEnded(worker, taskId);
        }
        if (cause.equals("done")) {
            behavior.taskCompleted(taskId);
        }
        worker.scheduleHeartbeat();
    }

    private void drop(String taskId) {
        FakeTask task = tasks.remove(taskId);
        if (task != null && !task.isExited() && !task.state.equals(FakeTask.FETCHING)) {
            behavior.taskEnded(worker, taskId);
        }
    }
}
