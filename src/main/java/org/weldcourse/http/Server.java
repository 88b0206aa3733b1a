package org.weldcourse.http;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.timeout.IdleStateEvent;
import io.netty.handler.timeout.IdleStateHandler;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.weldcourse.runtime.Clock;

/**
 * The HTTP server for users, workers and health checks. It handles requests on its event loop, limits connections (see
 * {@link Limits}), and answers request bodies above 64 KiB with status 400.
 */
public final class Server {
    private static final Logger LOG = LoggerFactory.getLogger(Server.class);
    private static final int MAX_BODY_BYTES = 64 * 1024;

    private final EventLoop loop;
    private final Handler handler;
    private final Clock clock;
    private final Limits limits;
    private final Runnable onConnectionOpened;
    private final ConnectionLimiter<Channel> connectionLimiter;

    /** Creates a server; {@code onConnectionOpened} runs after each accepted connection. */
    public Server(EventLoop loop, Handler handler, Clock clock, Limits limits, Runnable onConnectionOpened) {
        this.loop = loop;
        this.handler = handler;
        this.clock = clock;
        this.limits = limits;
        this.onConnectionOpened = onConnectionOpened;
        this.connectionLimiter = new ConnectionLimiter<>(
                limits.maxConnections, limits.maxWorkerConnections, limits.evictAfterSilentMicros, Channel::close);
    }

    /**
     * Limits on inbound connections.
     *
     * @param maxConnections the maximum number of connections
     * @param maxWorkerConnections how many of these may belong to workers
     * @param evictAfterSilentMicros the time without requests after which a connection may be closed in favor of a new
     *     one
     * @param closeAfterIdleMicros the time without received data after which a connection is always closed
     */
    public record Limits(
            int maxConnections, int maxWorkerConnections, long evictAfterSilentMicros, long closeAfterIdleMicros) {}

    /** Handles the requests to a server. */
    public interface Handler {
        /** Handles a request; the reply may be sent after the return. */
        void handle(Request request, Reply reply);

        /** Whether the request comes from a worker, so that its connection counts against the limit for workers. */
        default boolean isFromWorker(Request request) {
            return false;
        }
    }

    /** A request with its complete body. */
    public record Request(String method, String path, byte[] body) {}

    /** Sends the response to a request; used once per request. */
    public interface Reply {
        /** Sends a JSON response, with a {@code Retry-After} header if {@code retryAfterSeconds} is above 0. */
        void send(int status, Map<String, Object> body, int retryAfterSeconds);

        /** Sends a JSON response without a {@code Retry-After} header. */
        default void send(int status, Map<String, Object> body) {
            send(status, body, 0);
        }

        /** Sends plain text. An implementation that only supports JSON sends it as the field {@code text}. */
        default void sendText(int status, String text) {
            send(status, Json.of("text", text));
        }

        /** Sends an error with the time after which the client should retry. */
        default void refuse(int status, String reason, int retryAfterSeconds) {
            send(status, Json.of("error", reason), retryAfterSeconds);
        }
    }

    /** The number of open connections. */
    public int openConnections() {
        return connectionLimiter.size();
    }

