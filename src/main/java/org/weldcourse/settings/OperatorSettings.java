package org.weldcourse.settings;

import java.io.IOException;
import java.io.InputStream;
import java.nio.file.Files;
import java.nio.file.Path;
import javax.xml.stream.XMLInputFactory;
import javax.xml.stream.XMLStreamConstants;
import javax.xml.stream.XMLStreamException;
import javax.xml.stream.XMLStreamReader;
import org.weldcourse.settings.InvalidSettingsException.Problem;

/**
 * The operators' settings, from an optional XML file: the root element {@code <weldcourse>} has one child element for
 * each setting, with durations in seconds. Settings that the file leaves out keep their defaults.
 *
 * @param leaderLeaseMicros the time to live of the leader's lease in the store ({@code state-lease-s})
 * @param scaleInDelayMicros how long a spot machine stays idle before it is deleted; other machines are deleted after
 *     a third of this time ({@code idle-hold-s})
 * @param warmPoolSize the number of machines kept ready for each job class with a start-time objective and for
 *     each class of services ({@code warm-machines})
 * @param warmPoolRetentionMicros how long the warm pool of a job class is kept after its last job
 *     ({@code warm-hold-s})
 * @param teamLimitSource where team limits come from ({@code team-limits})
 */
public record OperatorSettings(
        long leaderLeaseMicros,
        long scaleInDelayMicros,
        int warmPoolSize,
        long warmPoolRetentionMicros,
        TeamLimitSource teamLimitSource) {
    /** The settings without an operators' file. */
    public static final OperatorSettings DEFAULT =
            new OperatorSettings(4_000_000, 30_000_000, 1, 90_000_000, TeamLimitSource.SETTINGS);

    /** The source of team limits and, for recorded limits, how the budgets for reservations are divided. */
    public enum TeamLimitSource {
        /** The settings file of each node. */
        SETTINGS,
        /** The quota ledger in the store, with budgets divided round-robin. */
        RECORDED,
        /** The quota ledger in the store, with budgets divided by an integer programming solver. */
        RECORDED_WITH_SOLVER
    }

    /** Reads and validates the operators' settings file. */
    public static OperatorSettings read(Path file) throws InvalidSettingsException {
        try (InputStream in = Files.newInputStream(file)) {
            return parse(in);
        } catch (IOException unreadable) {
            throw new InvalidSettingsException(
                    Problem.UNREADABLE, file.toString(), "cannot read " + file + ": " + unreadable.getMessage());
        }
    }

    /** Reads and validates settings in the format of the operators' file. */
    public static OperatorSettings parse(InputStream in) throws InvalidSettingsException {
        XMLInputFactory factory = XMLInputFactory.newFactory();
        // Settings need no DTD, and external entities would give access to other files.
        factory.setProperty(XMLInputFactory.SUPPORT_DTD, false);
        factory.setProperty(XMLInputFactory.IS_SUPPORTING_EXTERNAL_ENTITIES, false);
        try {
            return parse(factory.createXMLStreamReader(in));
        } catch (XMLStreamException malformed) {
            throw invalid(
                    Problem.MALFORMED,
                    "",
                    "invalid XML, line " + malformed.getLocation().getLineNumber());
        }
    }

    private static OperatorSettings parse(XMLStreamReader reader) throws XMLStreamException, InvalidSettingsException {
        Builder builder = new Builder();
        boolean expectRoot = true;
        while (reader.hasNext()) {
            int event = reader.next();
            if (event == XMLStreamConstants.DTD) {
                throw invalid(Problem.MALFORMED, "", "a DTD is not allowed");
            }
            if (event != XMLStreamConstants.START_ELEMENT) {
                continue;
            }
            String name = reader.getLocalName();
            if (expectRoot) {
                if (!name.equals("weldcourse")) {
                    throw invalid(Problem.MALFORMED, name, "the root element must be <weldcourse>");
                }
                expectRoot = false;
            } else {
                builder.set(name, reader.getElementText().trim());
            }
        }
        return builder.build();
    }

    /** Collects the settings of the file over the defaults. */
    private static final class Builder {
        private long leaderLeaseMicros = DEFAULT.leaderLeaseMicros;
        private long scaleInDelayMicros = DEFAULT.scaleInDelayMicros;
        private int warmPoolSize = DEFAULT.warmPoolSize;
        private long warmPoolRetentionMicros = DEFAULT.warmPoolRetentionMicros;
        private TeamLimitSource teamLimitSource = DEFAULT.teamLimitSource;

        void set(String element, String text) throws InvalidSettingsException {
            switch (element) {
                case "state-lease-s" -> leaderLeaseMicros = micros(element, text, 1, 60);
                case "idle-hold-s" -> scaleInDelayMicros = micros(element, text, 0, 3600);
                case "warm-machines" -> warmPoolSize = (int) number(element, text, 0, 1000);
                case "warm-hold-s" -> warmPoolRetentionMicros = micros(element, text, 0, 86_400);
                case "team-limits" -> teamLimitSource = teamLimitSource(text);
                default -> throw invalid(Problem.UNKNOWN, element, "unknown element <" + element + ">");
            }
        }

        OperatorSettings build() {
            return new OperatorSettings(
                    leaderLeaseMicros, scaleInDelayMicros, warmPoolSize, warmPoolRetentionMicros, teamLimitSource);
        }
    }

    private static TeamLimitSource teamLimitSource(String text) throws InvalidSettingsException {
        return switch (text) {
            case "settings" -> TeamLimitSource.SETTINGS;
            case "recorded" -> TeamLimitSource.RECORDED;
            case "recorded-with-solver" -> TeamLimitSource.RECORDED_WITH_SOLVER;
            default ->
                throw invalid(
                        Problem.OUT_OF_RANGE,
                        "team-limits",
                        "<team-limits> must be settings, recorded or recorded-with-solver");
        };
    }

    private static long micros(String name, String text, double min, double max) throws InvalidSettingsException {
        return Math.round(number(name, text, min, max) * 1e6);
    }

    private static double number(String name, String text, double min, double max) throws InvalidSettingsException {
        try {
            double number = Double.parseDouble(text);
            if (number >= min && number <= max) {
                return number;
            }
        } catch (NumberFormatException notNumber) {
            // Reported below, like a number out of range.
        }
        throw invalid(Problem.OUT_OF_RANGE, name, "<" + name + "> must be a number from " + min + " to " + max);
    }

    private static InvalidSettingsException invalid(Problem problem, String element, String reason) {
        return new InvalidSettingsException(problem, element, "operators' settings: " + reason);
    }
}
