package org.weldcourse.app;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.util.Map;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.weldcourse.admission.Term;
import org.weldcourse.fleet.Cloud;
import org.weldcourse.fleet.TypesDuty;
import org.weldcourse.http.Json;
import org.weldcourse.http.NettyCaller;
import org.weldcourse.http.Server;
import org.weldcourse.http.Server.Reply;
import org.weldcourse.http.Server.Request;
import org.weldcourse.jobs.JobApi;
import org.weldcourse.leadership.Leadership;
import org.weldcourse.runtime.Loop;
import org.weldcourse.settings.Settings;
import org.weldcourse.settings.Tuning;
import org.weldcourse.store.Store;
import org.weldcourse.workers.CheckinCodec;
import org.weldcourse.workers.Report;

/** One controller: wires the slices together on one event loop and routes requests to them. */
public final class Node implements Server.Handler, Leadership.Listener {
    private static final Logger LOG = LoggerFactory.getLogger(Node.class);
    private static final String JOBS = "/v1/jobs";
    /** Sockets kept back for the node's own calls. */
    private static final int OWN_SOCKETS = 100;

    private final Settings settings;
    private final EventLoop eventLoop;
    private final Leadership leadership;
    private final TypesDuty types;
    private final JobApi jobs;
    private final Term.Parts parts;
    private Term term;

    public Node(Settings settings, Tuning tuning) {
        this.settings = settings;
        this.eventLoop = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory()).next();
        Loop loop = new Loop(eventLoop);
        NettyCaller caller = new NettyCaller(eventLoop);
        Store store = new Store(caller, loop, settings.stateAddress());
        Cloud cloud = new Cloud(caller, settings.cloudAddress());
        this.leadership = new Leadership(settings.nodeName(), store, loop, loop, tuning.stateLeaseMicros(), this);
        this.types = new TypesDuty(store, cloud, loop, loop, leadership::leads);
        this.jobs = new JobApi(store, settings, loop, types::known);
        this.parts = new Term.Parts(store, cloud, caller, loop, loop, settings, tuning, leadership, types);
    }

    public void start() throws InterruptedException {
        new Server(eventLoop, this, Math.max(50, settings.maxSockets() - OWN_SOCKETS))
                .listen(settings.listenAddress());
        eventLoop.execute(() -> {
            leadership.start();
            types.start();
        });
        LOG.info("{} in {} listens on {}", settings.nodeName(), settings.zone(), settings.listenAddress());
    }

    @Override
    public void elected(long token, long epochVersion) {
        term = new Term(parts, token, epochVersion);
        term.begin();
    }

    @Override
    public void deposed() {
        if (term != null) {
            term.cancel();
            term = null;
        }
    }

    @Override
    public void handle(Request request, Reply reply) {
        String path = request.path();
        boolean post = request.method().equals("POST");
        if (path.equals("/checkin") && post) {
            checkin(request, reply);
        } else if (path.equals("/ready")) {
            ready(reply);
        } else if (path.equals(JOBS) && post) {
            jobs.submit(request.body(), reply);
        } else if (path.startsWith(JOBS + "/")) {
            String rest = path.substring(JOBS.length() + 1);
            if (post && rest.endsWith("/withdraw")) {
                jobs.withdraw(rest.substring(0, rest.length() - "/withdraw".length()), reply);
            } else if (request.method().equals("GET")) {
                jobs.poll(rest, reply);
            } else {
                reply.send(405, Json.of("error", "no such method here"));
            }
        } else {
            reply.send(404, Json.of("error", "no such path"));
        }
    }

    private void checkin(Request request, Reply reply) {
        if (term == null || !leadership.leads()) {
            String leader = leadership.leaderName();
            reply.send(421, leader == null || leader.equals(settings.nodeName())
                    ? Map.of() : Json.of("foreman", leader));
            return;
        }
        Report report = CheckinCodec.report(Json.objectOrEmpty(request.body()));
        if (report == null) {
            reply.send(400, Json.of("error", "not a report"));
            return;
        }
        term.checkin(report, reply);
    }

    private void ready(Reply reply) {
        if (types.known().isEmpty()) {
            reply.refuse(503, "machine types are not known yet", 1);
        } else {
            reply.send(200, Json.of("ready", true));
        }
    }
}
