package review;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** The link from one controller to another's peer address. While it is refused, connections to it are refused. */
final class PeerLink {
    final int port;
    private final String target;
    private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();
    private ServerSocket server;

    PeerLink(String target) throws IOException {
        this.target = target;
        server = new ServerSocket(0, 50, InetAddress.getByName(Http.HOST));
        port = server.getLocalPort();
        ServerSocket first = server;
        Http.run(() -> accept(first));
    }

    /** Refuses connections and resets the open ones, as a packet filter does; or lets them through again. */
    synchronized void refuse(boolean refused) throws IOException {
        if (refused) {
            server.close();
            sockets.forEach(PeerLink::reset);
        } else {
            ServerSocket again = new ServerSocket();
            again.setReuseAddress(true);
            again.bind(new InetSocketAddress(InetAddress.getByName(Http.HOST), port), 50);
            server = again;
            Http.run(() -> accept(again));
        }
    }

    private static void reset(Socket socket) {
        try {
            socket.setSoLinger(true, 0);
            socket.close();
        } catch (IOException closed) {
            // It is closed already.
        }
    }

    private void accept(ServerSocket from) {
        while (true) {
            Socket inbound;
            try {
                inbound = from.accept();
            } catch (IOException closed) {
                return;
            }
            Http.run(() -> connect(inbound));
        }
    }

    private void connect(Socket inbound) {
        String[] hostAndPort = target.split(":");
        Socket outbound = new Socket();
        try {
            outbound.connect(new InetSocketAddress(hostAndPort[0], Integer.parseInt(hostAndPort[1])), 1000);
            inbound.setTcpNoDelay(true);
            outbound.setTcpNoDelay(true);
        } catch (IOException refused) {
            reset(inbound);
            return;
        }
        sockets.add(inbound);
        sockets.add(outbound);
        Http.run(() -> pump(inbound, outbound));
        Http.run(() -> pump(outbound, inbound));
    }

    private void pump(Socket from, Socket to) {
        try {
            InputStream in = from.getInputStream();
            OutputStream out = to.getOutputStream();
            byte[] buffer = new byte[4096];
            for (int read = in.read(buffer); read >= 0; read = in.read(buffer)) {
                out.write(buffer, 0, read);
            }
        } catch (SocketException reset) {
            // Both sides are reset below.
        } catch (IOException failed) {
            // Both sides are reset below.
        }
        reset(from);
        reset(to);
        sockets.remove(from);
        sockets.remove(to);
    }
}
