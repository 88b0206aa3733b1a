package review;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/** HTTP on the loopback address, for all stand-ins. */
final class Http {
    static final String HOST = "127.0.0.1";

    private static final ExecutorService THREADS = Executors.newCachedThreadPool(work -> {
        Thread thread = new Thread(work);
        thread.setDaemon(true);
        return thread;
    });

    static {
        System.setProperty("sun.net.httpserver.nodelay", "true");
        System.setProperty("sun.net.httpserver.maxIdleConnections", "2000");
        System.setProperty("sun.net.httpserver.idleInterval", "600");
    }

    private static final HttpClient CLIENT = HttpClient.newBuilder()
            .version(HttpClient.Version.HTTP_1_1)
            .connectTimeout(Duration.ofSeconds(4))
            .executor(THREADS)
            .build();

    private Http() {}

    /** An answer; status 0 stands for no answer. */
    record Answer(int status, Map<String, Object> body, String retryAfter) {}

    /** Handles requests; an answer of null closes the connection without one. */
    interface Handler {
        Answer handle(String method, String path, Map<String, String> query, String body) throws Exception;
    }

    static Answer answer(int status, Object... namesAndValues) {
        return new Answer(status, Json.of(namesAndValues), null);
    }

    static void run(Runnable work) {
        THREADS.execute(work);
    }

    /** Starts a server on a free port and returns it. */
    static HttpServer serve(Handler handler) throws IOException {
        HttpServer server = HttpServer.create(new InetSocketAddress(InetAddress.getByName(HOST), 0), 1000);
        server.createContext("/", exchange -> serveOne(handler, exchange));
        server.setExecutor(THREADS);
        server.start();
        return server;
    }

    private static void serveOne(Handler handler, HttpExchange exchange) throws IOException {
        try {
            String body = new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
            Map<String, String> query = new java.util.LinkedHashMap<>();
            String raw = exchange.getRequestURI().getRawQuery();
            if (raw != null) {
                for (String part : raw.split("&")) {
                    int equals = part.indexOf('=');
                    query.put(part.substring(0, equals), part.substring(equals + 1));
                }
            }
            Answer answer = handler.handle(
                    exchange.getRequestMethod(), exchange.getRequestURI().getRawPath(), query, body);
            if (answer == null) {
                exchange.close();
                return;
            }
            byte[] bytes = Json.text(answer.body).getBytes(StandardCharsets.UTF_8);
            exchange.getResponseHeaders().set("Content-Type", "application/json");
            exchange.sendResponseHeaders(answer.status, bytes.length == 0 ? -1 : bytes.length);
            exchange.getResponseBody().write(bytes);
            exchange.close();
        } catch (IOException gone) {
            exchange.close();
        } catch (Exception unexpected) {
            unexpected.printStackTrace();
            exchange.close();
        }
    }

    /** Sends a request and waits for the answer. */
    static Answer send(String address, String method, String path, String body, double timeoutSeconds) {
        try {
            HttpRequest.Builder request = HttpRequest.newBuilder(URI.create("http://" + address + path))
                    .timeout(Duration.ofMillis(Math.round(timeoutSeconds * 1000)));
            request.method(
                    method,
                    body == null
                            ? HttpRequest.BodyPublishers.noBody()
                            : HttpRequest.BodyPublishers.ofString(body));
            HttpResponse<String> response = CLIENT.send(request.build(), HttpResponse.BodyHandlers.ofString());
            return new Answer(
                    response.statusCode(),
                    Json.object(response.body()),
                    response.headers().firstValue("Retry-After").orElse(null));
        } catch (IOException failed) {
            return new Answer(0, Map.of("failure", String.valueOf(failed)), null);
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
            return new Answer(0, Map.of(), null);
        }
    }
}
