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
 * An HTTP client on Netty that reuses idle connections and sends one request at a time on each. Not thread-safe: used
 * on its event loop only.
 */
public final class NettyHttpClient implements HttpClient {
    private static final int MAX_RESPONSE_BYTES = 16 * 1024 * 1024;
    private static final int CONNECT_TIMEOUT_MILLIS = 1_500;
    /** Appended to the address in the pool key of a dedicated connection, to separate it from the shared ones. */
    private static final String DEDICATED_SUFFIX = " dedicated";

    private static final long TIMEOUT_GRACE_MICROS = 1_000;

    private final EventLoop loop;
    private final IdleConnectionPool<Connection> idle;

    /** Creates a client; {@code maxIdle} supplies the current maximum of idle connections. */
    public NettyHttpClient(EventLoop loop, IntSupplier maxIdle) {
        this.loop = loop;
        this.idle = new IdleConnectionPool<>(maxIdle, connection -> connection.context.close());
    }

    /** Closes idle connections above the current maximum, which may have decreased. */
    public void trim() {
        idle.trim();
    }

    @Override
    public void call(Call call, Callback callback) {
        String poolKey = call.dedicatedConnection() ? call.address() + DEDICATED_SUFFIX : call.address();
        Connection idleConnection = takeIdle(poolKey);
        Exchange exchange = new Exchange(call, callback);
        // A delayed event loop runs expired timers before it reads its sockets, where a response may be waiting.
        // The grace period lets it read them once more before the call times out. Without it, a busy leader lost its
        // lease although the renewals had been answered in time.
        exchange.timeout = loop.schedule(
                () -> exchange.timeout =
                        loop.schedule(exchange::handleTimeout, TIMEOUT_GRACE_MICROS, TimeUnit.MICROSECONDS),
                call.timeoutMicros(),
                TimeUnit.MICROSECONDS);
        if (idleConnection != null) {
            idleConnection.send(exchange);
        } else {
            connectAndSend(poolKey, exchange);
        }
    }

    /** Opens a connection and sends the request; if the connection fails, the outcome is {@link Response#NOT_SENT}. */
    private void connectAndSend(String poolKey, Exchange exchange) {
        Connection connection = new Connection(poolKey);
        HostPort server = HostPort.of(exchange.call.address());
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
                                .addLast(connection);
                    }
                })
                .connect(server.host(), server.port());
        exchange.channel = connecting.channel();
        connecting.addListener(future -> {
            if (!future.isSuccess()) {
                exchange.finish(Response.NOT_SENT);
            } else if (exchange.finished) {
                connecting.channel().close();
            } else {
                connection.send(exchange);
            }
        });
    }

    private Connection takeIdle(String poolKey) {
        Connection connection = idle.acquire(poolKey);
        while (connection != null && !connection.context.channel().isActive()) {
            connection = idle.acquire(poolKey);
        }
        return connection;
    }

    /** A request and its response; finishes exactly once. */
    private static final class Exchange {
        final Call call;
        final Callback callback;
        Future<?> timeout;
        Channel channel;
        boolean sent;
        boolean finished;

        Exchange(Call call, Callback callback) {
            this.call = call;
            this.callback = callback;
        }

        void handleTimeout() {
            if (!finished) {
                finish(sent ? Response.NO_RESPONSE : Response.NOT_SENT);
                if (channel != null) {
                    channel.close();
                }
            }
        }

        void finish(Response response) {
            if (finished) {
                return;
            }
            finished = true;
            timeout.cancel(false);
            callback.accept(response);
        }
    }

    /** A connection to one address, with at most one request in flight. */
    private final class Connection extends SimpleChannelInboundHandler<FullHttpResponse> {
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
            Exchange exchange = current;
            current = null;
            if (exchange == null) {
                ctx.close();
                return;
            }
            byte[] body = ByteBufUtil.getBytes(response.content());
            if (HttpUtil.isKeepAlive(response)) {
                idle.release(poolKey, this);
            } else {
                ctx.close();
            }
            exchange.finish(new Response(response.status().code(), Json.objectOrEmpty(body)));
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            idle.remove(this);
            if (current != null) {
                Exchange interrupted = current;
                current = null;
                interrupted.finish(Response.NO_RESPONSE);
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }
}
