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
import org.weldcourse.simulation.RandomJob;
import org.weldcourse.simulation.SimulatedCluster;

/**
 * Random days on the scripted world, with every team at its limit and two or three troubles at any moment. The world fails a
 * day on which a rule breaks; each day also has to end with every accepted job over.
 */
class RandomFaultsTest {
    private static final int SEEDS = Integer.getInteger("weldcourse.fault-seeds", 60);
    private static final int FROM = Integer.getInteger("weldcourse.first-fault-seed", 0);
    private static final int NODES = 3;
    private static final int EVENTS = 90;
    private static final int MOST_OPEN_JOBS = 40;
    private static final long MOST_EVENT_GAP_MICROS = 1_200_000;
    /** Longer than any task runs: without a start or an end in this time, something waits for ever. */
    private static final int MOST_IDLE_SECONDS = 90;

    private static final List<Settings.Team> TEAMS = List.of(
            new Settings.Team("core", 4, 16, 0, 0),
            new Settings.Team("edge", 0, 12, 0, 0),
            new Settings.Team("capped", 0, 8, 0, 0));

    private static final List<String> TEAM_NAMES =
            TEAMS.stream().map(Settings.Team::name).toList();

    /** What can go wrong, each as often as it stands in a list of its weight. */
    private enum Fault {
        NODE_KILLED,
        NODE_BACK_AT_ONCE,
        LEADER_KILLED,
        ALL_NODES_KILLED,
        NODE_PAUSED,
        STATE_CUT,
        STATE_REFUSES_ONE,
        STATE_OUT,
        STATE_SLOW,
        PEERS_CUT,
        ANSWERS_LOST,
        CLOUD_DOWN,
        MACHINE_HANGS,
        MACHINE_DEAF,
        MACHINE_MUTE,
        MACHINE_CUT,
        MACHINE_RESTARTED,
        MACHINE_NOTICE,
        STALE_HEARTBEAT
    }

    private static final class Day {
        private final Random random;
        private final SimulatedCluster world;
        private final Map<Fault, Integer> happened;
        private final Map<String, Map<String, Object>> accepted = new LinkedHashMap<>();
        private final List<String> endless = new ArrayList<>();
        private final List<String> down = new ArrayList<>();
        /** The state service takes little at once and tasks are small, so that jobs have many tasks and several records. */
        private final boolean small;

        private int submitted;

        Day(long seed, OperatorSettings.TeamLimitSource limits, Map<Fault, Integer> happened) {
            random = new Random(seed);
            small = seed % 2 == 1;
            world = small
                    ? new SimulatedCluster(NODES, 4 + (int) (seed / 2 % 5), 640 + (int) (seed % 7) * 300, TEAMS, limits)
                    : new SimulatedCluster(NODES, 16, 32 * 1024, TEAMS, limits);
            world.cloud.capacity = 3 + (int) (seed % 11);
            this.happened = happened;
        }

        int starts() {
            return world.starts.values().stream().mapToInt(Integer::intValue).sum();
        }

        void play() {
            world.clock.passSeconds(8);
            world.network.injectFaults((from, call) -> fate(call.path()));
            for (int i = 0; i < EVENTS; i++) {
                work();
                if (random.nextInt(3) == 0) {
                    trouble(Fault.values()[random.nextInt(Fault.values().length)]);
                }
                world.clock.pass(random.nextInt((int) MOST_EVENT_GAP_MICROS));
            }
            recover();
        }

        private long fate(String path) {
            int dice = random.nextInt(300);
            if (path.startsWith("/watch") || dice > 3) {
                return FakeNetwork.NORMAL;
            }
            return switch (dice) {
                case 0 -> FakeNetwork.RESPONSE_LOST;
                case 1 -> FakeNetwork.responseDelayedBy(random.nextInt(3_000_000));
                default -> 2_000_000 + random.nextInt(14_000_000);
            };
        }

        private String node() {
            return world.alive().isEmpty()
                    ? null
                    : world.alive().get(random.nextInt(world.alive().size()));
        }

        private void work() {
            String node = node();
            if (node == null) {
                return;
            }
            if (random.nextInt(6) == 0 && !accepted.isEmpty()) {
                String id = new ArrayList<>(accepted.keySet()).get(random.nextInt(accepted.size()));
                world.cancelAsync(node, id);
            } else if (world.store.keys("open/").size() < MOST_OPEN_JOBS) {
                submit(node);
            }
        }

