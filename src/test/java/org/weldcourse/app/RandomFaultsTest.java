package org.weldcourse.app;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeSet;
import org.junit.jupiter.api.Test;
import org.weldcourse.settings.OperatorSettings;
import org.weldcourse.settings.Settings;
import org.weldcourse.simulation.FakeNetwork;
import org.weldcourse.simulation.FakeWorker;
import org.weldcourse.simulation.MessageRepeater;
import org.weldcourse.simulation.RandomJob;
import org.weldcourse.simulation.SimulatedCluster;

/**
 * Guards against broken invariants and jobs that never end when several random faults coincide while every team is at
 * its limit. The simulated cluster fails a run in which an invariant breaks; each run must also end with every
 * accepted job over.
 */
class RandomFaultsTest {
    private static final int SEED_COUNT = Integer.getInteger("weldcourse.fault-seeds", 60);
    private static final int FIRST_SEED = Integer.getInteger("weldcourse.first-fault-seed", 0);
    private static final int NODES = 3;
    private static final int EVENTS = 90;
    private static final int MAX_OPEN_JOBS = 40;
    private static final long MAX_EVENT_GAP_MICROS = 1_200_000;
    private static final long COPY_INTERVAL_MICROS = 700_000;
    private static final int COPIED_REPORTS = 5;
    /** Longer than any task runs: when no task starts and no job ends in this time, a job is stuck. */
    private static final int MAX_IDLE_SECONDS = 90;

    private static final List<Settings.Team> TEAMS = List.of(
            new Settings.Team("core", 4, 16, 0, 0),
            new Settings.Team("edge", 0, 12, 0, 0),
            new Settings.Team("capped", 0, 8, 0, 0));

    private static final List<String> TEAM_NAMES =
            TEAMS.stream().map(Settings.Team::name).toList();

    /** The faults that a run injects, each with the same probability. */
    private enum Fault {
        NODE_KILLED,
        NODE_RESTARTED,
        LEADER_KILLED,
        ALL_NODES_KILLED,
        NODE_PAUSED,
        STORE_UNREACHABLE,
        STORE_REFUSES_NODE,
        STORE_DOWN,
        STORE_SLOW,
        PEERS_UNREACHABLE,
        RESPONSES_LOST,
        CLOUD_DOWN,
        MACHINE_HUNG,
        MACHINE_CANNOT_RECEIVE,
        MACHINE_CANNOT_SEND,
        MACHINE_UNREACHABLE,
        MACHINE_RESTARTED,
        MACHINE_PREEMPTION_NOTICE,
        STALE_HEARTBEAT
    }

    private static final class FaultRun {
        private final Random random;
        private final SimulatedCluster cluster;
        private final Map<Fault, Integer> injectedFaults;
        private final Map<String, Map<String, Object>> accepted = new LinkedHashMap<>();
        private final List<String> endlessJobs = new ArrayList<>();
        private final List<String> killedNodes = new ArrayList<>();
        /** Whether the store has low limits and tasks are small, so that jobs have many tasks and several records. */
        private final boolean smallRecords;

        private int submittedJobs;

        FaultRun(long seed, OperatorSettings.TeamLimitSource limits, Map<Fault, Integer> injectedFaults) {
            random = new Random(seed);
            smallRecords = seed % 2 == 1;
            cluster = smallRecords
                    ? new SimulatedCluster(NODES, 4 + (int) (seed / 2 % 5), 640 + (int) (seed % 7) * 300, TEAMS, limits)
                    : new SimulatedCluster(NODES, 16, 32 * 1024, TEAMS, limits);
            cluster.cloud.capacity = 3 + (int) (seed % 11);
            this.injectedFaults = injectedFaults;
        }

        int totalStarts() {
            return cluster.starts.values().stream().mapToInt(Integer::intValue).sum();
        }

