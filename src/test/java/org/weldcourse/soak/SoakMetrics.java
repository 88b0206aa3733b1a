package org.weldcourse.soak;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import org.weldcourse.simulation.LoopbackCluster;

/** Reads metrics from the scrape endpoint of controllers. */
final class SoakMetrics {
    private static final String LIMIT_VIOLATIONS_METRIC = "weldcourse_limit_violations_total ";
    private static final Duration TIMEOUT = Duration.ofSeconds(5);

    private SoakMetrics() {}

    /** Returns the limit violations that the running controllers have counted, each since its own start. */
    static int limitViolations(LoopbackCluster cluster) throws IOException, InterruptedException {
        int violations = 0;
        for (String name : cluster.names()) {
            violations += (int) value(scrape(cluster.api(name)), LIMIT_VIOLATIONS_METRIC);
        }
        return violations;
    }

    static String scrape(String address) throws IOException, InterruptedException {
        HttpRequest request = HttpRequest.newBuilder(URI.create("http://" + address + "/metrics"))
                .timeout(TIMEOUT)
                .build();
        return HttpClient.newHttpClient()
                .send(request, HttpResponse.BodyHandlers.ofString())
                .body();
    }

    static double value(String scraped, String metric) {
        return scraped.lines()
                .filter(line -> line.startsWith(metric))
                .mapToDouble(line -> Double.parseDouble(line.substring(line.lastIndexOf(' ') + 1)))
                .findFirst()
                .orElseThrow(() -> new AssertionError("no metric " + metric + "in " + scraped));
    }
}
