package org.weldcourse.simulation;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.weldcourse.app.Controller;
import org.weldcourse.peers.PeerStatus;
import org.weldcourse.settings.OperatorSettings;
import org.weldcourse.settings.Settings;

/** The controllers of a simulated cluster, their processes and the status heartbeats between them. */
final class SimulatedControllers {
    private final FakeClock clock;
    private final FakeNetwork network;
    private final List<Settings.Team> teams;
    private final List<Settings.ServiceLevelObjective> objectives;
    private final Settings.StoreLimits storeLimits;
    private final Map<String, String> addressByName = new LinkedHashMap<>();
    private final Map<String, Controller> controllers = new LinkedHashMap<>();
    private final Map<String, PausableProcess> processes = new HashMap<>();
    private final Set<String> cutFromPeers = new HashSet<>();
    private OperatorSettings operatorSettings;
    private int starts;

    SimulatedControllers(
            int nodes,
            FakeClock clock,
            FakeNetwork network,
            List<Settings.Team> teams,
            List<Settings.ServiceLevelObjective> objectives,
            Settings.StoreLimits storeLimits,
            OperatorSettings operatorSettings) {
        this.clock = clock;
        this.network = network;
        this.teams = teams;
        this.objectives = objectives;
        this.storeLimits = storeLimits;
        this.operatorSettings = operatorSettings;
        for (int i = 0; i < nodes; i++) {
            addressByName.put("n" + i, "n" + i + ":80");
        }
    }

    void startAll() {
        addressByName.keySet().forEach(this::start);
    }

    void start(String name) {
        PausableProcess process = new PausableProcess(clock);
        Controller controller = new Controller(
                settings(name),
                operatorSettings,
                process.wrapClient(network.client(name)),
                clock,
                process,
                String.valueOf(++starts));
        processes.put(name, process);
        controllers.put(name, controller);
        network.host(
                addressByName.get(name),
                (request, reply) ->
                        process.run(() -> controller.requestHandler().handle(request, reply)));
        controller.start();
    }

    void kill(String name) {
        controllers.remove(name).stop();
        network.remove(addressByName.get(name));
    }

    /** Sets the operator settings of controllers that start from now on. */
    void operatorSettings(OperatorSettings next) {
        operatorSettings = next;
    }

    /** The running controller of that name, or null. */
    Controller get(String name) {
        return controllers.get(name);
    }

    /** The latest process of that name. */
    PausableProcess process(String name) {
        return processes.get(name);
    }

    List<String> alive() {
        return new ArrayList<>(controllers.keySet());
    }

    /** The API addresses of all controllers, including stopped ones. */
    Map<String, String> addressByName() {
        return addressByName;
    }

    /** The last controller, in starting order, that considers itself the leader, or null. */
    String leader() {
        String leader = null;
        for (Map.Entry<String, Controller> entry : controllers.entrySet()) {
            if (entry.getValue().isLeader()) {
                leader = entry.getKey();
            }
        }
        return leader;
    }

    void cutFromPeers(String name) {
        cutFromPeers.add(name);
    }

    void healPeerLinks(String name) {
        cutFromPeers.remove(name);
    }

    /** Delivers the status of each controller to all others, except over cut links and from paused processes. */
    void exchangeStatus() {
        for (String sender : alive()) {
            for (String receiver : alive()) {
                if (!sender.equals(receiver)
                        && !cutFromPeers.contains(sender)
                        && !cutFromPeers.contains(receiver)
                        && !processes.get(sender).isPaused()) {
                    Controller from = controllers.get(sender);
                    Controller to = controllers.get(receiver);
                    PeerStatus status = from.peers().ownStatus();
                    processes.get(receiver).run(() -> to.peers().heartbeatReceived(status));
                }
            }
        }
    }

    /**
     * Fails when a controller refused a start because the bookings of its team exceed the team's limit: the scheduler must
     * never book that much.
     */
    void checkStarts() {
        controllers.forEach((name, controller) -> {
            if (controller.startCounts().violations() > 0) {
                throw new AssertionError(name + " refused a start because its team's bookings exceed the limit");
            }
        });
    }

    Settings settings(String name) {
        List<Settings.Peer> peers = new ArrayList<>();
        addressByName.forEach((other, address) -> {
            if (!other.equals(name)) {
                peers.add(new Settings.Peer(other, "a", other + ":81"));
            }
        });
        return new Settings(
                name,
                "a",
                addressByName.get(name),
                name + ":81",
                peers,
                SimulatedCluster.CLOUD,
                SimulatedCluster.STORE,
                List.of("a", "b"),
                teams,
                objectives,
                new Settings.Workers(
                        SimulatedCluster.HEARTBEAT_MICROS,
                        SimulatedCluster.LEASE_MICROS,
                        40_000_000,
                        4_000_000,
                        SimulatedCluster.CANCEL_MICROS),
                storeLimits,
                new Settings.CloudLimits(3, 8_000_000),
                500);
    }
}
