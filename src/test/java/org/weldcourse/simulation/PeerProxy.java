package org.weldcourse.simulation;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.util.ReferenceCountUtil;
import java.io.IOException;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashSet;
import java.util.Set;

/**
 * TCP proxy for the connections from one controller to another. While the link is cut, the proxy buffers the bytes, and
 * delivers them in order when the link is healed. A closed proxy refuses connections like the port of a terminated process.
 */
final class PeerProxy {
    private static final String HOST = "127.0.0.1";

    private final EventLoop loop;
    private final int port;
    private final int targetPort;
    private final NetworkFaults faults;
    private final String link;
    private final Set<Relay> relays = new HashSet<>();
    private Channel listener;

    PeerProxy(EventLoop loop, int targetPort, NetworkFaults faults, String link) throws IOException {
        this.loop = loop;
        this.port = DeployedProgram.freePort();
        this.targetPort = targetPort;
        this.faults = faults;
        this.link = link;
        faults.onHeal(() -> Set.copyOf(relays).forEach(Relay::deliver));
    }

    int port() {
        return port;
    }

    void open() throws InterruptedException {
        if (listener != null) {
            return;
        }
        listener = new ServerBootstrap()
                .group(loop)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        channel.config().setAutoRead(false);
                        connect(channel);
                    }
                })
                .bind(HOST, port)
                .sync()
                .channel();
    }

    void close() throws InterruptedException {
        if (listener != null) {
            listener.close().sync();
            listener = null;
        }
    }

    private void connect(Channel inbound) {
        new Bootstrap()
                .group(loop)
                .channel(NioSocketChannel.class)
                .handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel outbound) {
                        // Peers send data in one direction only; the other direction just propagates the close.
                        outbound.pipeline().addLast(new Relay(inbound));
                    }
                })
                .connect(HOST, targetPort)
                .addListener((ChannelFutureListener) connecting -> {
                    if (connecting.isSuccess()) {
                        inbound.pipeline().addLast(new Relay(connecting.channel()));
                        inbound.config().setAutoRead(true);
                    } else {
                        inbound.close();
                    }
                });
    }

    /** Forwards the data of one channel to another. */
    private final class Relay extends ChannelInboundHandlerAdapter {
        private final Channel to;
        private final Deque<Object> buffered = new ArrayDeque<>();

        Relay(Channel to) {
            this.to = to;
            relays.add(this);
        }

        @Override
        public void channelRead(ChannelHandlerContext context, Object bytes) {
            buffered.add(bytes);
            if (faults.isCut(link)) {
                faults.count(NetworkFaults.Effect.PEERS_CUT);
            } else {
                deliver();
            }
        }

        void deliver() {
            while (!faults.isCut(link) && !buffered.isEmpty()) {
                to.write(buffered.poll());
            }
            to.flush();
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            relays.remove(this);
            buffered.forEach(ReferenceCountUtil::release);
            buffered.clear();
            to.close();
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }
    }
}
