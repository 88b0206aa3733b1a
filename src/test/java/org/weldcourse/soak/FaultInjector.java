package org.weldcourse.soak;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.function.Consumer;
import org.weldcourse.simulation.FakeWorker;
import org.weldcourse.simulation.LoopbackCluster;
import org.weldcourse.simulation.NetworkFaults;

/** Injects faults into a cluster and ends them when they are due, all on the thread of the run. */
final class FaultInjector {
    private static final long QUICK_RESTART_MILLIS = 200;
    private static final long LEADER_KILL_PAUSE_MILLIS = 1_500;
    private static final int SUCCESSIVE_LEADER_KILLS = 3;
    private static final long MIN_DELAY_MICROS = 200_000;
    private static final int DELAY_SPREAD_MICROS = 1_500_000;
    private static final double STORE_FAULT_PROBABILITY = 0.1;
    private static final double WORKER_MESSAGE_FAULT_PROBABILITY = 0.2;
    private static final int MAX_AFFECTED_MACHINES = 4;
    private static final int CANCELLED_JOBS = 8;

    private final LoopbackCluster cluster;
    private final SimulatedUsers users;
    private final NetworkFaults network;
    private final Consumer<String> log;
    private final PriorityQueue<Recovery> recoveries =
            new PriorityQueue<>(Comparator.comparingLong(Recovery::atMillis));

    /** A scheduled action that ends a fault. */
    private record Recovery(long atMillis, Action action) {}

    /** An action on the thread of the run. */
    private interface Action {
        void run() throws Exception;
    }

    FaultInjector(LoopbackCluster cluster, SimulatedUsers users, Consumer<String> log) {
        this.cluster = cluster;
        this.users = users;
        this.network = cluster.faults();
        this.log = log;
    }

    /** Waits for each recovery that is due before the deadline, and runs it at its time. */
    void runRecoveriesUntil(long deadlineMillis) throws Exception {
        while (!recoveries.isEmpty() && recoveries.peek().atMillis <= deadlineMillis) {
            Recovery next = recoveries.poll();
            SoakRun.sleepUntil(next.atMillis);
            cluster.throwFailure();
            next.action.run();
        }
    }

    /** Injects a fault that ends at {@code endMillis}. Returns false when the fault had no target. */
    boolean inject(FaultSchedule.Event event, long endMillis) throws Exception {
        String node = cluster.names().get(event.selector() % cluster.names().size());
        String leader = cluster.leader();
        return switch (event.fault()) {
            case NODE_KILLED -> kill(node, endMillis);
            case NODE_BACK_AT_ONCE -> kill(node, System.currentTimeMillis() + QUICK_RESTART_MILLIS);
            case LEADER_KILLED -> leader != null && kill(leader, endMillis);
            case LEADERS_IN_SERIES -> killSuccessiveLeaders();
            case ALL_NODES_KILLED -> killAll(endMillis);
            case NODE_PAUSED -> pause(node, endMillis);
            case LEADER_PAUSED -> leader != null && pause(leader, endMillis);
            case PEERS_CUT_ONE_WAY, PEERS_CUT, LEADER_CUT_FROM_STATE_AND_PEERS, NODE_CUT_FROM_WORKERS ->
                cutLinks(event, leader == null ? node : leader, node, endMillis);
            case RUNNING_JOBS_CANCELLED ->
                cluster.callOnEventLoop(() -> users.cancelOpenJobs(CANCELLED_JOBS, event.selector())) > 0;
            case MACHINES_HANG, MACHINES_DEAF, MACHINES_MUTE, MACHINES_LOST, MACHINES_BACK_AT_ONCE ->
                injectMachineFaults(event, endMillis);
            default -> injectLinkFault(event, node, endMillis);
        };
    }

    private void scheduleRecovery(long atMillis, Action action) {
        recoveries.add(new Recovery(atMillis, action));
    }

    private void scheduleRecoveryOnLoop(long atMillis, Runnable action) {
        scheduleRecovery(
                atMillis,
                () -> cluster.callOnEventLoop(() -> {
                    action.run();
                    return null;
                }));
    }

    private boolean kill(String node, long restartMillis) throws Exception {
        if (!cluster.isAlive(node)) {
            return false;
        }
        cluster.kill(node);
        log.accept(node + " is killed");
        scheduleRecovery(restartMillis, () -> {
            if (!cluster.isAlive(node)) {
                cluster.start(node);
                log.accept(node + " is started");
            }
        });
        return true;
    }

    private boolean killSuccessiveLeaders() throws Exception {
        int killed = 0;
        for (int i = 0; i < SUCCESSIVE_LEADER_KILLS; i++) {
            String leader = cluster.leader();
            if (leader != null && kill(leader, System.currentTimeMillis() + QUICK_RESTART_MILLIS)) {
                killed++;
            }
            runRecoveriesUntil(System.currentTimeMillis() + LEADER_KILL_PAUSE_MILLIS);
            SoakRun.sleepUntil(System.currentTimeMillis() + LEADER_KILL_PAUSE_MILLIS);
        }
        return killed > 0;
    }

    private boolean killAll(long restartMillis) throws Exception {
        boolean anyKilled = false;
        for (String node : cluster.names()) {
            anyKilled |= kill(node, restartMillis);
        }
        return anyKilled;
    }

    private boolean pause(String node, long endMillis) throws Exception {
        if (!cluster.isAlive(node)) {
            return false;
        }
        cluster.freeze(node, true);
        log.accept(node + " is paused");
        scheduleRecovery(endMillis, () -> {
            cluster.freeze(node, false);
            log.accept(node + " is resumed");
        });
        return true;
    }

