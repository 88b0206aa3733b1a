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
 * The HTTP server that users, workers and health checks reach. Requests are answered on its event loop; the server
 * bounds its connections (see {@link Limits}) and the size of request bodies (64 KiB, else 400).
 */
public final class Server {
    private static final Logger LOG = LoggerFactory.getLogger(Server.class);
    private static final int MAX_BODY_BYTES = 64 * 1024;

    private final EventLoop loop;
    private final Handler handler;
    private final Clock clock;
    private final Limits limits;
    private final Runnable opened;
    private final ConnectionLimiter<Channel> connectionLimiter;

    /** {@code opened} runs after each new connection. */
    public Server(EventLoop loop, Handler handler, Clock clock, Limits limits, Runnable opened) {
        this.loop = loop;
        this.handler = handler;
        this.clock = clock;
        this.limits = limits;
        this.opened = opened;
        this.connectionLimiter = new ConnectionLimiter<>(
                limits.maxConnections, limits.maxWorkerConnections, limits.evictAfterSilentMicros, Channel::close);
    }

    /**
     * How many connections there may be, and how many of them workers may hold. One that has been silent for
     * {@code evictAfterSilentMicros} may be closed to make room for a new one; one that has been silent for
     * {@code closeAfterIdleMicros} is closed in any case.
     */
    public record Limits(
            int maxConnections, int maxWorkerConnections, long evictAfterSilentMicros, long closeAfterIdleMicros) {}

    /** What answers the requests of a server. */
    public interface Handler {
        /** Answers a request, now or later. */
        void handle(Request request, Reply reply);

        /** Whether only workers send this request, so that it counts against the workers' share of connections. */
        default boolean isFromWorker(Request request) {
            return false;
        }
    }

    /** A request with its whole body. */
    public record Request(String method, String path, byte[] body) {}

    /** Takes the one answer to a request. */
    public interface Reply {
        /** Sends the answer; {@code retryAfterSeconds} of 0 names no time to come back. */
        void send(int status, Map<String, Object> body, int retryAfterSeconds);

        /** Sends an answer that names no time to come back. */
        default void send(int status, Map<String, Object> body) {
            send(status, body, 0);
        }

        /** Sends plain text; where nothing but JSON can be sent, as its one field. */
        default void sendText(int status, String text) {
            send(status, Json.of("text", text));
        }

        /** A refusal that tells the client when to come back. */
        default void refuse(int status, String why, int retryAfterSeconds) {
            send(status, Json.of("error", why), retryAfterSeconds);
        }
    }

    /** How many connections are open. */
    public int openConnections() {
        return connectionLimiter.size();
    }

    /**
     * Begins to accept connections at {@code host:port}, and returns once bound.
     *
     * @throws InterruptedException if interrupted while binding
     */
    public void listen(String address) throws InterruptedException {
        HostPort at = HostPort.of(address);
        new ServerBootstrap()
                .group(loop)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_REUSEADDR, true)
                // A new leader's workers come all at once.
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
                        opened.run();
                        // Machines that died or were cut off say no goodbye.
                        channel.pipeline()
                                .addLast(
                                        new IdleStateHandler(limits.closeAfterIdleMicros, 0, 0, TimeUnit.MICROSECONDS));
                        serve(channel);
                    }
                })
                .bind(at.host(), at.port())
                .sync();
    }

    /** Reads requests from the channel and answers them on it. */
    public void serve(Channel channel) {
        channel.pipeline()
                .addLast(new HttpServerCodec())
                .addLast(new BoundedBodies())
                .addLast(new RequestHandler());
    }

    /** Gathers bodies, and answers one that is too large with 400: the protocol calls it malformed. */
    private static final class BoundedBodies extends HttpObjectAggregator {
        BoundedBodies() {
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

    /** Hands the requests of one connection to the handler. */
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
            if (!connectionLimiter.onRequest(ctx.channel(), handler.isFromWorker(request), clock.nowMicros())) {
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

        /** A client that does not read its answers is not read from either, until it catches up. */
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

    /** Answers one request on its connection. */
    private static final class HttpReply implements Reply {
        private static final String TEXT = "text/plain; version=0.0.4; charset=utf-8";

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
            respond(status, TEXT, text.getBytes(StandardCharsets.UTF_8), 0);
        }

        private void respond(int status, CharSequence type, byte[] bytes, int retryAfterSeconds) {
            DefaultFullHttpResponse response = new DefaultFullHttpResponse(
                    HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status), Unpooled.wrappedBuffer(bytes));
            response.headers().set(HttpHeaderNames.CONTENT_TYPE, type);
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
