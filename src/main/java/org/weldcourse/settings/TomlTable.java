package org.weldcourse.settings;

import com.electronwill.nightconfig.core.UnmodifiableConfig;
import com.electronwill.nightconfig.core.io.ParsingException;
import com.electronwill.nightconfig.toml.TomlParser;
import java.io.Reader;
import java.util.ArrayList;
import java.util.List;
import org.weldcourse.settings.InvalidSettingsException.Problem;

/** A table of a TOML file with typed access to its fields. A missing or invalid field is an error. */
final class TomlTable {
    private final UnmodifiableConfig table;

    private TomlTable(UnmodifiableConfig table) {
        this.table = table;
    }

    /** Parses a whole file. */
    static TomlTable parse(Reader in) throws InvalidSettingsException {
        try {
            return new TomlTable(new TomlParser().parse(in));
        } catch (ParsingException malformed) {
            throw new InvalidSettingsException(
                    Problem.MALFORMED,
                    "",
                    "not TOML: "
                            + String.valueOf(malformed.getMessage())
                                    .lines()
                                    .findFirst()
                                    .orElse(""));
        }
    }

    boolean has(String name) {
        return value(name) != null;
    }

    TomlTable table(String name) throws InvalidSettingsException {
        if (value(name) instanceof UnmodifiableConfig inner) {
            return new TomlTable(inner);
        }
        throw new InvalidSettingsException(Problem.MISSING_OR_INVALID, name, "missing or invalid table: " + name);
    }

    /** A list of tables; empty if the field is missing. */
    List<TomlTable> tables(String name) throws InvalidSettingsException {
        Object value = value(name);
        List<TomlTable> tables = new ArrayList<>();
        if (value == null) {
            return tables;
        }
        if (!(value instanceof List<?> items)) {
            throw invalidTableList(name);
        }
        for (Object item : items) {
            if (!(item instanceof UnmodifiableConfig inner)) {
                throw invalidTableList(name);
            }
            tables.add(new TomlTable(inner));
        }
        return tables;
    }

    /** A non-empty string. */
    String string(String name) throws InvalidSettingsException {
        if (value(name) instanceof String text && !text.isEmpty()) {
            return text;
        }
        throw invalid(name);
    }

    List<String> strings(String name) throws InvalidSettingsException {
        if (!(value(name) instanceof List<?> items)) {
            throw invalid(name);
        }
        List<String> texts = new ArrayList<>();
        for (Object item : items) {
            if (!(item instanceof String text)) {
                throw invalid(name);
            }
            texts.add(text);
        }
        return List.copyOf(texts);
    }

    /** An address of the form HOST:PORT. */
    String address(String name) throws InvalidSettingsException {
        String address = string(name);
        if (address.matches("[^:]+:[0-9]{1,5}")) {
            return address;
        }
        throw new InvalidSettingsException(Problem.OUT_OF_RANGE, name, "not HOST:PORT: " + name);
    }

    /** A finite number of at least 0. */
    double number(String name) throws InvalidSettingsException {
        if (value(name) instanceof Number number
                && number.doubleValue() >= 0
                && Double.isFinite(number.doubleValue())) {
            return number.doubleValue();
        }
        throw invalid(name);
    }

    /** A finite number of at least 0, or the default if the field is missing. */
    double number(String name, double defaultValue) throws InvalidSettingsException {
        return has(name) ? number(name) : defaultValue;
    }

    /** A finite number above 0. */
    double positive(String name) throws InvalidSettingsException {
        double number = number(name);
        if (number > 0) {
            return number;
        }
        throw new InvalidSettingsException(Problem.OUT_OF_RANGE, name, "must be above 0: " + name);
    }

    /** The integer part of a number, at least 1. */
    int atLeastOne(String name) throws InvalidSettingsException {
        int number = (int) positive(name);
        if (number < 1) {
            throw new InvalidSettingsException(Problem.OUT_OF_RANGE, name, "must be at least 1: " + name);
        }
        return number;
    }

    /** A duration above 0 in seconds, as microseconds. */
    long positiveMicros(String name) throws InvalidSettingsException {
        return micros(positive(name));
    }

    /** A duration in seconds, as microseconds. */
    long micros(String name) throws InvalidSettingsException {
        return micros(number(name));
    }

    /** A duration in seconds, as microseconds; 0 if the field is missing. */
    long microsOrZero(String name) throws InvalidSettingsException {
        return micros(number(name, 0));
    }

    /** The parsed value of the field, or null. The name is not a path: a dot in it has no special meaning. */
    Object value(String name) {
        return table.get(List.of(name));
    }

    private static long micros(double seconds) {
        return Math.round(seconds * 1e6);
    }

    private static InvalidSettingsException invalid(String name) {
        return new InvalidSettingsException(Problem.MISSING_OR_INVALID, name, "missing or invalid field: " + name);
    }

    private static InvalidSettingsException invalidTableList(String name) {
        return new InvalidSettingsException(Problem.MISSING_OR_INVALID, name, "invalid list of tables: " + name);
    }
}