        private void submit(String node) {
            String id = String.format("req-%06d", ++submitted);
            Map<String, Object> body = RandomJob.body(random, id, TEAM_NAMES, small);
            if (RandomJob.drawTimes(random, world.invariants(), body, 500_000, 25_000_000, 2_000_000)) {
                endless.add(id);
            }
            world.submitAsync(node, body, answer -> {
                if (answer.status() == 200 || answer.status() == 201) {
                    accepted.put(id, body);
                }
            });
        }

        private void soon(int leastMicros, int mostMicros, Runnable work) {
            world.clock.after(leastMicros + random.nextInt(mostMicros - leastMicros), work);
        }

        private void trouble(Fault fault) {
            boolean took =
                    switch (fault) {
                        case NODE_KILLED -> kill(node(), 2_000_000, 20_000_000);
                        case NODE_BACK_AT_ONCE -> kill(node(), 1, 500_000);
                        case LEADER_KILLED -> kill(world.leader(), 200_000, 15_000_000);
                        case ALL_NODES_KILLED -> killAll();
                        case NODE_PAUSED -> pause(random.nextBoolean() ? world.leader() : node());
                        case STATE_CUT, STATE_REFUSES_ONE, PEERS_CUT, ANSWERS_LOST ->
                            isolate(fault, random.nextBoolean() ? world.leader() : node());
                        case STATE_OUT -> {
                            world.store.down(true);
                            soon(1_000_000, 12_000_000, () -> world.store.down(false));
                            yield true;
                        }
                        case STATE_SLOW -> {
                            world.slowStore(300_000 + random.nextInt(2_000_000));
                            soon(1_000_000, 12_000_000, () -> world.slowStore(0));
                            yield true;
                        }
                        case CLOUD_DOWN -> {
                            world.cloud.down(true);
                            soon(2_000_000, 25_000_000, () -> world.cloud.down(false));
                            yield true;
                        }
                        default -> troubleMachines(fault);
                    };
            happened.merge(fault, took ? 1 : 0, Integer::sum);
        }

        private boolean kill(String node, int leastMicros, int mostMicros) {
            if (node == null || down.contains(node)) {
                return false;
            }
            world.resumeNode(node);
            world.killNode(node);
            down.add(node);
            soon(leastMicros, mostMicros, () -> back(node));
            return true;
        }

        private void back(String node) {
            if (down.remove(node)) {
                world.startNode(node);
            }
        }

        private boolean killAll() {
            boolean some = !world.alive().isEmpty();
            new ArrayList<>(world.alive()).forEach(node -> kill(node, 100_000, 16_000_000));
            return some;
        }

        private boolean pause(String node) {
            if (node == null) {
                return false;
            }
            world.pauseNode(node);
            soon(200_000, 14_000_000, () -> {
                if (world.alive().contains(node)) {
                    world.resumeNode(node);
                }
            });
            return true;
        }

        private boolean isolate(Fault fault, String node) {
            if (node == null) {
                return false;
            }
            switch (fault) {
                case STATE_CUT -> world.cutFromStore(node);
                case STATE_REFUSES_ONE -> world.refuseStore(node, true);
                case PEERS_CUT -> {
                    world.cutFromPeers(node);
                    world.cutFromStore(node);
                }
                default -> world.loseResponses(node, true);
            }
            soon(1_000_000, 30_000_000, () -> heal(node));
            return true;
        }

        private void heal(String node) {
            world.healStoreLink(node);
            world.refuseStore(node, false);
            world.healPeerLinks(node);
            world.loseResponses(node, false);
        }

        private boolean troubleMachines(Fault fault) {
            List<String> names = new ArrayList<>(world.workers.keySet());
            int most = Math.min(names.size(), 1 + random.nextInt(3));
            for (int i = 0; i < most; i++) {
                trouble(fault, names.remove(random.nextInt(names.size())));
            }
            return most > 0;
        }