    private boolean cutLinks(FaultSchedule.Event event, String leader, String node, long endMillis) throws Exception {
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
                        cuts.add(new String[] {leader, NetworkFaults.STORE});
                        cuts.add(new String[] {leader, other});
                        cuts.add(new String[] {other, leader});
                    }
                    default -> cluster.workers().keySet().forEach(machine -> cuts.add(new String[] {machine, node}));
                }
            }
            cuts.forEach(cut -> network.cut(cut[0], cut[1]));
            scheduleRecoveryOnLoop(endMillis, () -> cuts.forEach(cut -> network.heal(cut[0], cut[1])));
            return null;
        });
        return true;
    }

    private boolean injectLinkFault(FaultSchedule.Event event, String node, long endMillis) throws Exception {
        return cluster.callOnEventLoop(() -> {
            switch (event.fault()) {
                case STATE_CUT_ONE_WAY -> {
                    network.cut(NetworkFaults.STORE, node);
                    scheduleRecoveryOnLoop(endMillis, () -> network.heal(NetworkFaults.STORE, node));
                }
                case STATE_CUT -> {
                    network.cut(node, NetworkFaults.STORE);
                    scheduleRecoveryOnLoop(endMillis, () -> network.heal(node, NetworkFaults.STORE));
                }
                case STATE_REFUSES_ONE -> {
                    network.refuse(node, NetworkFaults.STORE, true);
                    scheduleRecoveryOnLoop(endMillis, () -> network.refuse(node, NetworkFaults.STORE, false));
                }
                case STATE_OUT -> {
                    cluster.store().down(true);
                    scheduleRecoveryOnLoop(endMillis, () -> cluster.store().down(false));
                }
                case CLOUD_OUT -> {
                    cluster.cloud().down(true);
                    scheduleRecoveryOnLoop(endMillis, () -> cluster.cloud().down(false));
                }
                case REPORTS_REPEATED -> repeatHeartbeats(endMillis);
                case COMMANDS_LATE -> delayCommands(endMillis);
                default -> injectStoreFaultOnAllNodes(event, endMillis);
            }
            return true;
        });
    }

    private void injectStoreFaultOnAllNodes(FaultSchedule.Event event, long endMillis) {
        long delayMicros = MIN_DELAY_MICROS + event.selector() % DELAY_SPREAD_MICROS;
        for (String node : cluster.names()) {
            switch (event.fault()) {
                case STATE_SLOW -> {
                    network.setLatency(node, NetworkFaults.STORE, delayMicros);
                    scheduleRecoveryOnLoop(endMillis, () -> network.setLatency(node, NetworkFaults.STORE, 0));
                }
                case STATE_LOSES_ANSWERS -> {
                    network.loseResponses(node, NetworkFaults.STORE, STORE_FAULT_PROBABILITY);
                    scheduleRecoveryOnLoop(endMillis, () -> network.loseResponses(node, NetworkFaults.STORE, 0));
                }
                case STATE_WRITES_LATE -> {
                    network.executeLate(node, NetworkFaults.STORE, STORE_FAULT_PROBABILITY);
                    scheduleRecoveryOnLoop(endMillis, () -> network.executeLate(node, NetworkFaults.STORE, 0));
                }
                default -> throw new IllegalStateException(event.fault().name());
            }
        }
    }

    private void repeatHeartbeats(long endMillis) {
        for (String machine : cluster.workers().keySet()) {
            network.duplicate(machine, NetworkFaults.ANY_ENDPOINT, WORKER_MESSAGE_FAULT_PROBABILITY);
            scheduleRecoveryOnLoop(endMillis, () -> network.duplicate(machine, NetworkFaults.ANY_ENDPOINT, 0));
        }
    }

    private void delayCommands(long endMillis) {
        for (String machine : cluster.workers().keySet()) {
            network.executeLate(NetworkFaults.ANY_ENDPOINT, machine, WORKER_MESSAGE_FAULT_PROBABILITY);
            scheduleRecoveryOnLoop(endMillis, () -> network.executeLate(NetworkFaults.ANY_ENDPOINT, machine, 0));
        }
    }

    private boolean injectMachineFaults(FaultSchedule.Event event, long endMillis) throws Exception {
        return cluster.callOnEventLoop(() -> {
            List<String> machines = new ArrayList<>(cluster.workers().keySet());
            machines.sort(Comparator.naturalOrder());
            int count = Math.min(machines.size(), 1 + event.selector() % MAX_AFFECTED_MACHINES);
            for (int i = 0; i < count; i++) {
                injectMachineFault(
                        event.fault(),
                        machines.get((event.selector() / MAX_AFFECTED_MACHINES + i) % machines.size()),
                        endMillis);
            }
            return count > 0;
        });
    }

    private void injectMachineFault(SoakFault fault, String machine, long endMillis) {
        FakeWorker worker = cluster.workers().get(machine);
        switch (fault) {
            case MACHINES_HANG -> {
                worker.freeze(true);
                scheduleRecoveryOnLoop(endMillis, () -> worker.freeze(false));
            }
            case MACHINES_DEAF -> {
                network.cut(NetworkFaults.ANY_ENDPOINT, machine);
                scheduleRecoveryOnLoop(endMillis, () -> network.heal(NetworkFaults.ANY_ENDPOINT, machine));
            }
            case MACHINES_MUTE -> {
                network.cut(machine, NetworkFaults.ANY_ENDPOINT);
                scheduleRecoveryOnLoop(endMillis, () -> network.heal(machine, NetworkFaults.ANY_ENDPOINT));
            }
            case MACHINES_LOST -> cluster.powerOffMachine(machine);
            default -> cluster.restartMachine(machine);
        }
    }
}
