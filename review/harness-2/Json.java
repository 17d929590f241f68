import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** A small reader and writer of JSON: maps, lists, strings, longs, doubles, booleans and null. */
final class Json {

    private final String text;
    private int at;

    private Json(String text) {
        this.text = text;
    }

    static Map<String, Object> object(Object... keysAndValues) {
        Map<String, Object> m = new LinkedHashMap<>();
        for (int i = 0; i < keysAndValues.length; i += 2) {
            m.put((String) keysAndValues[i], keysAndValues[i + 1]);
        }
        return m;
    }

    @SuppressWarnings("unchecked")
    static Map<String, Object> map(Object o) {
        return o instanceof Map ? (Map<String, Object>) o : Map.of();
    }

    @SuppressWarnings("unchecked")
    static List<Object> list(Object o) {
        return o instanceof List ? (List<Object>) o : List.of();
    }

    static String text(Map<String, Object> m, String key) {
        return m.get(key) instanceof String s ? s : "";
    }

    static long number(Map<String, Object> m, String key) {
        return m.get(key) instanceof Number n ? n.longValue() : 0;
    }

    static String write(Object o) {
        StringBuilder b = new StringBuilder();
        write(o, b);
        return b.toString();
    }

    private static void write(Object o, StringBuilder b) {
        if (o instanceof Map<?, ?> m) {
            String comma = "{";
            for (Map.Entry<?, ?> e : m.entrySet()) {
                b.append(comma);
                write(e.getKey(), b);
                b.append(':');
                write(e.getValue(), b);
                comma = ",";
            }
            b.append(m.isEmpty() ? "{}" : "}");
        } else if (o instanceof List<?> l) {
            String comma = "[";
            for (Object e : l) {
                b.append(comma);
                write(e, b);
                comma = ",";
            }
            b.append(l.isEmpty() ? "[]" : "]");
        } else if (o instanceof String s) {
            b.append('"');
            for (char c : s.toCharArray()) {
                if (c == '"' || c == '\\') {
                    b.append('\\').append(c);
                } else if (c < 0x20) {
                    b.append(String.format("\\u%04x", (int) c));
                } else {
                    b.append(c);
                }
            }
            b.append('"');
        } else {
            b.append(o);
        }
    }

    static Object read(String text) {
        Json j = new Json(text);
        return j.value();
    }

    private void blanks() {
        while (at < text.length() && Character.isWhitespace(text.charAt(at))) {
            at++;
        }
    }

    private Object value() {
        blanks();
        char c = text.charAt(at);
        if (c == '{') {
            Map<String, Object> m = new LinkedHashMap<>();
            at++;
            blanks();
            while (text.charAt(at) != '}') {
                String key = (String) value();
                blanks();
                at++;
                m.put(key, value());
                blanks();
                if (text.charAt(at) == ',') {
                    at++;
                    blanks();
                }
            }
            at++;
            return m;
        }
        if (c == '[') {
            List<Object> l = new ArrayList<>();
            at++;
            blanks();
            while (text.charAt(at) != ']') {
                l.add(value());
                blanks();
                if (text.charAt(at) == ',') {
                    at++;
                    blanks();
                }
            }
            at++;
            return l;
        }
        if (c == '"') {
            return string();
        }
        int from = at;
        while (at < text.length() && ",]} \n\r\t".indexOf(text.charAt(at)) < 0) {
            at++;
        }
        String word = text.substring(from, at);
        return switch (word) {
            case "true" -> true;
            case "false" -> false;
            case "null" -> null;
            default -> word.matches("-?\\d+") ? (Object) Long.parseLong(word) : (Object) Double.parseDouble(word);
        };
    }

    private String string() {
        StringBuilder b = new StringBuilder();
        at++;
        while (text.charAt(at) != '"') {
            char c = text.charAt(at++);
            if (c != '\\') {
                b.append(c);
                continue;
            }
            char e = text.charAt(at++);
            switch (e) {
                case 'n' -> b.append('\n');
                case 't' -> b.append('\t');
                case 'r' -> b.append('\r');
                case 'b' -> b.append('\b');
                case 'f' -> b.append('\f');
                case 'u' -> {
                    b.append((char) Integer.parseInt(text.substring(at, at + 4), 16));
                    at += 4;
                }
                default -> b.append(e);
            }
        }
        at++;
        return b.toString();
    }
}
