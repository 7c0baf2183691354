package org.waxwingcourse.config.toml;

import io.vavr.control.Either;
import io.vavr.control.Option;
import java.net.InetSocketAddress;
import java.net.URI;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Function;
import java.util.regex.Pattern;
import org.tomlj.TomlArray;

/**
 * A named field of a TOML table, with its type, range and description.
 *
 * @param name the key in the file
 * @param expectedForm the type and range in words, used in error messages and the reference page
 * @param description what the field sets, including its unit
 * @param presence whether a file must contain the field
 * @param defaultValue the value that is used when the field is absent
 * @param parser converts the TOML value to the typed value; returns Left with the rejected value if
 *     it does not have the expected form
 * @param <T> the type of the value
 */
public record Field<T>(
    String name,
    String expectedForm,
    String description,
    Presence presence,
    Option<T> defaultValue,
    Function<Object, Either<String, T>> parser) {
  private static final Pattern NAME_PATTERN = Pattern.compile("[a-z0-9][a-z0-9-]{0,62}");
  private static final Pattern HASH_PATTERN = Pattern.compile("sha256:[0-9a-f]{64}");

  /** Whether a file must contain a field. */
  public enum Presence {
    /** The file must contain the field. */
    REQUIRED,
    /** The default value is used if the file does not contain the field. */
    DEFAULTED,
    /** The field may be absent and then has no value. */
    OPTIONAL
  }

  /** Returns a field for non-blank text. */
  public static Field<String> text(String name, String description) {
    return required(name, "text, not empty", description, Field::parseText);
  }

  /** Returns a field for an identifier, such as the name of a host or an engine. */
  public static Field<String> id(String name, String description) {
    String expectedForm = "lower-case letters, digits and hyphens, at most 63";
    return required(
        name,
        expectedForm,
        description,
        raw -> parseText(raw).filterOrElse(matches(NAME_PATTERN), s -> s));
  }

  /** Returns a field for an integer from {@code min} to {@code max}. */
  public static Field<Integer> integer(String name, int min, int max, String description) {
    String expectedForm = "whole number from " + min + " to " + max;
    return required(name, expectedForm, description, raw -> parseInteger(raw, min, max));
  }

  /** Returns a field for a number greater than zero and at most {@code max}. */
  public static Field<Double> positive(String name, double max, String description) {
    String expectedForm = "number above 0 and at most " + (long) max;
    return required(name, expectedForm, description, raw -> parsePositive(raw, max));
  }

  /** Returns a field for a boolean. */
  public static Field<Boolean> flag(String name, String description) {
    return required(
        name,
        "true or false",
        description,
        raw -> raw instanceof Boolean b ? Either.right(b) : Either.left(String.valueOf(raw)));
  }

  /** Returns a field for a socket address of the form {@code address:port}. */
  public static Field<InetSocketAddress> address(String name, String description) {
    return required(
        name, "IP address and port, as 127.0.0.1:8000", description, Field::parseAddress);
  }

  /** Returns a field for an HTTP base address. */
  public static Field<URI> uri(String name, String description) {
    return required(name, "http:// address", description, Field::parseUri);
  }

  /** Returns a field for a list of at least one HTTP base address. */
  public static Field<List<URI>> uris(String name, String description) {
    return required(
        name, "list of http:// addresses", description, raw -> parseList(raw, Field::parseUri, 1));
  }

  /** Returns a field for a list of at least one non-blank text. */
  public static Field<List<String>> texts(String name, String description) {
    return required(
        name, "list of text, not empty", description, raw -> parseList(raw, Field::parseText, 1));
  }

  /** Returns a field for a list of API key hashes, which may be empty. */
  public static Field<List<String>> hashes(String name, String description) {
    return required(
        name,
        "list of \"sha256:\" and 64 lower-case hexadecimal digits",
        description,
        raw -> parseList(raw, r -> parseText(r).filterOrElse(matches(HASH_PATTERN), s -> s), 0));
  }

  /** Returns a field for a number or boolean, which is kept in its text form. */
  public static Field<String> scalar(String name, String description) {
    return required(
        name,
        "number, true or false",
        description,
        raw ->
            raw instanceof Number || raw instanceof Boolean
                ? Either.right(String.valueOf(raw))
                : Either.left(String.valueOf(raw)));
  }

  /** Returns a copy of this field that uses {@code value} when it is absent. */
  public Field<T> orElse(T value) {
    return new Field<>(
        name, expectedForm, description, Presence.DEFAULTED, Option.some(value), parser);
  }

  /** Returns a copy of this field that may be absent. */
  public Field<T> optional() {
    return new Field<>(name, expectedForm, description, Presence.OPTIONAL, Option.none(), parser);
  }

  private static <T> Field<T> required(
      String name,
      String expectedForm,
      String description,
      Function<Object, Either<String, T>> parser) {
    return new Field<>(name, expectedForm, description, Presence.REQUIRED, Option.none(), parser);
  }

  private static java.util.function.Predicate<String> matches(Pattern pattern) {
    return s -> pattern.matcher(s).matches();
  }

  private static Either<String, String> parseText(Object raw) {
    boolean valid = raw instanceof String s && !s.isBlank();
    return valid ? Either.right((String) raw) : Either.left(String.valueOf(raw));
  }

  private static Either<String, Integer> parseInteger(Object raw, int min, int max) {
    boolean valid = raw instanceof Long n && n >= min && n <= max;
    return valid ? Either.right(((Long) raw).intValue()) : Either.left(String.valueOf(raw));
  }

  private static Either<String, Double> parsePositive(Object raw, double max) {
    boolean valid = raw instanceof Number n && n.doubleValue() > 0 && n.doubleValue() <= max;
    return valid ? Either.right(((Number) raw).doubleValue()) : Either.left(String.valueOf(raw));
  }

  private static Either<String, URI> parseUri(Object raw) {
    try {
      URI uri = URI.create(String.valueOf(raw));
      boolean valid = "http".equals(uri.getScheme()) && uri.getHost() != null;
      return valid ? Either.right(uri) : Either.left(String.valueOf(raw));
    } catch (IllegalArgumentException e) {
      return Either.left(String.valueOf(raw));
    }
  }

  private static Either<String, InetSocketAddress> parseAddress(Object raw) {
    String text = String.valueOf(raw);
    int colon = text.lastIndexOf(':');
    try {
      String ip = text.substring(0, Math.max(colon, 0));
      int port = Integer.parseInt(text.substring(colon + 1));
      boolean valid = ip.matches("[0-9.]+|\\[[0-9a-fA-F:]+\\]");
      return valid ? Either.right(new InetSocketAddress(ip, port)) : Either.left(text);
    } catch (IllegalArgumentException e) {
      return Either.left(text);
    }
  }

  private static <T> Either<String, List<T>> parseList(
      Object raw, Function<Object, Either<String, T>> element, int minSize) {
    if (!(raw instanceof TomlArray array) || array.size() < minSize) {
      return Either.left(String.valueOf(raw));
    }
    List<T> values = new ArrayList<>();
    for (int i = 0; i < array.size(); i++) {
      Either<String, T> value = element.apply(array.get(i));
      if (value.isLeft()) {
        return Either.left(value.getLeft());
      }
      values.add(value.get());
    }
    return Either.right(List.copyOf(values));
  }
}
