package rev;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** The load balancer: it probes the nodes and connects users to healthy ones. */
final class LoadBalancer {
    private static final class Health {
        boolean healthy;
        boolean everHealthy;
        int successes;
        int failures;
        long removedNanos;
        double pauseSeconds = 3;
        final List<Boolean> last = new ArrayList<>();
    }

    private final World world;
    private final Map<String, Health> nodes = new HashMap<>();

    LoadBalancer(World world) {
        this.world = world;
        for (String name : world.names()) {
            nodes.put(name, new Health());
            Http.daemon("probe " + name, () -> {
                while (true) {
                    Http.Response answer = Http.call(world.api(name), "GET", "/ready", null, 1_000);
                    probed(name, answer.status() == 200);
                    StateService.pause(1_000);
                }
            });
        }
    }

    private synchronized void probed(String name, boolean good) {
        Health health = nodes.get(name);
        health.successes = good ? health.successes + 1 : 0;
        health.failures = good ? 0 : health.failures + 1;
        health.last.add(good);
        if (health.last.size() > 6) {
            health.last.remove(0);
        }
        long bad = health.last.stream().filter(ok -> !ok).count();
        if (health.healthy && (health.failures >= 2 || bad >= 3)) {
            health.healthy = false;
            if (System.nanoTime() - health.removedNanos < 120e9 && health.removedNanos != 0) {
                health.pauseSeconds = Math.min(60, health.pauseSeconds * 2);
            } else {
                health.pauseSeconds = 3;
            }
            health.removedNanos = System.nanoTime();
            world.record().line("balancer: %s is unhealthy", name);
        } else if (!health.healthy && good) {
            boolean paused = System.nanoTime() - health.removedNanos < health.pauseSeconds * 1e9;
            if (!health.everHealthy || health.successes >= 2 && !paused) {
                health.healthy = true;
                health.everHealthy = true;
                health.last.clear();
                world.record().line("balancer: %s is healthy", name);
            }
        }
    }

    synchronized List<String> healthy() {
        List<String> healthy = new ArrayList<>();
        for (String name : world.names()) {
            if (nodes.get(name).healthy) {
                healthy.add(name);
            }
        }
        return healthy;
    }

    /** One request on a new connection; names the node that answered. */
    Answer call(String method, String path, String body, int timeoutMillis) {
        List<String> candidates = new ArrayList<>(healthy());
        for (int i = 0; i < 3 && !candidates.isEmpty(); i++) {
            String node = candidates.remove(World.pick(candidates.size()));
            Http.Response answer = Http.call(world.api(node), method, path, body, timeoutMillis);
            if (answer.status() != -1) {
                return new Answer(node, answer);
            }
        }
        return new Answer("-", new Http.Response(-1, "", Map.of()));
    }

    record Answer(String node, Http.Response response) {
        int status() {
            return response.status();
        }

        String heat() {
            return String.valueOf(response.json().get("heat"));
        }
    }
}
