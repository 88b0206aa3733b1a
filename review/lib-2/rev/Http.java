package rev;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;

/** HTTP/1.1 over blocking sockets, on loopback addresses only. */
final class Http {
    static final String HOST = "127.0.0.1";
    private static final Set<Integer> USED_PORTS = ConcurrentHashMap.newKeySet();

    private Http() {}

    record Request(String method, String path, byte[] body) {
        String text() {
            return new String(body, StandardCharsets.UTF_8);
        }
    }

    /** Status 0: no response; -1: no connection. */
    record Response(int status, String body, Map<String, String> headers) {
        static Response of(int status, Object json) {
            return new Response(status, Json.write(json), Map.of());
        }

        Map<String, Object> json() {
            return Json.object(body);
        }
    }

    interface Handler {
        /** Returns null to close the connection without an answer. */
        Response handle(Request request) throws Exception;
    }

    /** A free port below the ephemeral range. */
    static int freePort() throws IOException {
        for (int i = 0; i < 300; i++) {
            int port = 10_000 + ThreadLocalRandom.current().nextInt(22_000);
            if (USED_PORTS.add(port)) {
                try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getByName(HOST))) {
                    return socket.getLocalPort();
                } catch (IOException taken) {
                    continue;
                }
            }
        }
        throw new IOException("no free port");
    }

    static Thread daemon(String name, Runnable work) {
        Thread thread = new Thread(work, name);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    /** A server with a thread for each connection. */
    static final class Server {
        private final ServerSocket socket;
        private final Handler handler;
        private final Set<Socket> connections = ConcurrentHashMap.newKeySet();

        Server(int port, Handler handler) throws IOException {
            this.handler = handler;
            this.socket = new ServerSocket(port, 500, InetAddress.getByName(HOST));
            daemon("accept " + port, this::accept);
        }

        private void accept() {
            while (!socket.isClosed()) {
                try {
                    Socket connection = socket.accept();
                    connections.add(connection);
                    daemon("serve", () -> serve(connection));
                } catch (IOException closed) {
                    return;
                }
            }
        }

        private void serve(Socket connection) {
            try (connection) {
                connection.setTcpNoDelay(true);
                InputStream in = new BufferedInputStream(connection.getInputStream(), 65536);
                OutputStream out = connection.getOutputStream();
                while (true) {
                    String first = line(in);
                    if (first == null || first.isEmpty()) {
                        return;
                    }
                    Map<String, String> headers = headers(in);
                    byte[] body = in.readNBytes(Integer.parseInt(headers.getOrDefault("content-length", "0")));
                    String[] words = first.split(" ");
                    Response response = handler.handle(new Request(words[0], words[1], body));
                    if (response == null) {
                        return;
                    }
                    byte[] bytes = response.body.getBytes(StandardCharsets.UTF_8);
                    String head = "HTTP/1.1 " + response.status + " X\r\nContent-Type: application/json\r\nContent-Length: "
                            + bytes.length + "\r\n\r\n";
                    ByteArrayOutputStream all = new ByteArrayOutputStream(head.length() + bytes.length);
                    all.write(head.getBytes(StandardCharsets.US_ASCII));
                    all.write(bytes);
                    out.write(all.toByteArray());
                    out.flush();
                    if ("close".equalsIgnoreCase(headers.get("connection"))) {
                        return;
                    }
                }
            } catch (Exception ended) {
                // The client has gone, or the stand-in ends.
            } finally {
                connections.remove(connection);
            }
        }

        void close() {
            try {
                socket.close();
                for (Socket connection : connections) {
                    connection.close();
                }
            } catch (IOException ignored) {
                // Nothing is left to close.
            }
        }
    }

    /** A client connection that is kept open between calls to the same address. */
    static final class Client {
        private String address;
        private Socket socket;
        private InputStream in;

        Response call(String to, String method, String path, String body, int timeoutMillis) {
            long deadline = System.nanoTime() + timeoutMillis * 1_000_000L;
            try {
                if (socket == null || !to.equals(address)) {
                    close();
                    String[] parts = to.split(":");
                    Socket fresh = new Socket();
                    fresh.connect(
                            new InetSocketAddress(parts[0], Integer.parseInt(parts[1])), Math.min(500, timeoutMillis));
                    fresh.setTcpNoDelay(true);
                    socket = fresh;
                    address = to;
                    in = new BufferedInputStream(fresh.getInputStream(), 65536);
                }
            } catch (IOException refused) {
                close();
                return new Response(-1, "", Map.of());
            }
            try {
                byte[] bytes = body == null ? new byte[0] : body.getBytes(StandardCharsets.UTF_8);
                String head = method + " " + path + " HTTP/1.1\r\nHost: " + to + "\r\nContent-Length: " + bytes.length
                        + (bytes.length > 0 ? "\r\nContent-Type: application/json" : "") + "\r\n\r\n";
                ByteArrayOutputStream all = new ByteArrayOutputStream(head.length() + bytes.length);
                all.write(head.getBytes(StandardCharsets.US_ASCII));
                all.write(bytes);
                socket.getOutputStream().write(all.toByteArray());
                socket.getOutputStream().flush();
                socket.setSoTimeout((int) Math.max(1, (deadline - System.nanoTime()) / 1_000_000));
                String first = line(in);
                if (first == null) {
                    close();
                    return new Response(0, "", Map.of());
                }
                Map<String, String> headers = headers(in);
                byte[] answer = in.readNBytes(Integer.parseInt(headers.getOrDefault("content-length", "0")));
                if ("close".equalsIgnoreCase(headers.get("connection"))) {
                    close();
                }
                return new Response(
                        Integer.parseInt(first.split(" ")[1]), new String(answer, StandardCharsets.UTF_8), headers);
            } catch (IOException lost) {
                close();
                return new Response(0, "", Map.of());
            }
        }

        void close() {
            try {
                if (socket != null) {
                    socket.close();
                }
            } catch (IOException ignored) {
                // Closed already.
            }
            socket = null;
        }
    }

    /** One call on a connection of its own. */
    static Response call(String to, String method, String path, String body, int timeoutMillis) {
        Client client = new Client();
        try {
            return client.call(to, method, path, body, timeoutMillis);
        } finally {
            client.close();
        }
    }

    private static String line(InputStream in) throws IOException {
        ByteArrayOutputStream out = new ByteArrayOutputStream(80);
        for (int c = in.read(); c >= 0; c = in.read()) {
            if (c == '\n') {
                return out.toString(StandardCharsets.US_ASCII).trim();
            }
            out.write(c);
        }
        return null;
    }

    private static Map<String, String> headers(InputStream in) throws IOException {
        Map<String, String> headers = new java.util.HashMap<>();
        for (String line = line(in); line != null && !line.isEmpty(); line = line(in)) {
            int colon = line.indexOf(':');
            headers.put(line.substring(0, colon).trim().toLowerCase(), line.substring(colon + 1).trim());
        }
        return headers;
    }
}
