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
 * The controllers' heartbeat channel: each node holds one TCP connection to each other and sends its {@link PeerStatus}
 * on it every 0.4 s; what it hears comes in on the connections that the others hold to it. All routines run on the one
 * event loop given.
 */
public final class PeerConnections {
    private static final long HEARTBEAT_MICROS = 400_000;
    private static final long SILENCE_MICROS = 25 * HEARTBEAT_MICROS;
    private static final int CONNECT_TIMEOUT_MILLIS = 1_000;
    /** Refusals in a row, after a connection that had been made, that speak for an ended process. */
    private static final int REFUSALS_TO_BELIEVE = 2;

    private static final long RETRY_MICROS = 150_000;

    private final EventLoop loop;
    private final Clock clock;
    private final Peers peers;

    /** The connections between this node and its peers. */
    public PeerConnections(EventLoop loop, Clock clock, Peers peers) {
        this.loop = loop;
        this.clock = clock;
        this.peers = peers;
    }

    /**
     * Begins to accept connections of peers at this address ({@code host:port}).
     *
     * @throws InterruptedException when interrupted while the socket is bound
     */
    public void listen(String address) throws InterruptedException {
        HostPort at = HostPort.of(address);
        new ServerBootstrap()
                .group(loop)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        channel.pipeline()
                                .addLast(new IdleStateHandler(SILENCE_MICROS, 0, 0, TimeUnit.MICROSECONDS))
                                .addLast(new HeartbeatReceiver());
                    }
                })
                .bind(at.host(), at.port())
                .sync();
    }

    /** Keeps a connection to a peer, opened anew whenever it ends, and sends this node's heartbeats on it. */
    public void sendHeartbeatsTo(Settings.Peer peer) {
        loop.execute(new HeartbeatSender(peer)::connect);
    }

    /** Reads the heartbeats on a connection that a peer holds to this node. */
    private final class HeartbeatReceiver extends SimpleChannelInboundHandler<ByteBuf> {
        private final ByteBuffer gathered = ByteBuffer.allocate(2 * PeerStatus.MAX_FRAME_BYTES);

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, ByteBuf bytes)
                throws PeerStatus.MalformedFrameException {
            while (bytes.isReadable()) {
                gathered.limit(Math.min(gathered.capacity(), gathered.position() + bytes.readableBytes()));
                bytes.readBytes(gathered);
                gathered.flip();
                for (PeerStatus status = PeerStatus.decode(gathered);
                        status != null;
                        status = PeerStatus.decode(gathered)) {
                    peers.heartbeatReceived(status);
                }
                gathered.compact();
            }
        }

        /** A peer that lives speaks at a steady beat; one that ended or is cut off leaves its connection behind. */
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
            HostPort to = HostPort.of(peer.address());
            ChannelFuture connecting = new Bootstrap()
                    .group(loop)
                    .channel(NioSocketChannel.class)
                    .option(ChannelOption.TCP_NODELAY, true)
                    .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
                    .handler(new ChannelInitializer<Channel>() {
                        @Override
                        protected void initChannel(Channel channel) {
                            channel.pipeline().addLast(new ClosesOnInbound());
                        }
                    })
                    .connect(to.host(), to.port());
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
            long sinceMicros = clock.nowMicros();
            // One that ends as soon as it stands would else be opened anew without a pause.
            channel.closeFuture()
                    .addListener(closed ->
                            reconnectIn(clock.nowMicros() - sinceMicros < HEARTBEAT_MICROS ? RETRY_MICROS : 0));
            sendHeartbeats(channel);
        }

        private void connectionFailed(Throwable cause) {
            boolean refused = cause instanceof ConnectException && !(cause instanceof ConnectTimeoutException);
            if (refused && wasConnected && ++refusals == REFUSALS_TO_BELIEVE) {
                wasConnected = false;
                peers.connectionsRefused(peer.name());
            }
            reconnectIn(RETRY_MICROS * (wasConnected ? 1 : 4));
        }

        private void reconnectIn(long delayMicros) {
            loop.schedule(this::connect, delayMicros, TimeUnit.MICROSECONDS);
        }

        private void sendHeartbeats(Channel channel) {
            if (channel.isActive()) {
                // One that does not read is told nothing more until it does: its status would only be old.
                if (channel.isWritable()) {
                    channel.writeAndFlush(
                            Unpooled.wrappedBuffer(peers.ownStatus().encode()));
                }
                loop.schedule(() -> sendHeartbeats(channel), HEARTBEAT_MICROS, TimeUnit.MICROSECONDS);
            }
        }
    }

    /** Nothing is expected on a connection that this node sends heartbeats on. */
    private static final class ClosesOnInbound extends SimpleChannelInboundHandler<ByteBuf> {
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
