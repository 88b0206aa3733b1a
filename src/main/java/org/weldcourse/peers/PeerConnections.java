package org.weldcourse.peers;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.ConnectTimeoutException;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.timeout.IdleStateEvent;
import io.netty.handler.timeout.IdleStateHandler;
import java.net.ConnectException;
import java.nio.ByteBuffer;
import java.util.concurrent.TimeUnit;
import org.weldcourse.http.HostPort;
import org.weldcourse.runtime.Clock;
import org.weldcourse.settings.Settings;

/**
 * The TCP connections for heartbeats between controllers. Each node opens one connection to every peer and sends its
 * {@link PeerStatus} on it every 0.4 s. It receives the heartbeats of its peers on the connections that they open. All
 * code runs on the given event loop.
 */
public final class PeerConnections {
    private static final long HEARTBEAT_INTERVAL_MICROS = 400_000;
    private static final long IDLE_TIMEOUT_MICROS = 25 * HEARTBEAT_INTERVAL_MICROS;
    private static final int CONNECT_TIMEOUT_MILLIS = 1_000;
    /** After this many consecutive refusals, the process of a peer that was connected before counts as ended. */
    private static final int REFUSALS_UNTIL_ENDED = 2;

    private static final long RECONNECT_DELAY_MICROS = 150_000;

    private final EventLoop loop;
    private final Clock clock;
    private final Peers peers;

    /** Creates the heartbeat connections of a node; they start with {@link #listen} and {@link #sendHeartbeatsTo}. */
    public PeerConnections(EventLoop loop, Clock clock, Peers peers) {
        this.loop = loop;
        this.clock = clock;
        this.peers = peers;
    }

    /**
     * Starts accepting connections of peers at this address ({@code host:port}).
     *
     * @throws InterruptedException when interrupted while the socket is bound
     */
    public void listen(String address) throws InterruptedException {
        HostPort endpoint = HostPort.of(address);
        new ServerBootstrap()
                .group(loop)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        channel.pipeline()
                                .addLast(new IdleStateHandler(IDLE_TIMEOUT_MICROS, 0, 0, TimeUnit.MICROSECONDS))
                                .addLast(new HeartbeatReceiver());
                    }
                })
                .bind(endpoint.host(), endpoint.port())
                .sync();
    }

    /** Keeps a connection to a peer, reconnecting whenever it closes, and sends this node's heartbeats on it. */
    public void sendHeartbeatsTo(Settings.Peer peer) {
        loop.execute(new HeartbeatSender(peer)::connect);
    }

    /** Reads the heartbeats on a connection that a peer opened. */
    private final class HeartbeatReceiver extends SimpleChannelInboundHandler<ByteBuf> {
        private final ByteBuffer receiveBuffer = ByteBuffer.allocate(2 * PeerStatus.MAX_FRAME_BYTES);

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, ByteBuf bytes)
                throws PeerStatus.MalformedFrameException {
            while (bytes.isReadable()) {
                receiveBuffer.limit(
                        Math.min(receiveBuffer.capacity(), receiveBuffer.position() + bytes.readableBytes()));
                bytes.readBytes(receiveBuffer);
                receiveBuffer.flip();
                for (PeerStatus status = PeerStatus.decode(receiveBuffer);
                        status != null;
                        status = PeerStatus.decode(receiveBuffer)) {
                    peers.heartbeatReceived(status);
                }
                receiveBuffer.compact();
            }
        }

        /** Closes an idle connection: its peer has stopped sending heartbeats because it ended or is disconnected. */
        @Override
        public void userEventTriggered(ChannelHandlerContext ctx, Object event) {
            if (event instanceof IdleStateEvent) {
                ctx.close();
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }

    /** Keeps a connection to one peer and sends heartbeats on it. */
    private final class HeartbeatSender {
        private final Settings.Peer peer;
        private boolean wasConnected;
        private int refusals;

        HeartbeatSender(Settings.Peer peer) {
            this.peer = peer;
        }

        void connect() {
            HostPort endpoint = HostPort.of(peer.address());
            ChannelFuture connecting = new Bootstrap()
                    .group(loop)
                    .channel(NioSocketChannel.class)
                    .option(ChannelOption.TCP_NODELAY, true)
                    .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
                    .handler(new ChannelInitializer<Channel>() {
                        @Override
                        protected void initChannel(Channel channel) {
                            channel.pipeline().addLast(new CloseOnInboundHandler());
                        }
                    })
                    .connect(endpoint.host(), endpoint.port());
            connecting.addListener(future -> {
                if (future.isSuccess()) {
                    connected(connecting.channel());
                } else {
                    connectionFailed(future.cause());
                }
            });
        }

        private void connected(Channel channel) {
            wasConnected = true;
            refusals = 0;
            long connectedMicros = clock.nowMicros();
            // Without the delay, a connection that is closed right after it opens would be reopened in a tight loop.
            channel.closeFuture()
                    .addListener(closed -> reconnectIn(
                            clock.nowMicros() - connectedMicros < HEARTBEAT_INTERVAL_MICROS
                                    ? RECONNECT_DELAY_MICROS
                                    : 0));
            sendHeartbeats(channel);
        }

        private void connectionFailed(Throwable cause) {
            boolean refused = cause instanceof ConnectException && !(cause instanceof ConnectTimeoutException);
            if (refused && wasConnected && ++refusals == REFUSALS_UNTIL_ENDED) {
                wasConnected = false;
                peers.connectionsRefused(peer.name());
            }
            reconnectIn(RECONNECT_DELAY_MICROS * (wasConnected ? 1 : 4));
        }

        private void reconnectIn(long delayMicros) {
            loop.schedule(this::connect, delayMicros, TimeUnit.MICROSECONDS);
        }

        private void sendHeartbeats(Channel channel) {
            if (channel.isActive()) {
                // Skips heartbeats while the peer does not read: queued ones would be outdated.
                if (channel.isWritable()) {
                    channel.writeAndFlush(
                            Unpooled.wrappedBuffer(peers.ownStatus().encode()));
                }
                loop.schedule(() -> sendHeartbeats(channel), HEARTBEAT_INTERVAL_MICROS, TimeUnit.MICROSECONDS);
            }
        }
    }

    /** Closes an outbound connection on any inbound data, which the protocol does not allow. */
    private static final class CloseOnInboundHandler extends SimpleChannelInboundHandler<ByteBuf> {
        @Override
        protected void channelRead0(ChannelHandlerContext ctx, ByteBuf bytes) {
            ctx.close();
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }
}
