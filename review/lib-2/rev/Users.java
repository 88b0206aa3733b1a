package rev;

import java.util.Map;

/** Users: they submit, poll and cancel through the load balancer, and repeat requests as the page says. */
final class Users {
    private final World world;

    Users(World world) {
        this.world = world;
    }

    /** Submits a job, with retries for up to 60 s; returns the last status. */
    int submit(Map<String, Object> job) {
        return repeat("POST", "/v1/jobs", Json.write(job), (String) job.get("name_id"), "submit");
    }

    int cancel(String id) {
        return repeat("POST", "/v1/jobs/" + id + "/withdraw", "", id, "cancel");
    }

    private int repeat(String method, String path, String body, String id, String what) {
        long end = System.nanoTime() + 60_000_000_000L;
        while (true) {
            LoadBalancer.Answer answer = world.balancer().call(method, path, body, 5_000);
            int status = answer.status();
            String text = answer.response().body();
            world.record().line("user: %s %s (%d bytes) -> %s %d %s", what, id, body.length(), answer.node(), status,
                    text.substring(0, Math.min(120, text.length())));
            if (status == 200 || status == 201 || status == 400 || status == 422) {
                if (status < 400 && what.equals("submit")) {
                    world.markAccepted(id);
                }
                return status;
            }
            String retry = answer.response().headers().get("retry-after");
            StateService.pause(Math.max(1_000, retry == null ? 0 : Math.min(30, Integer.parseInt(retry)) * 1_000L));
            if (System.nanoTime() > end) {
                return status;
            }
        }
    }

    LoadBalancer.Answer poll(String id) {
        LoadBalancer.Answer answer = world.balancer().call("GET", "/v1/jobs/" + id, null, 2_000);
        world.record().line("user: poll %s -> %s %d %s", id, answer.node(), answer.status(),
                answer.response().body());
        return answer;
    }

    /** Polls about every 5 s until the job is done or cancelled, or until the time is over; returns the last heat. */
    String await(String id, long untilMillis) {
        String heat = "";
        while (world.record().millis() < untilMillis) {
            LoadBalancer.Answer answer = poll(id);
            if (answer.status() == 200) {
                heat = answer.heat();
                if (heat.equals("done") || heat.equals("cancelled")) {
                    return heat;
                }
            }
            StateService.pause(Math.max(1, Math.min(5_000, untilMillis - world.record().millis())));
        }
        return heat;
    }

    /** Waits until the load balancer has a healthy node and a leader is on record. */
    boolean ready(long untilMillis) {
        while (world.record().millis() < untilMillis) {
            if (!world.balancer().healthy().isEmpty() && world.leader() != null) {
                return true;
            }
            StateService.pause(100);
        }
        return false;
    }
}
