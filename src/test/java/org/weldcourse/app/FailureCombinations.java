package org.weldcourse.app;

import java.nio.charset.StandardCharsets;
import java.util.function.BiPredicate;
import org.weldcourse.http.HttpClient;
import org.weldcourse.http.Json;
import org.weldcourse.simulation.FakeNetwork;
import org.weldcourse.simulation.SimulatedCluster;

/**
 * Base of the tests of failures that coincide. The simulated cluster fails a test that violates an invariant; each test
 * checks that its failures took place. Each scenario runs twice: as written, and with a service in place of each array
 * job. All replicas of such a service must run in the end, and none after its cancellation.
 */
abstract class FailureCombinations {
    /** Whether jobs without a shape are submitted as services instead of arrays. */
    boolean arraysAreServices() {
        return false;
    }

    FailureScenario scenario(int nodes) {
        return new FailureScenario(nodes, arraysAreServices());
    }

    /** Executes the matching calls after a delay, drops their responses, and counts them. */
    static int[] delayCalls(SimulatedCluster cluster, long micros, BiPredicate<String, HttpClient.Call> matches) {
        int[] delayed = new int[1];
        cluster.network.injectFaults((from, call) -> {
            boolean delays = matches.test(from, call);
            delayed[0] += delays ? 1 : 0;
            return delays ? micros : FakeNetwork.NORMAL;
        });
        return delayed;
    }

    static boolean isAdmission(HttpClient.Call call) {
        return isCommitTo(call, "slices/");
    }

    /** Whether the call is a commit whose body contains this key prefix. */
    static boolean isCommitTo(HttpClient.Call call, String keyPrefix) {
        return call.path().equals("/commit")
                && new String(Json.bytes(call.body()), StandardCharsets.UTF_8).contains(keyPrefix);
    }
}
