package org.weldcourse.http;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.StreamReadConstraints;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Parses and writes JSON as maps, lists, strings, booleans and numbers, with Jackson's streaming API. */
public final class Json {
    private static final JsonFactory FACTORY = JsonFactory.builder()
            .streamReadConstraints(
                    StreamReadConstraints.builder().maxNestingDepth(32).build())
            .build();

    private Json() {}

    /**
     * Thrown for bytes that are not exactly one JSON value. Clients receive the message in a response with status 400:
     * "empty", "more than one value", "not JSON", or the unexpected token.
     */
    public static final class MalformedJsonException extends Exception {
        MalformedJsonException(String message) {
            super(message);
        }

        MalformedJsonException(String message, Throwable cause) {
            super(message, cause);
        }
    }

    /**
     * Parses one JSON value, nested at most 32 levels deep. Integers become {@code Long}, or {@code BigInteger} beyond
     * its range; other numbers become {@code Double}; objects become maps that keep the order of their fields.
     *
     * @throws MalformedJsonException if the bytes are not exactly one JSON value
     */
    public static Object parse(byte[] bytes) throws MalformedJsonException {
        try (JsonParser in = FACTORY.createParser(bytes)) {
            if (in.nextToken() == null) {
                throw new MalformedJsonException("empty");
            }
            Object value = value(in);
            if (in.nextToken() != null) {
                throw new MalformedJsonException("more than one value");
            }
            return value;
        } catch (IOException malformed) {
            throw new MalformedJsonException("not JSON", malformed);
        }
    }

    /** Creates a streaming parser, for bodies too frequent to convert to maps first; the caller closes it. */
    public static JsonParser reader(byte[] bytes) throws IOException {
        return FACTORY.createParser(bytes);
    }

    /** Parses a JSON object; the result is empty if the bytes are anything else. */
    public static Map<String, Object> objectOrEmpty(byte[] bytes) {
        try {
            return object(parse(bytes));
        } catch (MalformedJsonException notJson) {
            return Map.of();
        }
    }

    private static Object value(JsonParser in) throws IOException, MalformedJsonException {
        JsonToken token = in.currentToken();
        switch (token) {
            case START_OBJECT -> {
                Map<String, Object> map = new LinkedHashMap<>();
                while (in.nextToken() == JsonToken.FIELD_NAME) {
                    String name = in.currentName();
                    in.nextToken();
                    map.put(name, value(in));
                }
                return map;
            }
            case START_ARRAY -> {
                List<Object> list = new ArrayList<>();
                while (in.nextToken() != JsonToken.END_ARRAY) {
                    list.add(value(in));
                }
                return list;
            }
            case VALUE_STRING -> {
                return in.getText();
            }
            case VALUE_NUMBER_INT -> {
                return in.getNumberType() == JsonParser.NumberType.BIG_INTEGER
                        ? (Object) in.getBigIntegerValue()
                        : (Object) in.getLongValue();
            }
            case VALUE_NUMBER_FLOAT -> {
                return in.getDoubleValue();
            }
            case VALUE_TRUE -> {
                return Boolean.TRUE;
            }
            case VALUE_FALSE -> {
                return Boolean.FALSE;
            }
            case VALUE_NULL -> {
                return null;
            }
            default -> throw new MalformedJsonException("unexpected " + token);
        }
    }

    /**
     * Encodes maps (with string keys), iterables, strings, integers, longs, doubles, booleans and null.
     *
     * @throws IllegalArgumentException for a value of any other type
     */
    public static byte[] bytes(Object value) {
        ByteArrayOutputStream out = new ByteArrayOutputStream(256);
        try (JsonGenerator generator = FACTORY.createGenerator(out)) {
            write(generator, value);
        } catch (IOException impossible) {
            throw new UncheckedIOException(impossible);
        }
        return out.toByteArray();
    }

    private static void write(JsonGenerator out, Object value) throws IOException {
        if (value == null) {
            out.writeNull();
        } else if (value instanceof String text) {
            out.writeString(text);
        } else if (value instanceof Integer number) {
            out.writeNumber(number);
        } else if (value instanceof Long number) {
            out.writeNumber(number);
        } else if (value instanceof Double number) {
            out.writeNumber(number);
        } else if (value instanceof Boolean flag) {
            out.writeBoolean(flag);
        } else if (value instanceof Map<?, ?> map) {
            out.writeStartObject();
            for (Map.Entry<?, ?> entry : map.entrySet()) {
                out.writeFieldName((String) entry.getKey());
                write(out, entry.getValue());
            }
            out.writeEndObject();
        } else if (value instanceof Iterable<?> list) {
            out.writeStartArray();
            for (Object item : list) {
                write(out, item);
            }
            out.writeEndArray();
        } else {
            throw new IllegalArgumentException("cannot encode as JSON: " + value.getClass());
        }
    }

    /** Creates an object from alternating names and values. */
    public static Map<String, Object> of(Object... namesAndValues) {
        Map<String, Object> map = new LinkedHashMap<>();
        for (int i = 0; i < namesAndValues.length; i += 2) {
            map.put((String) namesAndValues[i], namesAndValues[i + 1]);
        }
        return map;
    }

    /** The value as an object, or an empty object if it has another type. */
    @SuppressWarnings("unchecked")
    public static Map<String, Object> object(Object value) {
        return value instanceof Map<?, ?> map ? (Map<String, Object>) map : Map.of();
    }

    /** The value as a list, or an empty list if it has another type. */
    @SuppressWarnings("unchecked")
    public static List<Object> list(Object value) {
        return value instanceof List<?> list ? (List<Object>) list : List.of();
    }

    /** The string in the field, or null if there is none. */
    public static String text(Map<String, Object> object, String name) {
        return object.get(name) instanceof String text ? text : null;
    }

    /** The integer in the field, or the default if there is none. */
    public static long integer(Map<String, Object> object, String name, long defaultValue) {
        return object.get(name) instanceof Long number ? number : defaultValue;
    }

    /** The number in the field, or the default if there is none. */
    public static double decimal(Map<String, Object> object, String name, double defaultValue) {
        return object.get(name) instanceof Number number ? number.doubleValue() : defaultValue;
    }

    /** Whether the field is true; false if there is no such field. */
    public static boolean flag(Map<String, Object> object, String name) {
        return Boolean.TRUE.equals(object.get(name));
    }
}
