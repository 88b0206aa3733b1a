package org.weldcourse.app;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.net.BindException;
import java.net.InetAddress;
import java.net.ServerSocket;
import org.junit.jupiter.api.Test;
import org.weldcourse.simulation.DeployedProgram;

/** Guards against a failed warm-up when another program takes one of its ports between the check and the bind. */
class WarmUpTest {
    private static final InetAddress LOOPBACK = InetAddress.getLoopbackAddress();

    @Test
    void warmUpRetriesWhenAPortIsTaken() throws Exception {
        try (ServerSocket taken = new ServerSocket(0, 1, LOOPBACK)) {
            int[] portRequests = new int[1];
            WarmUp.run(() -> portRequests[0]++ < 2 ? taken.getLocalPort() : DeployedProgram.freePort());
            // The first attempt takes three ports and fails at its first listener; the second takes four.
            assertEquals(7, portRequests[0]);
        }
    }

    @Test
    void warmUpFailsWhenNoPortIsFree() throws Exception {
        try (ServerSocket taken = new ServerSocket(0, 1, LOOPBACK)) {
            assertThrows(BindException.class, () -> WarmUp.run(taken::getLocalPort));
        }
    }
}
