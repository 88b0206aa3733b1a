package org.weldcourse.app;

import java.util.function.Supplier;
import org.weldcourse.http.Json;
import org.weldcourse.http.Server;
import org.weldcourse.http.Server.Reply;
import org.weldcourse.http.Server.Request;
import org.weldcourse.jobs.JobApi;

/** Routes HTTP requests from users, workers, the load balancer and metrics scrapers to their handlers. */
final class HttpRouter implements Server.Handler {
    private static final String JOBS_PATH = "/v1/jobs";
    private static final String CANCEL_SUFFIX = "/withdraw";
    private static final String HEARTBEAT_PATH = "/checkin";

    private final JobApi jobs;
    private final HeartbeatEndpoint heartbeats;
    private final Readiness readiness;
    private final Supplier<String> metrics;

    HttpRouter(JobApi jobs, HeartbeatEndpoint heartbeats, Readiness readiness, Supplier<String> metrics) {
        this.jobs = jobs;
        this.heartbeats = heartbeats;
        this.readiness = readiness;
        this.metrics = metrics;
    }

    @Override
    public boolean isFromWorker(Request request) {
        return request.path().equals(HEARTBEAT_PATH);
    }

    @Override
    public void handle(Request request, Reply reply) {
        String path = request.path();
        boolean post = request.method().equals("POST");
        if (path.equals(HEARTBEAT_PATH) && post) {
            heartbeats.handle(request, reply);
        } else if (path.equals("/ready")) {
            readiness.handle(reply);
        } else if (path.equals("/metrics")) {
            reply.sendText(200, metrics.get());
        } else if (path.equals(JOBS_PATH) && post) {
            jobs.submit(request.body(), reply);
        } else if (path.startsWith(JOBS_PATH + "/")) {
            handleJob(path.substring(JOBS_PATH.length() + 1), request.method(), reply);
        } else {
            reply.send(404, Json.of("error", "no such path"));
        }
    }

    /** Handles a request for one job; {@code subpath} is the path after {@code /v1/jobs/}. */
    private void handleJob(String subpath, String method, Reply reply) {
        if (method.equals("POST") && subpath.endsWith(CANCEL_SUFFIX)) {
            jobs.cancel(subpath.substring(0, subpath.length() - CANCEL_SUFFIX.length()), reply);
        } else if (method.equals("GET")) {
            jobs.status(subpath, reply);
        } else {
            reply.send(405, Json.of("error", "no such method here"));
        }
    }
}
