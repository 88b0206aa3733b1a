package org.weldcourse.app;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.weldcourse.http.NettyCaller;
import org.weldcourse.http.Server;
import org.weldcourse.peers.PeerNet;
import org.weldcourse.runtime.Clock;
import org.weldcourse.runtime.Loop;
import org.weldcourse.settings.Settings;
import org.weldcourse.settings.Tuning;

/** A controller on a real network: one event loop, one listener. */
public final class Node {
    private static final Logger LOG = LoggerFactory.getLogger(Node.class);
    /** Of what others may open, the part that workers can't use up. */
    private static final double FOR_USERS = 0.15;
    /** Reports without a word after which a connection may have to make room, should there be none. */
    private static final int REPORTS_OF_PATIENCE = 3;
    /** Leases without a word after which a connection is closed. */
    private static final int LEASES_OF_SILENCE = 2;

    private final Settings settings;
    private final EventLoop eventLoop;
    private final Clock clock;
    private final Controller controller;
    private final Server server;

    public Node(Settings settings, Tuning tuning) {
        this.settings = settings;
        this.eventLoop = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory()).next();
        Loop loop = new Loop(eventLoop);
        this.clock = loop;
        NettyCaller caller = new NettyCaller(eventLoop, this::idleSockets);
        this.controller = new Controller(settings, tuning, caller, loop, loop);
        int forOthers = settings.maxSockets() - settings.ownSockets();
        this.server = new Server(eventLoop, controller, loop, new Server.Limits(forOthers,
                (int) (forOthers * (1 - FOR_USERS)), REPORTS_OF_PATIENCE * settings.workers().reportMicros(),
                LEASES_OF_SILENCE * settings.workers().leaseMicros()), caller::trim);
    }

    /** What others leave free may idle on the node's own calls: a new connection for each message costs more. */
    private int idleSockets() {
        int free = settings.maxSockets() - settings.ownSockets() - server.connections();
        return Math.max(settings.idleSockets(), free);
    }

    public void start() throws InterruptedException {
        server.listen(settings.listenAddress());
        PeerNet peerNet = new PeerNet(eventLoop, clock, controller.peers());
        peerNet.listen(settings.peerAddress());
        settings.peers().forEach(peerNet::speakTo);
        eventLoop.execute(controller::start);
        LOG.info("{} in {} listens on {}", settings.nodeName(), settings.zone(), settings.listenAddress());
    }

    /** Ends the routines of the controller and then the loop that they ran on. */
    public void stop() {
        eventLoop.execute(controller::stop);
        eventLoop.parent().shutdownGracefully();
    }
}
