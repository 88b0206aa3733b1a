package review;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** A small JSON reader and writer: maps, lists, strings, longs, doubles, booleans and null. */
final class Json {
    private final String text;
    private int at;

    private Json(String text) {
        this.text = text;
    }

    static Object parse(String text) {
        Json in = new Json(text);
        Object value = in.value();
        in.blanks();
        if (in.at != text.length()) {
            throw new IllegalArgumentException("more than one JSON value");
        }
        return value;
    }

    /** The object in the text, or an empty map if it is anything else. */
    @SuppressWarnings("unchecked")
    static Map<String, Object> object(String text) {
        try {
            return parse(text) instanceof Map<?, ?> map ? (Map<String, Object>) map : Map.of();
        } catch (RuntimeException notJson) {
            return Map.of();
        }
    }

    private void blanks() {
        while (at < text.length() && text.charAt(at) <= ' ') {
            at++;
        }
    }

    private Object value() {
        blanks();
        char c = text.charAt(at);
        if (c == '{') {
            at++;
            Map<String, Object> map = new LinkedHashMap<>();
            blanks();
            if (text.charAt(at) == '}') {
                at++;
                return map;
            }
            while (true) {
                blanks();
                String key = string();
                blanks();
                expect(':');
                map.put(key, value());
                blanks();
                if (text.charAt(at) == ',') {
                    at++;
                } else {
                    expect('}');
                    return map;
                }
            }
        }
        if (c == '[') {
            at++;
            List<Object> list = new ArrayList<>();
            blanks();
            if (text.charAt(at) == ']') {
                at++;
                return list;
            }
            while (true) {
                list.add(value());
                blanks();
                if (text.charAt(at) == ',') {
                    at++;
                } else {
                    expect(']');
                    return list;
                }
            }
        }
        if (c == '"') {
            return string();
        }
        if (text.startsWith("true", at)) {
            at += 4;
            return true;
        }
        if (text.startsWith("false", at)) {
            at += 5;
            return false;
        }
        if (text.startsWith("null", at)) {
            at += 4;
            return null;
        }
        int from = at;
        while (at < text.length() && "+-.eE0123456789".indexOf(text.charAt(at)) >= 0) {
            at++;
        }
        String number = text.substring(from, at);
        if (number.contains(".") || number.contains("e") || number.contains("E")) {
            return Double.parseDouble(number);
        }
        return Long.parseLong(number);
    }

    private void expect(char c) {
        if (text.charAt(at) != c) {
            throw new IllegalArgumentException("expected " + c + " at " + at);
        }
        at++;
    }

    private String string() {
        expect('"');
        StringBuilder out = new StringBuilder();
        while (true) {
            char c = text.charAt(at++);
            if (c == '"') {
                return out.toString();
            }
            if (c != '\\') {
                out.append(c);
                continue;
            }
            char escape = text.charAt(at++);
            switch (escape) {
                case 'n' -> out.append('\n');
                case 't' -> out.append('\t');
                case 'r' -> out.append('\r');
                case 'b' -> out.append('\b');
                case 'f' -> out.append('\f');
                case 'u' -> {
                    out.append((char) Integer.parseInt(text.substring(at, at + 4), 16));
                    at += 4;
                }
                default -> out.append(escape);
            }
        }
    }

    static String text(Object value) {
        StringBuilder out = new StringBuilder();
        write(out, value);
        return out.toString();
    }

    private static void write(StringBuilder out, Object value) {
        if (value instanceof String string) {
            out.append('"');
            for (int i = 0; i < string.length(); i++) {
                char c = string.charAt(i);
                if (c == '"' || c == '\\') {
                    out.append('\\').append(c);
                } else if (c < ' ') {
                    out.append(String.format("\\u%04x", (int) c));
                } else {
                    out.append(c);
                }
            }
            out.append('"');
        } else if (value instanceof Map<?, ?> map) {
            out.append('{');
            String separator = "";
            for (Map.Entry<?, ?> entry : map.entrySet()) {
                out.append(separator);
                write(out, entry.getKey());
                out.append(':');
                write(out, entry.getValue());
                separator = ",";
            }
            out.append('}');
        } else if (value instanceof Iterable<?> list) {
            out.append('[');
            String separator = "";
            for (Object item : list) {
                out.append(separator);
                write(out, item);
                separator = ",";
            }
            out.append(']');
        } else {
            out.append(value);
        }
    }

    static Map<String, Object> of(Object... namesAndValues) {
        Map<String, Object> map = new LinkedHashMap<>();
        for (int i = 0; i < namesAndValues.length; i += 2) {
            map.put((String) namesAndValues[i], namesAndValues[i + 1]);
        }
        return map;
    }

    static String string(Map<String, Object> map, String name) {
        return map.get(name) instanceof String string ? string : null;
    }

    static long integer(Map<String, Object> map, String name, long other) {
        return map.get(name) instanceof Number number ? number.longValue() : other;
    }

    static double decimal(Map<String, Object> map, String name, double other) {
        return map.get(name) instanceof Number number ? number.doubleValue() : other;
    }

    static boolean flag(Map<String, Object> map, String name) {
        return Boolean.TRUE.equals(map.get(name));
    }

    static List<?> list(Map<String, Object> map, String name) {
        return map.get(name) instanceof List<?> list ? list : List.of();
    }

    @SuppressWarnings("unchecked")
    static Map<String, Object> map(Object value) {
        return value instanceof Map<?, ?> map ? (Map<String, Object>) map : Map.of();
    }
}