    /**
     * Starts to accept connections at {@code host:port}; returns when the address is bound.
     *
     * @throws InterruptedException if interrupted while binding
     */
    public void listen(String address) throws InterruptedException {
        HostPort hostPort = HostPort.of(address);
        new ServerBootstrap()
                .group(loop)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_REUSEADDR, true)
                // All workers connect to a new leader at the same time.
                .option(ChannelOption.SO_BACKLOG, limits.maxConnections)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        if (!connectionLimiter.admit(channel, clock.nowMicros())) {
                            channel.close();
                            return;
                        }
                        channel.closeFuture().addListener(closed -> connectionLimiter.remove(channel));
                        onConnectionOpened.run();
                        // Machines that fail or become unreachable do not close their connections.
                        channel.pipeline()
                                .addLast(
                                        new IdleStateHandler(limits.closeAfterIdleMicros, 0, 0, TimeUnit.MICROSECONDS));
                        serve(channel);
                    }
                })
                .bind(hostPort.host(), hostPort.port())
                .sync();
    }

    /** Sets up a channel so that its requests are handled by this server. */
    public void serve(Channel channel) {
        channel.pipeline()
                .addLast(new HttpServerCodec())
                .addLast(new LimitedBodyAggregator())
                .addLast(new RequestHandler());
    }

    /** Aggregates request bodies. It answers one that is too large with 400, as the API defines, not with 413. */
    private static final class LimitedBodyAggregator extends HttpObjectAggregator {
        LimitedBodyAggregator() {
            super(MAX_BODY_BYTES);
        }

        @Override
        protected void handleOversizedMessage(ChannelHandlerContext ctx, HttpMessage oversized) {
            byte[] bytes = Json.bytes(Json.of("error", "body over 64 KiB"));
            DefaultFullHttpResponse response = new DefaultFullHttpResponse(
                    HttpVersion.HTTP_1_1, HttpResponseStatus.BAD_REQUEST, Unpooled.wrappedBuffer(bytes));
            response.headers().set(HttpHeaderNames.CONTENT_LENGTH, bytes.length);
            response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
            ctx.writeAndFlush(response).addListener(ChannelFutureListener.CLOSE);
        }
    }

    /** Passes the requests of one connection to the handler. */
    private final class RequestHandler extends SimpleChannelInboundHandler<FullHttpRequest> {
        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest message) {
            boolean keepAlive = HttpUtil.isKeepAlive(message);
            Request request =
                    new Request(message.method().name(), message.uri(), ByteBufUtil.getBytes(message.content()));
            Reply reply = new HttpReply(ctx, keepAlive);
            if (message.decoderResult().isFailure()) {
                new HttpReply(ctx, false).send(400, Json.of("error", "malformed request"));
                return;
            }
            if (!connectionLimiter.recordRequest(ctx.channel(), handler.isFromWorker(request), clock.nowMicros())) {
                new HttpReply(ctx, false).refuse(503, "too many workers", 1);
                return;
            }
            try {
                handler.handle(request, reply);
            } catch (RuntimeException unexpected) {
                LOG.error("unexpected error on {} {}", request.method(), request.path(), unexpected);
                reply.refuse(503, "internal", 1);
            }
        }

        /** Stops reading requests from a client that does not read its responses, until it has caught up. */
        @Override
        public void channelWritabilityChanged(ChannelHandlerContext ctx) {
            ctx.channel().config().setAutoRead(ctx.channel().isWritable());
        }

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

    /** Sends the response to one request on its connection. */
    private static final class HttpReply implements Reply {
        private static final String PROMETHEUS_TEXT_TYPE = "text/plain; version=0.0.4; charset=utf-8";

        private final ChannelHandlerContext ctx;
        private final boolean keepAlive;

        HttpReply(ChannelHandlerContext ctx, boolean keepAlive) {
            this.ctx = ctx;
            this.keepAlive = keepAlive;
        }

        @Override
        public void send(int status, Map<String, Object> body, int retryAfterSeconds) {
            respond(status, HttpHeaderValues.APPLICATION_JSON, Json.bytes(body), retryAfterSeconds);
        }

        @Override
        public void sendText(int status, String text) {
            respond(status, PROMETHEUS_TEXT_TYPE, text.getBytes(StandardCharsets.UTF_8), 0);
        }

        private void respond(int status, CharSequence contentType, byte[] bytes, int retryAfterSeconds) {
            DefaultFullHttpResponse response = new DefaultFullHttpResponse(
                    HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status), Unpooled.wrappedBuffer(bytes));
            response.headers().set(HttpHeaderNames.CONTENT_TYPE, contentType);
            response.headers().set(HttpHeaderNames.CONTENT_LENGTH, bytes.length);
            if (retryAfterSeconds > 0) {
                response.headers().set(HttpHeaderNames.RETRY_AFTER, retryAfterSeconds);
            }
            if (keepAlive) {
                ctx.writeAndFlush(response);
            } else {
                response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
                ctx.writeAndFlush(response).addListener(ChannelFutureListener.CLOSE);
            }
        }
    }
}
