package org.weldcourse.soak;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.function.Consumer;
import org.weldcourse.simulation.FakeWorker;
import org.weldcourse.simulation.LoopbackCluster;
import org.weldcourse.simulation.NetworkFaults;

/** Brings faults about and ends them again, one after the other, on the thread of the run. */
final class SoakFaults {
    private static final long BACK_AT_ONCE_MILLIS = 200;
    private static final long SERIES_PAUSE_MILLIS = 1_500;
    private static final int LEADERS_IN_SERIES = 3;
    private static final long LEAST_SLOW_MICROS = 200_000;
    private static final int MORE_SLOW_MICROS = 1_500_000;
    private static final double SHARE = 0.1;
    private static final double SHARE_OF_REPORTS = 0.2;
    private static final int MOST_MACHINES = 4;
    private static final int JOBS_CANCELLED = 8;

    private final LoopbackCluster cluster;
    private final SoakUsers users;
    private final NetworkFaults network;
    private final Consumer<String> log;
    private final PriorityQueue<Ending> endings = new PriorityQueue<>(Comparator.comparingLong(Ending::atMillis));

    private record Ending(long atMillis, Work work) {}

    /** Something that is done on the thread of the run. */
    private interface Work {
        void run() throws Exception;
    }

    SoakFaults(LoopbackCluster cluster, SoakUsers users, Consumer<String> log) {
        this.cluster = cluster;
        this.users = users;
        this.network = cluster.faults();
        this.log = log;
    }

    /** Ends what is due until then, each at its time. */
    void endThoseDueUntil(long untilMillis) throws Exception {
        while (!endings.isEmpty() && endings.peek().atMillis <= untilMillis) {
            Ending next = endings.poll();
            SoakRun.sleepUntil(next.atMillis);
            cluster.throwFailure();
            next.work.run();
        }
    }

    /** Begins a fault; false when there was nobody whom it could happen to. */
    boolean begin(FaultSchedule.Event event, long endMillis) throws Exception {
        String node = cluster.names().get(event.choice() % cluster.names().size());
        String leader = cluster.leader();
        return switch (event.fault()) {
            case NODE_KILLED -> kill(node, endMillis);
            case NODE_BACK_AT_ONCE -> kill(node, System.currentTimeMillis() + BACK_AT_ONCE_MILLIS);
            case LEADER_KILLED -> leader != null && kill(leader, endMillis);
            case LEADERS_IN_SERIES -> killInSeries();
            case ALL_NODES_KILLED -> killAll(endMillis);
            case NODE_PAUSED -> pause(node, endMillis);
            case LEADER_PAUSED -> leader != null && pause(leader, endMillis);
            case PEERS_CUT_ONE_WAY, PEERS_CUT, LEADER_CUT_FROM_STATE_AND_PEERS, NODE_CUT_FROM_WORKERS ->
                isolate(event, leader == null ? node : leader, node, endMillis);
            case RUNNING_JOBS_CANCELLED ->
                cluster.callOnEventLoop(() -> users.cancelSome(JOBS_CANCELLED, event.choice())) > 0;
            case MACHINES_HANG, MACHINES_DEAF, MACHINES_MUTE, MACHINES_LOST, MACHINES_BACK_AT_ONCE ->
                onMachines(event, endMillis);
            default -> onLinks(event, node, endMillis);
        };
    }

    private void later(long atMillis, Work work) {
        endings.add(new Ending(atMillis, work));
    }

    private void laterOnLoop(long atMillis, Runnable work) {
        later(
                atMillis,
                () -> cluster.callOnEventLoop(() -> {
                    work.run();
                    return null;
                }));
    }

    private boolean kill(String node, long backMillis) throws Exception {
        if (!cluster.isAlive(node)) {
            return false;
        }
        cluster.kill(node);
        log.accept(node + " is killed");
        later(backMillis, () -> {
            if (!cluster.isAlive(node)) {
                cluster.start(node);
                log.accept(node + " is started");
            }
        });
        return true;
    }

    private boolean killInSeries() throws Exception {
        int killed = 0;
        for (int i = 0; i < LEADERS_IN_SERIES; i++) {
            String leader = cluster.leader();
            if (leader != null && kill(leader, System.currentTimeMillis() + BACK_AT_ONCE_MILLIS)) {
                killed++;
            }
            endThoseDueUntil(System.currentTimeMillis() + SERIES_PAUSE_MILLIS);
            SoakRun.sleepUntil(System.currentTimeMillis() + SERIES_PAUSE_MILLIS);
        }
        return killed > 0;
    }

    private boolean killAll(long backMillis) throws Exception {
        boolean some = false;
        for (String node : cluster.names()) {
            some |= kill(node, backMillis);
        }
        return some;
    }

    private boolean pause(String node, long endMillis) throws Exception {
        if (!cluster.isAlive(node)) {
            return false;
        }
        cluster.freeze(node, true);
        log.accept(node + " is paused");
        later(endMillis, () -> {
            cluster.freeze(node, false);
            log.accept(node + " goes on");
        });
        return true;
    }

