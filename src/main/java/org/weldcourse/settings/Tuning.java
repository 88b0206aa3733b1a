package org.weldcourse.settings;

import java.io.IOException;
import java.io.InputStream;
import java.nio.file.Files;
import java.nio.file.Path;
import javax.xml.stream.XMLInputFactory;
import javax.xml.stream.XMLStreamConstants;
import javax.xml.stream.XMLStreamException;
import javax.xml.stream.XMLStreamReader;

/**
 * Operators' own settings, from an optional XML file: one {@code <weldcourse>} element whose children name a
 * duration in seconds or a plain number. What the file leaves out keeps its default.
 */
public record Tuning(
        long stateLeaseMicros, long idleHoldMicros, int warmMachines, long warmHoldMicros, TeamLimits teamLimits) {
    public static final Tuning DEFAULT = new Tuning(4_000_000, 30_000_000, 1, 90_000_000, TeamLimits.SETTINGS);

    /** Where team limits come from, and how budgets for reservations are divided where they are on record. */
    public enum TeamLimits {
        /** From each node's settings. */
        SETTINGS,
        /** From the ledger in the state service, with budgets divided in turns. */
        RECORDED,
        /** From the ledger, with budgets divided by a solver. */
        RECORDED_WITH_SOLVER
    }

    /** Reads and checks the operators' file. */
    public static Tuning read(Path file) throws SettingsFile.Invalid {
        try (InputStream in = Files.newInputStream(file)) {
            return parse(in);
        } catch (IOException unreadable) {
            throw new SettingsFile.Invalid("can't read " + file + ": " + unreadable.getMessage());
        }
    }

    /** Reads and checks settings in the form of the operators' file. */
    public static Tuning parse(InputStream in) throws SettingsFile.Invalid {
        XMLInputFactory factory = XMLInputFactory.newFactory();
        // A settings file has no use for DTDs, and they can reach out to other files.
        factory.setProperty(XMLInputFactory.SUPPORT_DTD, false);
        factory.setProperty(XMLInputFactory.IS_SUPPORTING_EXTERNAL_ENTITIES, false);
        long stateLeaseMicros = DEFAULT.stateLeaseMicros;
        long idleHoldMicros = DEFAULT.idleHoldMicros;
        int warmMachines = DEFAULT.warmMachines;
        long warmHoldMicros = DEFAULT.warmHoldMicros;
        TeamLimits teamLimits = DEFAULT.teamLimits;
        try {
            XMLStreamReader reader = factory.createXMLStreamReader(in);
            boolean root = true;
            while (reader.hasNext()) {
                int event = reader.next();
                if (event == XMLStreamConstants.DTD) {
                    throw new SettingsFile.Invalid("operators' settings: a DTD is not allowed");
                }
                if (event != XMLStreamConstants.START_ELEMENT) {
                    continue;
                }
                String name = reader.getLocalName();
                if (root) {
                    if (!name.equals("weldcourse")) {
                        throw new SettingsFile.Invalid("operators' settings: the root must be <weldcourse>");
                    }
                    root = false;
                    continue;
                }
                String text = reader.getElementText().trim();
                switch (name) {
                    case "state-lease-s" -> stateLeaseMicros = micros(name, text, 1, 60);
                    case "idle-hold-s" -> idleHoldMicros = micros(name, text, 0, 3600);
                    case "warm-machines" -> warmMachines = (int) number(name, text, 0, 1000);
                    case "warm-hold-s" -> warmHoldMicros = micros(name, text, 0, 86_400);
                    case "team-limits" -> teamLimits = teamLimits(text);
                    default -> throw new SettingsFile.Invalid("operators' settings: unknown element <" + name + ">");
                }
            }
        } catch (XMLStreamException malformed) {
            throw new SettingsFile.Invalid("operators' settings: not XML as expected, line "
                    + malformed.getLocation().getLineNumber());
        }
        return new Tuning(stateLeaseMicros, idleHoldMicros, warmMachines, warmHoldMicros, teamLimits);
    }

    private static TeamLimits teamLimits(String text) throws SettingsFile.Invalid {
        return switch (text) {
            case "settings" -> TeamLimits.SETTINGS;
            case "recorded" -> TeamLimits.RECORDED;
            case "recorded-with-solver" -> TeamLimits.RECORDED_WITH_SOLVER;
            default ->
                throw new SettingsFile.Invalid(
                        "operators' settings: <team-limits> must be settings, recorded or recorded-with-solver");
        };
    }

    private static long micros(String name, String text, double least, double most) throws SettingsFile.Invalid {
        return Math.round(number(name, text, least, most) * 1e6);
    }

    private static double number(String name, String text, double least, double most) throws SettingsFile.Invalid {
        try {
            double number = Double.parseDouble(text);
            if (number >= least && number <= most) {
                return number;
            }
        } catch (NumberFormatException notNumber) {
            // Said below, like a number out of range.
        }
        throw new SettingsFile.Invalid(
                "operators' settings: <" + name + "> must be a number from " + least + " to " + most);
    }
}
