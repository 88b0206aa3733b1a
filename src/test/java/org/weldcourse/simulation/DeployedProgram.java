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

/** The program as {@code deploy/service.toml} starts it. */
public final class DeployedProgram {
    private static final int LOWEST_PORT = 10_000;
    private static final int PORT_COUNT = 22_000;
    private static final int MAX_ATTEMPTS = 200;
    /** One that was handed out may not be listened on yet, or is to be listened on again. */
    private static final Set<Integer> ALLOCATED_PORTS = ConcurrentHashMap.newKeySet();

    private DeployedProgram() {}

    /** The words of the start command, each changed as asked; the settings' path is still to be added. */
    public static List<String> command(UnaryOperator<String> change) throws IOException {
        String run = Files.readAllLines(Path.of("deploy/service.toml")).stream()
                .filter(line -> line.startsWith("run = "))
                .findFirst()
                .orElseThrow();
        List<String> command = new ArrayList<>();
        for (String word :
                run.substring(run.indexOf('"') + 1, run.lastIndexOf('"')).split(" ")) {
            command.add(change.apply(word));
        }
        return command;
    }

    /**
     * A port of the loopback that was free a moment ago, below those that the system gives to outgoing connections: one of
     * those could take it while a process that listens on it is down.
     */
    public static int freePort() throws IOException {
        for (int tries = 0; tries < MAX_ATTEMPTS; tries++) {
            int port = LOWEST_PORT + ThreadLocalRandom.current().nextInt(PORT_COUNT);
            if (!ALLOCATED_PORTS.add(port)) {
                continue;
            }
            try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getByName("127.0.0.1"))) {
                return socket.getLocalPort();
            } catch (BindException taken) {
                // Another one will be free.
                continue;
            }
        }
        throw new IOException("no port is free");
    }
}