        void run(boolean repeatsMessages) {
            cluster.clock.passSeconds(8);
            if (repeatsMessages) {
                new MessageRepeater(cluster, COPY_INTERVAL_MICROS, COPIED_REPORTS).start();
            }
            cluster.network.injectFaults((from, call) -> messageFault(call.path()));
            for (int i = 0; i < EVENTS; i++) {
                submitOrCancel();
                if (random.nextInt(3) == 0) {
                    inject(Fault.values()[random.nextInt(Fault.values().length)]);
                }
                cluster.clock.pass(random.nextInt((int) MAX_EVENT_GAP_MICROS));
            }
            healAndAwaitJobs();
        }

        private long messageFault(String path) {
            int draw = random.nextInt(300);
            if (path.startsWith("/watch") || draw > 3) {
                return FakeNetwork.NORMAL;
            }
            return switch (draw) {
                case 0 -> FakeNetwork.RESPONSE_LOST;
                case 1 -> FakeNetwork.responseDelayedBy(random.nextInt(3_000_000));
                default -> 2_000_000 + random.nextInt(14_000_000);
            };
        }

        private String randomNode() {
            return cluster.alive().isEmpty()
                    ? null
                    : cluster.alive().get(random.nextInt(cluster.alive().size()));
        }

        private void submitOrCancel() {
            String node = randomNode();
            if (node == null) {
                return;
            }
            if (random.nextInt(6) == 0 && !accepted.isEmpty()) {
                String id = new ArrayList<>(accepted.keySet()).get(random.nextInt(accepted.size()));
                cluster.cancelAsync(node, id);
            } else if (cluster.store.keys("open/").size() < MAX_OPEN_JOBS) {
                submit(node);
            }
        }

        private void submit(String node) {
            String id = String.format("req-%06d", ++submittedJobs);
            Map<String, Object> body = RandomJob.body(random, id, TEAM_NAMES, smallRecords);
            if (RandomJob.drawTimes(random, cluster.invariants(), body, 500_000, 25_000_000, 2_000_000)) {
                endlessJobs.add(id);
            }
            cluster.submitAsync(node, body, answer -> {
                if (answer.status() == 200 || answer.status() == 201) {
                    accepted.put(id, body);
                }
            });
        }

        private void schedule(int minDelayMicros, int maxDelayMicros, Runnable action) {
            cluster.clock.after(minDelayMicros + random.nextInt(maxDelayMicros - minDelayMicros), action);
        }

        private void inject(Fault fault) {
            boolean injected =
                    switch (fault) {
                        case NODE_KILLED -> killAndRestart(randomNode(), 2_000_000, 20_000_000);
                        case NODE_RESTARTED -> killAndRestart(randomNode(), 1, 500_000);
                        case LEADER_KILLED -> killAndRestart(cluster.leader(), 200_000, 15_000_000);
                        case ALL_NODES_KILLED -> killAndRestartAll();
                        case NODE_PAUSED -> pauseForAWhile(random.nextBoolean() ? cluster.leader() : randomNode());
                        case STORE_UNREACHABLE, STORE_REFUSES_NODE, PEERS_UNREACHABLE, RESPONSES_LOST ->
                            disruptConnections(fault, random.nextBoolean() ? cluster.leader() : randomNode());
                        case STORE_DOWN -> {
                            cluster.store.down(true);
                            schedule(1_000_000, 12_000_000, () -> cluster.store.down(false));
                            yield true;
                        }
                        case STORE_SLOW -> {
                            cluster.slowStore(300_000 + random.nextInt(2_000_000));
                            schedule(1_000_000, 12_000_000, () -> cluster.slowStore(0));
                            yield true;
                        }
                        case CLOUD_DOWN -> {
                            cluster.cloud.down(true);
                            schedule(2_000_000, 25_000_000, () -> cluster.cloud.down(false));
                            yield true;
                        }
                        default -> injectIntoMachines(fault);
                    };
            injectedFaults.merge(fault, injected ? 1 : 0, Integer::sum);
        }

