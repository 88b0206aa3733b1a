package org.weldcourse.simulation;

import java.io.IOException;
import java.net.BindException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.UnaryOperator;

/** The start command from {@code deploy/service.toml}, and free ports for the processes that it starts. */
public final class DeployedProgram {
    private static final int LOWEST_PORT = 10_000;
    private static final int PORT_COUNT = 22_000;
    private static final int MAX_ATTEMPTS = 200;
    /** Ports returned so far. They are not reused: a process may still have to bind its port, or to bind it again. */
    private static final Set<Integer> ALLOCATED_PORTS = ConcurrentHashMap.newKeySet();

    private DeployedProgram() {}

    /** Returns the start command with {@code change} applied to each argument; the caller appends the settings file. */
    public static List<String> command(UnaryOperator<String> change) throws IOException {
        String run = Files.readAllLines(Path.of("deploy/service.toml")).stream()
                .filter(line -> line.startsWith("run = "))
                .findFirst()
                .orElseThrow();
        List<String> command = new ArrayList<>();
        for (String argument :
                run.substring(run.indexOf('"') + 1, run.lastIndexOf('"')).split(" ")) {
            command.add(change.apply(argument));
        }
        return command;
    }

    /**
     * Returns a free port of the loopback interface, below the ephemeral port range: an outgoing connection could take a
     * port of that range while the process that listens on it is down.
     */
    public static int freePort() throws IOException {
        for (int attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
            int port = LOWEST_PORT + ThreadLocalRandom.current().nextInt(PORT_COUNT);
            if (!ALLOCATED_PORTS.add(port)) {
                continue;
            }
            try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getByName("127.0.0.1"))) {
                return socket.getLocalPort();
            } catch (BindException taken) {
                continue;
            }
        }
        throw new IOException("no free loopback port found");
    }
}
