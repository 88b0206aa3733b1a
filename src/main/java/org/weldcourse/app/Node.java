package org.weldcourse.app;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.channel.nio.NioIoHandler;
import java.util.UUID;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.weldcourse.http.NettyHttpClient;
import org.weldcourse.http.Server;
import org.weldcourse.leader.StandbyWarmUp;
import org.weldcourse.peers.PeerConnections;
import org.weldcourse.runtime.EventLoopTimers;
import org.weldcourse.settings.OperatorSettings;
import org.weldcourse.settings.Settings;

/** A controller on a real network: one event loop, a listener for users and workers and one for peers. */
public final class Node {
    private static final Logger LOG = LoggerFactory.getLogger(Node.class);
    /** The part of the inbound connections that workers can't use up. */
    private static final double USERS_SHARE = 0.15;
    /** A connection silent for so many heartbeat intervals may be closed to make room for a new one. */
    private static final int EVICTABLE_AFTER_HEARTBEATS = 3;
    /** A connection silent for so many worker leases is closed. */
    private static final int CLOSED_AFTER_LEASES = 2;

    private static final long WARM_UP_AFTER_MICROS = 1_500_000;

    private final Settings settings;
    private final EventLoop eventLoop;
    private final EventLoopTimers timers;
    private final Controller controller;
    private final Server server;
    private StandbyWarmUp warmUp;

    /** A node that listens once it is started. */
    public Node(Settings settings, OperatorSettings operatorSettings) {
        this.settings = settings;
        this.eventLoop = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory()).next();
        this.timers = new EventLoopTimers(eventLoop);
        NettyHttpClient caller = new NettyHttpClient(eventLoop, this::idleSockets);
        this.controller = new Controller(
                settings,
                operatorSettings,
                caller,
                timers,
                timers,
                UUID.randomUUID().toString());
        int inboundConnections = settings.maxSockets() - settings.outboundSockets();
        this.server = new Server(
                eventLoop,
                controller.requestHandler(),
                timers,
                new Server.Limits(
                        inboundConnections,
                        (int) (inboundConnections * (1 - USERS_SHARE)),
                        EVICTABLE_AFTER_HEARTBEATS * settings.workers().heartbeatIntervalMicros(),
                        CLOSED_AFTER_LEASES * settings.workers().leaseMicros()),
                caller::trim);
    }

    /** What inbound connections leave free may idle on the node's own calls: a new connection for each message costs more. */
    private int idleSockets() {
        int free = settings.maxSockets() - settings.outboundSockets() - server.openConnections();
        return Math.max(settings.reservedIdleSockets(), free);
    }

    /** Listens to users, workers and peers, and starts the controller. */
    public void start() throws InterruptedException {
        server.listen(settings.listenAddress());
        PeerConnections peerConnections = new PeerConnections(eventLoop, timers, controller.peers());
        peerConnections.listen(settings.peerAddress());
        settings.peers().forEach(peerConnections::sendHeartbeatsTo);
        eventLoop.execute(controller::start);
        eventLoop.schedule(this::startWarmUp, WARM_UP_AFTER_MICROS, TimeUnit.MICROSECONDS);
        LOG.info(
                "version {}: {} in {} listens on {}",
                Main.VERSION,
                settings.nodeName(),
                settings.zone(),
                settings.listenAddress());
    }

    /** In the time that is left over, a standby warms up the leader's code, by way of a server as real requests take. */
    private void startWarmUp() {
        warmUp = new StandbyWarmUp(settings, timers, timers, () -> !controller.isLeader());
        Server warmUpServer = new Server(
                eventLoop, warmUp, timers, new Server.Limits(1, 1, Long.MAX_VALUE, Long.MAX_VALUE), () -> {});
        EmbeddedChannel connection = new EmbeddedChannel();
        warmUpServer.serve(connection);
        warmUp.useConnection(request -> {
            connection.writeInbound(Unpooled.wrappedBuffer(request));
            for (ByteBuf out = connection.readOutbound(); out != null; out = connection.readOutbound()) {
                out.release();
            }
        });
        warmUp.start();
    }

    /** Stops the controller and then the event loop that it runs on. */
    public void stop() {
        eventLoop.execute(() -> {
            if (warmUp != null) {
                warmUp.cancel();
            }
            controller.stop();
        });
        eventLoop.parent().shutdownGracefully();
    }
}
