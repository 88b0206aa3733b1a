package org.weldcourse.soak;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import org.weldcourse.simulation.LoopbackCluster;

/** Reads what controllers show to a scrape. */
final class SoakMetrics {
    private static final String VIOLATIONS = "weldcourse_limit_violations_total ";
    private static final Duration TIMEOUT = Duration.ofSeconds(5);

    private SoakMetrics() {}

    /** How many violations the controllers that run now have counted since their starts. */
    static int violations(LoopbackCluster cluster) throws IOException, InterruptedException {
        int violations = 0;
        for (String name : cluster.names()) {
            violations += (int) value(scrape(cluster.api(name)), VIOLATIONS);
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
                .orElseThrow(() -> new AssertionError("no " + metric + "in " + scraped));
    }
}