        private boolean killAndRestart(String node, int minDelayMicros, int maxDelayMicros) {
            if (node == null || killedNodes.contains(node)) {
                return false;
            }
            cluster.resumeNode(node);
            cluster.killNode(node);
            killedNodes.add(node);
            schedule(minDelayMicros, maxDelayMicros, () -> restart(node));
            return true;
        }

        private void restart(String node) {
            if (killedNodes.remove(node)) {
                cluster.startNode(node);
            }
        }

        private boolean killAndRestartAll() {
            boolean anyAlive = !cluster.alive().isEmpty();
            new ArrayList<>(cluster.alive()).forEach(node -> killAndRestart(node, 100_000, 16_000_000));
            return anyAlive;
        }

        private boolean pauseForAWhile(String node) {
            if (node == null) {
                return false;
            }
            cluster.pauseNode(node);
            schedule(200_000, 14_000_000, () -> {
                if (cluster.alive().contains(node)) {
                    cluster.resumeNode(node);
                }
            });
            return true;
        }

        private boolean disruptConnections(Fault fault, String node) {
            if (node == null) {
                return false;
            }
            switch (fault) {
                case STORE_UNREACHABLE -> cluster.cutFromStore(node);
                case STORE_REFUSES_NODE -> cluster.refuseStore(node, true);
                case PEERS_UNREACHABLE -> {
                    cluster.cutFromPeers(node);
                    cluster.cutFromStore(node);
                }
                default -> cluster.loseResponses(node, true);
            }
            schedule(1_000_000, 30_000_000, () -> restoreConnections(node));
            return true;
        }

        private void restoreConnections(String node) {
            cluster.healStoreLink(node);
            cluster.refuseStore(node, false);
            cluster.healPeerLinks(node);
            cluster.loseResponses(node, false);
        }

        private boolean injectIntoMachines(Fault fault) {
            List<String> names = new ArrayList<>(cluster.workers.keySet());
            int machineCount = Math.min(names.size(), 1 + random.nextInt(3));
            for (int i = 0; i < machineCount; i++) {
                injectIntoMachine(fault, names.remove(random.nextInt(names.size())));
            }
            return machineCount > 0;
        }

        private void injectIntoMachine(Fault fault, String machine) {
            FakeWorker worker = cluster.workers.get(machine);
            switch (fault) {
                case MACHINE_HUNG -> {
                    worker.freeze(true);
                    schedule(500_000, 16_000_000, () -> worker.freeze(false));
                }
                case MACHINE_CANNOT_RECEIVE -> {
                    cluster.cutResponsesAndCommands(machine);
                    schedule(1_000_000, 25_000_000, () -> cluster.healMachineLinks(machine));
                }
                case MACHINE_CANNOT_SEND -> {
                    cluster.cutHeartbeats(machine);
                    schedule(1_000_000, 25_000_000, () -> cluster.healMachineLinks(machine));
                }
                case MACHINE_UNREACHABLE -> {
                    cluster.cutHeartbeats(machine);
                    cluster.cutResponsesAndCommands(machine);
                    schedule(1_000_000, 25_000_000, () -> cluster.healMachineLinks(machine));
                }
                case MACHINE_RESTARTED -> cluster.restartMachine(machine);
                case MACHINE_PREEMPTION_NOTICE -> worker.announcePreemption(5_000_000 + random.nextInt(10_000_000));
                default -> replayHeartbeats(worker);
            }
        }

        /** Sends copies of some of the worker's heartbeats to all controllers, some of them after a leader change. */
        private void replayHeartbeats(FakeWorker worker) {
            List<Map<String, Object>> heartbeats = worker.heartbeats();
            for (int i = 0; i < 3 && !heartbeats.isEmpty(); i++) {
                Map<String, Object> copy =
                        heartbeats.get(heartbeats.size() - 1 - random.nextInt(Math.min(20, heartbeats.size())));
                schedule(1, 20_000_000, () -> cluster.alive()
                        .forEach(node -> cluster.postAsync(node, "/checkin", copy)));
            }
        }

