import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Reads and writes JSON as maps, lists, strings, doubles, longs and booleans. */
final class Json {
  private final String text;
  private int at;

  private Json(String text) {
    this.text = text;
  }

  @SuppressWarnings("unchecked")
  static Map<String, Object> object(String text) {
    return (Map<String, Object>) new Json(text).value();
  }

  @SuppressWarnings("unchecked")
  static List<Object> list(Object value) {
    return value == null ? List.of() : (List<Object>) value;
  }

  @SuppressWarnings("unchecked")
  static Map<String, Object> map(Object value) {
    return (Map<String, Object>) value;
  }

  static long number(Object value) {
    return value == null ? 0 : ((Number) value).longValue();
  }

  private void skip() {
    while (at < text.length() && Character.isWhitespace(text.charAt(at))) {
      at++;
    }
  }

  private Object value() {
    skip();
    char c = text.charAt(at);
    if (c == '{') {
      Map<String, Object> map = new LinkedHashMap<>();
      at++;
      for (skip(); text.charAt(at) != '}'; skip()) {
        String name = string();
        skip();
        at++;
        map.put(name, value());
        skip();
        if (text.charAt(at) == ',') {
          at++;
        }
      }
      at++;
      return map;
    }
    if (c == '[') {
      List<Object> list = new ArrayList<>();
      at++;
      for (skip(); text.charAt(at) != ']'; skip()) {
        list.add(value());
        skip();
        if (text.charAt(at) == ',') {
          at++;
        }
      }
      at++;
      return list;
    }
    if (c == '"') {
      return string();
    }
    int start = at;
    while (at < text.length() && ",]} \n\r\t".indexOf(text.charAt(at)) < 0) {
      at++;
    }
    String word = text.substring(start, at);
    return switch (word) {
      case "true" -> true;
      case "false" -> false;
      case "null" -> null;
      default -> word.matches("-?\\d+") ? (Object) Long.parseLong(word) : Double.parseDouble(word);
    };
  }

  private String string() {
    StringBuilder out = new StringBuilder();
    at++;
    for (char c = text.charAt(at); c != '"'; c = text.charAt(at)) {
      at++;
      if (c == '\\') {
        char escaped = text.charAt(at++);
        switch (escaped) {
          case 'n' -> out.append('\n');
          case 'r' -> out.append('\r');
          case 't' -> out.append('\t');
          case 'b' -> out.append('\b');
          case 'f' -> out.append('\f');
          case 'u' -> {
            out.append((char) Integer.parseInt(text.substring(at, at + 4), 16));
            at += 4;
          }
          default -> out.append(escaped);
        }
      } else {
        out.append(c);
      }
    }
    at++;
    return out.toString();
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
      for (Map.Entry<?, ?> e : map.entrySet()) {
        out.append(comma);
        write(e.getKey(), out);
        out.append(':');
        write(e.getValue(), out);
        comma = ",";
      }
      out.append('}');
    } else if (value instanceof List<?> list) {
      out.append('[');
      String comma = "";
      for (Object o : list) {
        out.append(comma);
        write(o, out);
        comma = ",";
      }
      out.append(']');
    } else if (value instanceof String s) {
      out.append('"');
      for (int i = 0; i < s.length(); i++) {
        char c = s.charAt(i);
        if (c == '"' || c == '\\') {
          out.append('\\').append(c);
        } else if (c < ' ') {
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
