package rev;

import java.math.BigDecimal;
import java.math.BigInteger;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** A small JSON parser and writer. Integers become BigInteger, other numbers BigDecimal. */
final class Json {
    private final String text;
    private int at;

    private Json(String text) {
        this.text = text;
    }

    static Object parse(String text) {
        Json json = new Json(text);
        Object value = json.value();
        json.space();
        if (json.at != text.length()) {
            throw new IllegalArgumentException("more than one JSON value");
        }
        return value;
    }

    @SuppressWarnings("unchecked")
    static Map<String, Object> object(String text) {
        try {
            return parse(text) instanceof Map<?, ?> map ? (Map<String, Object>) map : Map.of();
        } catch (RuntimeException malformed) {
            return Map.of();
        }
    }

    @SuppressWarnings("unchecked")
    static Map<String, Object> map(Object value) {
        return (Map<String, Object>) value;
    }

    @SuppressWarnings("unchecked")
    static List<Object> list(Object value) {
        return value == null ? List.of() : (List<Object>) value;
    }

    static long integer(Object value, long otherwise) {
        return value instanceof Number number ? number.longValue() : otherwise;
    }

    static double decimal(Object value, double otherwise) {
        return value instanceof Number number ? number.doubleValue() : otherwise;
    }

    static Map<String, Object> of(Object... pairs) {
        Map<String, Object> map = new LinkedHashMap<>();
        for (int i = 0; i < pairs.length; i += 2) {
            map.put((String) pairs[i], pairs[i + 1]);
        }
        return map;
    }

    private void space() {
        while (at < text.length() && text.charAt(at) <= ' ') {
            at++;
        }
    }

    private Object value() {
        space();
        char c = text.charAt(at);
        if (c == '{') {
            Map<String, Object> map = new LinkedHashMap<>();
            at++;
            space();
            if (text.charAt(at) == '}') {
                at++;
                return map;
            }
            while (true) {
                space();
                String name = string();
                space();
                expect(':');
                map.put(name, value());
                space();
                if (text.charAt(at) == ',') {
                    at++;
                } else {
                    expect('}');
                    return map;
                }
            }
        }
        if (c == '[') {
            List<Object> list = new ArrayList<>();
            at++;
            space();
            if (text.charAt(at) == ']') {
                at++;
                return list;
            }
            while (true) {
                list.add(value());
                space();
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
        int start = at;
        while (at < text.length() && "+-.eE0123456789".indexOf(text.charAt(at)) >= 0) {
            at++;
        }
        String number = text.substring(start, at);
        if (number.matches("-?[0-9]+")) {
            return new BigInteger(number);
        }
        return new BigDecimal(number);
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
            char escaped = text.charAt(at++);
            switch (escaped) {
                case 'n' -> out.append('\n');
                case 't' -> out.append('\t');
                case 'r' -> out.append('\r');
                case 'b' -> out.append('\b');
                case 'f' -> out.append('\f');
                case 'u' -> {
                    out.append((char) Integer.parseInt(text.substring(at, at + 4), 16));
                    at += 4;
                }
                default -> out.append(escaped);
            }
        }
    }

    static String write(Object value) {
        StringBuilder out = new StringBuilder();
        write(value, out);
        return out.toString();
    }

    private static void write(Object value, StringBuilder out) {
        if (value instanceof Map<?, ?> map) {
            out.append('{');
            String comma = "";
            for (Map.Entry<?, ?> entry : map.entrySet()) {
                out.append(comma);
                write(entry.getKey(), out);
                out.append(':');
                write(entry.getValue(), out);
                comma = ",";
            }
            out.append('}');
        } else if (value instanceof Iterable<?> list) {
            out.append('[');
            String comma = "";
            for (Object item : list) {
                out.append(comma);
                write(item, out);
                comma = ",";
            }
            out.append(']');
        } else if (value instanceof String string) {
            out.append('"');
            for (int i = 0; i < string.length(); i++) {
                char c = string.charAt(i);
                if (c == '"' || c == '\\') {
                    out.append('\\').append(c);
                } else if (c < ' ' || c > '~') {
                    out.append(String.format("\\u%04x", (int) c));
                } else {
                    out.append(c);
                }
            }
            out.append('"');
        } else {
            out.append(value);
        }
    }
}
