package org.weldcourse.app;

import java.util.LinkedHashMap;
import java.util.Map;

/** Builds gauges and counters, without timestamps, in the Prometheus text format. */
public final class MetricsText {
    private static final String PREFIX = "weldcourse_";

    /** The lines of each metric by its name; the format requires all lines of a metric in one group. */
    private final Map<String, StringBuilder> linesByMetric = new LinkedHashMap<>();

    /** Adds a metric without labels. */
    public MetricsText add(String name, String help, double value) {
        linesFor(name, help)
                .append(PREFIX)
                .append(name)
                .append(' ')
                .append(formatValue(value))
                .append('\n');
        return this;
    }

    /** Adds a metric with the label {@code team}. */
    public MetricsText addForTeam(String name, String help, String team, double value) {
        return addLabelled(name, help, "team", team, value);
    }

    /** Adds a metric with the label {@code reason}. */
    public MetricsText addForReason(String name, String help, String reason, double value) {
        return addLabelled(name, help, "reason", reason, value);
    }

    private MetricsText addLabelled(String name, String help, String label, String labelValue, double value) {
        linesFor(name, help)
                .append(PREFIX)
                .append(name)
                .append('{')
                .append(label)
                .append("=\"")
                .append(escapeLabel(labelValue))
                .append("\"} ")
                .append(formatValue(value))
                .append('\n');
        return this;
    }

    private StringBuilder linesFor(String name, String help) {
        return linesByMetric.computeIfAbsent(name, unused -> {
            String type = name.endsWith("_total") ? "counter" : "gauge";
            return new StringBuilder(
                    "# HELP " + PREFIX + name + " " + help + "\n# TYPE " + PREFIX + name + " " + type + "\n");
        });
    }

    private static String formatValue(double value) {
        return value == Double.POSITIVE_INFINITY ? "+Inf" : Double.toString(value);
    }

    private static String escapeLabel(String label) {
        return label.replace("\\", "\\\\").replace("\"", "\\\"").replace("\n", "\\n");
    }

    @Override
    public String toString() {
        return String.join("", linesByMetric.values());
    }
}
