package org.weldcourse.http;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.function.IntSupplier;

/**
 * The caller on Netty: keeps idle connections by address and sends one request at a time on each. Not thread-safe: it
 * is called on its event loop only.
 */
public final class NettyHttpClient implements HttpClient {
    private static final int MAX_RESPONSE_BYTES = 16 * 1024 * 1024;
    private static final int CONNECT_TIMEOUT_MILLIS = 1_500;
    /** Appended to the address to keep dedicated connections apart from the shared ones in the pool. */
    private static final String DEDICATED_SUFFIX = " dedicated";

    private static final long LATE_LOOP_GRACE_MICROS = 1_000;

    private final EventLoop loop;
    private final IdleConnectionPool<Connection> idle;

    /** A caller that keeps at most {@code maxIdle} connections open for its next calls; asked anew each time. */
    public NettyHttpClient(EventLoop loop, IntSupplier maxIdle) {
        this.loop = loop;
        this.idle = new IdleConnectionPool<>(maxIdle, connection -> connection.context.close());
    }

    /** Closes idle connections beyond the current maximum, which may have become smaller. */
    public void trim() {
        idle.trim();
    }

    @Override
    public void call(Call call, Callback done) {
        String poolKey = call.dedicatedConnection() ? call.address() + DEDICATED_SUFFIX : call.address();
        Connection idleConnection = takeIdle(poolKey);
        Exchange exchange = new Exchange(call, done);
        // A loop that is late runs its expired timers before it reads what came in meanwhile, though an answer may long
        // be there; so the sockets are read once more before giving up. A busy leader lost its lease over renewals that
        // had been answered in time.
        exchange.timeout = loop.schedule(
                () -> exchange.timeout = loop.schedule(exchange::giveUp, LATE_LOOP_GRACE_MICROS, TimeUnit.MICROSECONDS),
                call.timeoutMicros(),
                TimeUnit.MICROSECONDS);
        if (idleConnection != null) {
            idleConnection.send(exchange);
        } else {
            connectAndSend(poolKey, exchange);
        }
    }

    /** Opens a new connection for the exchange; a failure to connect means the request was never sent. */
    private void connectAndSend(String poolKey, Exchange exchange) {
        Connection fresh = new Connection(poolKey);
        HostPort to = HostPort.of(exchange.call.address());
        ChannelFuture connecting = new Bootstrap()
                .group(loop)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
                .handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        channel.pipeline()
                                .addLast(new HttpClientCodec())
                                .addLast(new HttpObjectAggregator(MAX_RESPONSE_BYTES))
                                .addLast(fresh);
                    }
                })
                .connect(to.host(), to.port());
        exchange.channel = connecting.channel();
        connecting.addListener(future -> {
            if (!future.isSuccess()) {
                exchange.finish(Response.NOT_SENT);
            } else if (exchange.finished) {
                connecting.channel().close();
            } else {
                fresh.send(exchange);
            }
        });
    }

    private Connection takeIdle(String poolKey) {
        Connection connection = idle.take(poolKey);
        while (connection != null && !connection.context.channel().isActive()) {
            connection = idle.take(poolKey);
        }
        return connection;
    }

    /** One request and its answer; finishes exactly once. */
    private static final class Exchange {
        final Call call;
        final Callback done;
        Future<?> timeout;
        Channel channel;
        boolean sent;
        boolean finished;

        Exchange(Call call, Callback done) {
            this.call = call;
            this.done = done;
        }

        void giveUp() {
            if (!finished) {
                finish(sent ? Response.NO_RESPONSE : Response.NOT_SENT);
                if (channel != null) {
                    channel.close();
                }
            }
        }

        void finish(Response answer) {
            if (finished) {
                return;
            }
            finished = true;
            timeout.cancel(false);
            done.accept(answer);
        }
    }

    /** A connection to one address, with at most one request outstanding. */
    private final class Connection extends SimpleChannelInboundHandler<FullHttpResponse> {
        /** Under what it is kept while it idles. */
        private final String poolKey;

        private ChannelHandlerContext context;
        private Exchange current;

        Connection(String poolKey) {
            this.poolKey = poolKey;
        }

        @Override
        public void handlerAdded(ChannelHandlerContext ctx) {
            context = ctx;
        }

        void send(Exchange exchange) {
            current = exchange;
            exchange.channel = context.channel();
            exchange.sent = true;
            byte[] body = exchange.call.body() == null ? new byte[0] : Json.bytes(exchange.call.body());
            DefaultFullHttpRequest request = new DefaultFullHttpRequest(
                    HttpVersion.HTTP_1_1,
                    HttpMethod.valueOf(exchange.call.method()),
                    exchange.call.path(),
                    Unpooled.wrappedBuffer(body));
            request.headers().set(HttpHeaderNames.HOST, exchange.call.address());
            request.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.length);
            if (body.length > 0) {
                request.headers().set(HttpHeaderNames.CONTENT_TYPE, "application/json");
            }
            context.writeAndFlush(request);
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpResponse response) {
            Exchange answered = current;
            current = null;
            if (answered == null) {
                ctx.close();
                return;
            }
            byte[] body = ByteBufUtil.getBytes(response.content());
            if (HttpUtil.isKeepAlive(response)) {
                idle.keep(poolKey, this);
            } else {
                ctx.close();
            }
            answered.finish(new Response(response.status().code(), Json.objectOrEmpty(body)));
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            idle.forget(this);
            if (current != null) {
                Exchange lost = current;
                current = null;
                lost.finish(Response.NO_RESPONSE);
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }
}
