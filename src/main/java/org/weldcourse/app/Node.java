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

/** Runs a controller on the network: one event loop, a listener for users and workers, and a listener for peers. */
public final class Node {
    private static final Logger LOG = LoggerFactory.getLogger(Node.class);
    /** The share of inbound connections that is reserved for users and not available to workers. */
    private static final double USER_CONNECTION_SHARE = 0.15;
    /** A connection that is silent for this many heartbeat intervals may be closed in favor of a new one. */
    private static final int EVICTABLE_AFTER_SILENT_HEARTBEATS = 3;
    /** A connection that is silent for this many worker leases is closed. */
    private static final int CLOSE_AFTER_SILENT_LEASES = 2;

    private static final long WARM_UP_DELAY_MICROS = 1_500_000;

    private final Settings settings;
    private final EventLoop eventLoop;
    private final EventLoopTimers timers;
    private final Controller controller;
    private final Server server;
    private StandbyWarmUp standbyWarmUp;

    /** Creates a node; {@link #start} opens its listeners. */
    public Node(Settings settings, OperatorSettings operatorSettings) {
        this.settings = settings;
        this.eventLoop = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory()).next();
        this.timers = new EventLoopTimers(eventLoop);
        NettyHttpClient httpClient = new NettyHttpClient(eventLoop, this::maxIdleSockets);
        this.controller = new Controller(
                settings,
                operatorSettings,
                httpClient,
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
                        (int) (inboundConnections * (1 - USER_CONNECTION_SHARE)),
                        EVICTABLE_AFTER_SILENT_HEARTBEATS * settings.workers().heartbeatIntervalMicros(),
                        CLOSE_AFTER_SILENT_LEASES * settings.workers().leaseMicros()),
                httpClient::trim);
    }

    /**
     * The maximum number of idle outbound connections: all sockets that inbound connections leave free, and at least
     * {@link Settings#reservedIdleSockets}, because reusing a connection is cheaper than opening one.
     */
    private int maxIdleSockets() {
        int free = settings.maxSockets() - settings.outboundSockets() - server.openConnections();
        return Math.max(settings.reservedIdleSockets(), free);
    }

    /** Opens the listeners for users, workers and peers, and starts the controller. */
    public void start() throws InterruptedException {
        server.listen(settings.listenAddress());
        PeerConnections peerConnections = new PeerConnections(eventLoop, timers, controller.peers());
        peerConnections.listen(settings.peerAddress());
        settings.peers().forEach(peerConnections::sendHeartbeatsTo);
        eventLoop.execute(controller::start);
        eventLoop.schedule(this::startWarmUp, WARM_UP_DELAY_MICROS, TimeUnit.MICROSECONDS);
        LOG.info(
                "version {}: {} in {} listens on {}",
                Main.VERSION,
                settings.nodeName(),
                settings.zone(),
                settings.listenAddress());
    }

    /**
     * Starts the warm-up of the leader's code, which runs in spare time while this node is a standby. Its requests pass
     * through a server of their own, so that the HTTP code is warmed up too.
     */
    private void startWarmUp() {
        standbyWarmUp = new StandbyWarmUp(settings, timers, timers, () -> !controller.isLeader());
        Server warmUpServer = new Server(
                eventLoop, standbyWarmUp, timers, new Server.Limits(1, 1, Long.MAX_VALUE, Long.MAX_VALUE), () -> {});
        EmbeddedChannel connection = new EmbeddedChannel();
        warmUpServer.serve(connection);
        standbyWarmUp.useConnection(request -> {
            connection.writeInbound(Unpooled.wrappedBuffer(request));
            for (ByteBuf out = connection.readOutbound(); out != null; out = connection.readOutbound()) {
                out.release();
            }
        });
        standbyWarmUp.start();
    }

    /** Stops the controller, then its event loop. */
    public void stop() {
        eventLoop.execute(() -> {
            if (standbyWarmUp != null) {
                standbyWarmUp.cancel();
            }
            controller.stop();
        });
        eventLoop.parent().shutdownGracefully();
    }
}