        /** Heals all faults, then checks that every accepted job ends. */
        private void healAndAwaitJobs() {
            cluster.network.injectFaults((from, call) -> FakeNetwork.NORMAL);
            cluster.clock.passSeconds(31);
            new ArrayList<>(killedNodes).forEach(this::restart);
            cluster.clock.passSeconds(15);
            for (String id : endlessJobs) {
                if (accepted.containsKey(id)) {
                    cluster.cancel(randomNode(), id);
                }
            }
            int idleSeconds = 0;
            while (!cluster.store.keys("open/").isEmpty() && idleSeconds < MAX_IDLE_SECONDS) {
                int progressBefore = totalStarts() - cluster.store.keys("open/").size();
                cluster.clock.passSeconds(1);
                cluster.store.keys("open/").forEach(this::cancelUnanswered);
                int progressAfter = totalStarts() - cluster.store.keys("open/").size();
                idleSeconds = progressAfter == progressBefore ? idleSeconds + 1 : 0;
            }
            assertEquals(List.of(), cluster.store.keys("open/"), this::describeRecords);
            accepted.keySet().forEach(id -> assertNotNull(cluster.store.value("final/" + id), id));
        }

        /** Cancels a service whose user got no answer to the submission and thus can't cancel it. */
        private void cancelUnanswered(String key) {
            String id = key.substring("open/".length());
            if (endlessJobs.contains(id)) {
                cluster.cancel(randomNode(), id);
            }
        }

        private String describeRecords() {
            StringBuilder text = new StringBuilder();
            for (String prefix : List.of("open/", "slices/")) {
                cluster.store
                        .keys(prefix)
                        .forEach(
                                key -> text.append('\n').append(key).append(' ').append(cluster.store.value(key)));
            }
            return text.toString();
        }
    }

    private static void runAllSeeds(OperatorSettings.TeamLimitSource limits, boolean repeatsMessages) {
        Map<Fault, Integer> injectedFaults = new EnumMap<>(Fault.class);
        int starts = 0;
        List<String> failures = new ArrayList<>();
        for (int seed = FIRST_SEED; seed < FIRST_SEED + SEED_COUNT; seed++) {
            FaultRun run = new FaultRun(seed, limits, injectedFaults);
            try {
                run.run(repeatsMessages);
            } catch (AssertionError | RuntimeException failure) {
                failures.add("seed " + seed + ": " + failure);
            }
            starts += run.totalStarts();
        }
        System.out.printf(
                "random faults, limits of %s, seeds %d to %d: %d starts, %s%n",
                limits,
                FIRST_SEED,
                FIRST_SEED + SEED_COUNT - 1,
                starts,
                new TreeSet<>(
                        injectedFaults.entrySet().stream().map(Object::toString).toList()));
        assertEquals(List.of(), failures);
        for (Fault fault : Fault.values()) {
            assertTrue(injectedFaults.getOrDefault(fault, 0) > 0, fault + " was never injected");
        }
        assertTrue(starts > 10 * SEED_COUNT, starts + " starts");
    }

    @Test
    void invariantsHoldWithTeamLimitsOfTheSettings() {
        runAllSeeds(OperatorSettings.TeamLimitSource.SETTINGS, false);
    }

    @Test
    void invariantsHoldWithRecordedTeamLimits() {
        runAllSeeds(OperatorSettings.TeamLimitSource.RECORDED, false);
    }

    /** Copies of responses, direct commands and reports arrive again, beside all other faults. */
    @Test
    void invariantsHoldWithCopiesOfMessages() {
        runAllSeeds(OperatorSettings.TeamLimitSource.SETTINGS, true);
    }
}