        private void trouble(Fault fault, String machine) {
            FakeWorker worker = world.workers.get(machine);
            switch (fault) {
                case MACHINE_HANGS -> {
                    worker.freeze(true);
                    soon(500_000, 16_000_000, () -> worker.freeze(false));
                }
                case MACHINE_DEAF -> {
                    world.cutResponsesAndCommands(machine);
                    soon(1_000_000, 25_000_000, () -> world.healMachineLinks(machine));
                }
                case MACHINE_MUTE -> {
                    world.cutHeartbeats(machine);
                    soon(1_000_000, 25_000_000, () -> world.healMachineLinks(machine));
                }
                case MACHINE_CUT -> {
                    world.cutHeartbeats(machine);
                    world.cutResponsesAndCommands(machine);
                    soon(1_000_000, 25_000_000, () -> world.healMachineLinks(machine));
                }
                case MACHINE_RESTARTED -> world.restartMachine(machine);
                case MACHINE_NOTICE -> worker.announcePreemption(5_000_000 + random.nextInt(10_000_000));
                default -> replayHeartbeats(worker);
            }
        }

        /** Copies of some of its reports arrive again, everywhere, and some of them once a new leader is there. */
        private void replayHeartbeats(FakeWorker worker) {
            List<Map<String, Object>> reports = worker.heartbeats();
            for (int i = 0; i < 3 && !reports.isEmpty(); i++) {
                Map<String, Object> copy =
                        reports.get(reports.size() - 1 - random.nextInt(Math.min(20, reports.size())));
                soon(1, 20_000_000, () -> world.alive().forEach(node -> world.postAsync(node, "/checkin", copy)));
            }
        }

        /** Troubles are over: every accepted job ends. */
        private void recover() {
            world.network.injectFaults((from, call) -> FakeNetwork.NORMAL);
            world.clock.passSeconds(31);
            new ArrayList<>(down).forEach(this::back);
            world.clock.passSeconds(15);
            for (String id : endless) {
                if (accepted.containsKey(id)) {
                    world.cancel(node(), id);
                }
            }
            int idleSeconds = 0;
            while (!world.store.keys("open/").isEmpty() && idleSeconds < MOST_IDLE_SECONDS) {
                int before = starts() - world.store.keys("open/").size();
                world.clock.passSeconds(1);
                world.store.keys("open/").forEach(this::cancelUnanswered);
                int after = starts() - world.store.keys("open/").size();
                idleSeconds = after == before ? idleSeconds + 1 : 0;
            }
            assertEquals(List.of(), world.store.keys("open/"), this::standing);
            accepted.keySet().forEach(id -> assertNotNull(world.store.value("final/" + id), id));
        }

        /** A service whose acceptance was never answered would never end. */
        private void cancelUnanswered(String key) {
            String id = key.substring("open/".length());
            if (endless.contains(id)) {
                world.cancel(node(), id);
            }
        }

        private String standing() {
            StringBuilder text = new StringBuilder();
            for (String prefix : List.of("open/", "slices/")) {
                world.store
                        .keys(prefix)
                        .forEach(
                                key -> text.append('\n').append(key).append(' ').append(world.store.value(key)));
            }
            return text.toString();
        }
    }

    private static void play(OperatorSettings.TeamLimitSource limits) {
        Map<Fault, Integer> happened = new EnumMap<>(Fault.class);
        int starts = 0;
        List<String> failures = new ArrayList<>();
        for (int seed = FROM; seed < FROM + SEEDS; seed++) {
            Day day = new Day(seed, limits, happened);
            try {
                day.play();
            } catch (AssertionError | RuntimeException failure) {
                failures.add("seed " + seed + ": " + failure);
            }
            starts += day.starts();
        }
        System.out.printf(
                "random faults, limits of %s, seeds %d to %d: %d starts, %s%n",
                limits,
                FROM,
                FROM + SEEDS - 1,
                starts,
                new TreeSet<>(happened.entrySet().stream().map(Object::toString).toList()));
        assertEquals(List.of(), failures);
        for (Fault fault : Fault.values()) {
            assertTrue(happened.getOrDefault(fault, 0) > 0, fault + " took no effect");
        }
        assertTrue(starts > 10 * SEEDS, starts + " starts");
    }

    @Test
    void noRuleBreaksWithLimitsOfSettings() {
        play(OperatorSettings.TeamLimitSource.SETTINGS);
    }

    @Test
    void noRuleBreaksWithLimitsOnRecord() {
        play(OperatorSettings.TeamLimitSource.RECORDED);
    }
}
