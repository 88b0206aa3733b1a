package org.weldcourse.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.weldcourse.fleet.CloudClient.Outcome;
import org.weldcourse.http.HttpClient;
import org.weldcourse.http.Json;

/** Tests the requests sent to the cloud API and the outcomes derived from its responses. */
class CloudClientTest {
    private static final Offering SPOT = new Offering("small", "a", true);

    private final List<HttpClient.Call> calls = new ArrayList<>();
    private HttpClient.Response response = HttpClient.Response.NO_RESPONSE;
    private final CloudClient cloud = new CloudClient(
            (call, done) -> {
                calls.add(call);
                done.accept(response);
            },
            "cloud:1");

    private static HttpClient.Response response(int status, Object... body) {
        return new HttpClient.Response(status, Json.of(body));
    }

    private Outcome outcomeOf(HttpClient.Response nextResponse) {
        response = nextResponse;
        List<Outcome> outcomes = new ArrayList<>();
        cloud.delete(List.of("m-1"), outcomes::add);
        cloud.launch("w-1-1", SPOT, 3, launch -> outcomes.add(launch.outcome()));
        cloud.list(listed -> outcomes.add(listed.outcome()));
        cloud.machineTypes(types -> outcomes.add(types.outcome()));
        assertEquals(4, outcomes.size());
        assertEquals(1, outcomes.stream().distinct().count(), outcomes.toString());
        return outcomes.get(0);
    }

    @Test
    void mapsStatusAndErrorToOutcome() {
        assertEquals(Outcome.OK, outcomeOf(response(200)));
        assertEquals(Outcome.NO_CAPACITY, outcomeOf(response(503, "error", "no capacity")));
        assertEquals(Outcome.UNAVAILABLE, outcomeOf(response(503, "error", "trouble")));
        assertEquals(Outcome.UNAVAILABLE, outcomeOf(HttpClient.Response.NOT_SENT));
        assertEquals(Outcome.RATE_LIMITED, outcomeOf(response(429)));
        assertEquals(Outcome.UNKNOWN, outcomeOf(HttpClient.Response.NO_RESPONSE));
        assertEquals(Outcome.INVALID, outcomeOf(response(400)));
        assertEquals(Outcome.INVALID, outcomeOf(response(500)));
    }

    @Test
    void launchSendsRequestIdAndOffering() {
        response = response(200, "forges", List.of("m-1", 7, "m-2"));
        cloud.launch("w-4-1", SPOT, 3, launch -> assertEquals(List.of("m-1", "m-2"), launch.machines()));
        HttpClient.Call call = calls.get(0);
        assertEquals("POST /machines", call.method() + " " + call.path());
        assertEquals(Json.of("hire", "w-4-1", "rig", "small", "yard", "a", "loaners", true, "number", 3), call.body());
    }

    @Test
    void listReadsAllPages() {
        List<HttpClient.Response> pages = new ArrayList<>(List.of(
                response(
                        200, "forges", List.of(machine("m-1", "starting"), Map.of("heat", "failed")), "has_next", true),
                response(200, "forges", List.of(machine("m-2", "failed")), "has_next", false)));
        List<String> paths = new ArrayList<>();
        CloudClient paged = new CloudClient(
                (call, done) -> {
                    paths.add(call.path());
                    done.accept(pages.remove(0));
                },
                "cloud:1");
        List<CloudClient.ListedMachine> machines = new ArrayList<>();
        paged.list(listed -> machines.addAll(listed.machines()));
        assertEquals(List.of("/machines?most=500", "/machines?after=m-1&most=500"), paths);
        assertEquals(
                List.of(
                        new CloudClient.ListedMachine("m-1", SPOT, true, false, 61_500_000),
                        new CloudClient.ListedMachine("m-2", SPOT, false, true, 61_500_000)),
                machines);
    }

    @Test
    void listFailsWhenAPageFails() {
        List<HttpClient.Response> pages = new ArrayList<>(
                List.of(response(200, "forges", List.of(machine("m-1", "running")), "has_next", true), response(429)));
        List<CloudClient.MachineList> lists = new ArrayList<>();
        new CloudClient((call, done) -> done.accept(pages.remove(0)), "cloud:1").list(lists::add);
        assertEquals(List.of(new CloudClient.MachineList(Outcome.RATE_LIMITED, List.of())), lists);
        assertTrue(pages.isEmpty());
    }

    private static Map<String, Object> machine(String name, String state) {
        return Json.of("name_id", name, "rig", "small", "yard", "a", "loaners", true, "heat", state, "held_s", 61.5);
    }
}
