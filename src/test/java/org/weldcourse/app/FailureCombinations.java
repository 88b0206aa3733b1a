package org.weldcourse.app;

import java.nio.charset.StandardCharsets;
import java.util.function.BiPredicate;
import org.weldcourse.http.HttpClient;
import org.weldcourse.http.Json;
import org.weldcourse.simulation.FakeNetwork;
import org.weldcourse.simulation.SimulatedCluster;

/**
 * Failures that coincide. The cluster fails a test in which a rule breaks; each test makes sure that its trouble came about. Each
 * script is played twice: as it stands, and with a service in place of each array. The service's replicas must all serve in the
 * end, and are gone once its user cancels it.
 */
abstract class FailureCombinations {
    /** Whether jobs of a script that name no shape are submitted as services instead of arrays. */
    boolean arraysAreServices() {
        return false;
    }

    FailureScenario scenario(int nodes) {
        return new FailureScenario(nodes, arraysAreServices());
    }

    /** Holds up such calls, which get no answer in time, and counts them. */
    static int[] delayCalls(SimulatedCluster cluster, long micros, BiPredicate<String, HttpClient.Call> which) {
        int[] held = new int[1];
        cluster.network.injectFaults((from, call) -> {
            boolean holds = which.test(from, call);
            held[0] += holds ? 1 : 0;
            return holds ? micros : FakeNetwork.NORMAL;
        });
        return held;
    }

    static boolean isAdmission(HttpClient.Call call) {
        return isCommitTo(call, "slices/");
    }

    static boolean isCommitTo(HttpClient.Call call, String prefix) {
        return call.path().equals("/commit")
                && new String(Json.bytes(call.body()), StandardCharsets.UTF_8).contains(prefix);
    }
}