    private boolean isolate(FaultSchedule.Event event, String leader, String node, long endMillis) throws Exception {
        cluster.callOnEventLoop(() -> {
            List<String[]> cuts = new ArrayList<>();
            for (String other : cluster.names()) {
                switch (event.fault()) {
                    case PEERS_CUT_ONE_WAY -> cuts.add(new String[] {node, other});
                    case PEERS_CUT -> {
                        cuts.add(new String[] {node, other});
                        cuts.add(new String[] {other, node});
                    }
                    case LEADER_CUT_FROM_STATE_AND_PEERS -> {
                        cuts.add(new String[] {leader, NetworkFaults.STATE});
                        cuts.add(new String[] {leader, other});
                        cuts.add(new String[] {other, leader});
                    }
                    default -> cluster.workers().keySet().forEach(machine -> cuts.add(new String[] {machine, node}));
                }
            }
            cuts.forEach(cut -> network.cut(cut[0], cut[1]));
            laterOnLoop(endMillis, () -> cuts.forEach(cut -> network.heal(cut[0], cut[1])));
            return null;
        });
        return true;
    }

    private boolean onLinks(FaultSchedule.Event event, String node, long endMillis) throws Exception {
        return cluster.callOnEventLoop(() -> {
            switch (event.fault()) {
                case STATE_CUT_ONE_WAY -> {
                    network.cut(NetworkFaults.STATE, node);
                    laterOnLoop(endMillis, () -> network.heal(NetworkFaults.STATE, node));
                }
                case STATE_CUT -> {
                    network.cut(node, NetworkFaults.STATE);
                    laterOnLoop(endMillis, () -> network.heal(node, NetworkFaults.STATE));
                }
                case STATE_REFUSES_ONE -> {
                    network.refuse(node, NetworkFaults.STATE, true);
                    laterOnLoop(endMillis, () -> network.refuse(node, NetworkFaults.STATE, false));
                }
                case STATE_OUT -> {
                    cluster.state().down(true);
                    laterOnLoop(endMillis, () -> cluster.state().down(false));
                }
                case CLOUD_OUT -> {
                    cluster.cloud().down(true);
                    laterOnLoop(endMillis, () -> cluster.cloud().down(false));
                }
                case REPORTS_REPEATED -> shareOfReports(endMillis);
                case COMMANDS_LATE -> shareOfCommands(endMillis);
                default -> ofAllNodes(event, endMillis);
            }
            return true;
        });
    }

    private void ofAllNodes(FaultSchedule.Event event, long endMillis) {
        long slowMicros = LEAST_SLOW_MICROS + event.choice() % MORE_SLOW_MICROS;
        for (String node : cluster.names()) {
            switch (event.fault()) {
                case STATE_SLOW -> {
                    network.setLatency(node, NetworkFaults.STATE, slowMicros);
                    laterOnLoop(endMillis, () -> network.setLatency(node, NetworkFaults.STATE, 0));
                }
                case STATE_LOSES_ANSWERS -> {
                    network.loseResponses(node, NetworkFaults.STATE, SHARE);
                    laterOnLoop(endMillis, () -> network.loseResponses(node, NetworkFaults.STATE, 0));
                }
                case STATE_WRITES_LATE -> {
                    network.executeLate(node, NetworkFaults.STATE, SHARE);
                    laterOnLoop(endMillis, () -> network.executeLate(node, NetworkFaults.STATE, 0));
                }
                default -> throw new IllegalStateException(event.fault().name());
            }
        }
    }

    private void shareOfReports(long endMillis) {
        for (String machine : cluster.workers().keySet()) {
            network.duplicate(machine, NetworkFaults.ANY_ENDPOINT, SHARE_OF_REPORTS);
            laterOnLoop(endMillis, () -> network.duplicate(machine, NetworkFaults.ANY_ENDPOINT, 0));
        }
    }

    private void shareOfCommands(long endMillis) {
        for (String machine : cluster.workers().keySet()) {
            network.executeLate(NetworkFaults.ANY_ENDPOINT, machine, SHARE_OF_REPORTS);
            laterOnLoop(endMillis, () -> network.executeLate(NetworkFaults.ANY_ENDPOINT, machine, 0));
        }
    }

    private boolean onMachines(FaultSchedule.Event event, long endMillis) throws Exception {
        return cluster.callOnEventLoop(() -> {
            List<String> names = new ArrayList<>(cluster.workers().keySet());
            names.sort(Comparator.naturalOrder());
            int count = Math.min(names.size(), 1 + event.choice() % MOST_MACHINES);
            for (int i = 0; i < count; i++) {
                onMachine(event.fault(), names.get((event.choice() / MOST_MACHINES + i) % names.size()), endMillis);
            }
            return count > 0;
        });
    }

    private void onMachine(SoakFault fault, String machine, long endMillis) {
        FakeWorker worker = cluster.workers().get(machine);
        switch (fault) {
            case MACHINES_HANG -> {
                worker.freeze(true);
                laterOnLoop(endMillis, () -> worker.freeze(false));
            }
            case MACHINES_DEAF -> {
                network.cut(NetworkFaults.ANY_ENDPOINT, machine);
                laterOnLoop(endMillis, () -> network.heal(NetworkFaults.ANY_ENDPOINT, machine));
            }
            case MACHINES_MUTE -> {
                network.cut(machine, NetworkFaults.ANY_ENDPOINT);
                laterOnLoop(endMillis, () -> network.heal(machine, NetworkFaults.ANY_ENDPOINT));
            }
            case MACHINES_LOST -> cluster.powerOffMachine(machine);
            default -> cluster.restartMachine(machine);
        }
    }
}
