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
 * One name that a table may hold: its type, its range and what it means.
 *
 * @param name the name in the file
 * @param form the type and range in words, for errors and the settings reference
 * @param meaning what it sets, with its unit
 * @param necessity whether it must be given
 * @param fallback the value when the name is absent
 * @param parser turns the value in the file into the typed one; fails by answering Left
 * @param <T> type of the value
 */
public record Field<T>(
    String name,
    String form,
    String meaning,
    Necessity necessity,
    Option<T> fallback,
    Function<Object, Either<String, T>> parser) {
  private static final Pattern NAME = Pattern.compile("[a-z0-9][a-z0-9-]{0,62}");
  private static final Pattern HASH = Pattern.compile("sha256:[0-9a-f]{64}");

  /** Whether a field must be given. */
  public enum Necessity {
    /** The file must give a value. */
    REQUIRED,
    /** Without a value in the file the fallback holds. */
    DEFAULTED,
    /** May be absent, with no value then. */
    OPTIONAL
  }

  /** Returns a field of text. */
  public static Field<String> text(String name, String meaning) {
    return required(name, "text, not empty", meaning, Field::parseText);
  }

  /** Returns a field for the name of a thing. */
  public static Field<String> id(String name, String meaning) {
    String form = "lower-case letters, digits and hyphens, at most 63";
    return required(name, form, meaning, raw -> parseText(raw).filterOrElse(matches(NAME), s -> s));
  }

  /** Returns a field of a whole number from {@code min} to {@code max}. */
  public static Field<Integer> integer(String name, int min, int max, String meaning) {
    String form = "whole number from " + min + " to " + max;
    return required(name, form, meaning, raw -> parseInteger(raw, min, max));
  }

  /** Returns a field of a number greater than zero and at most {@code max}. */
  public static Field<Double> positive(String name, double max, String meaning) {
    String form = "number above 0 and at most " + (long) max;
    return required(name, form, meaning, raw -> parsePositive(raw, max));
  }

  /** Returns a field that is true or false. */
  public static Field<Boolean> flag(String name, String meaning) {
    return required(
        name,
        "true or false",
        meaning,
        raw -> raw instanceof Boolean b ? Either.right(b) : Either.left(String.valueOf(raw)));
  }

  /** Returns a field of the form {@code address:port}. */
  public static Field<InetSocketAddress> address(String name, String meaning) {
    return required(name, "IP address and port, as 127.0.0.1:8000", meaning, Field::parseAddress);
  }

  /** Returns a field of an HTTP base address. */
  public static Field<URI> uri(String name, String meaning) {
    return required(name, "http:// address", meaning, Field::parseUri);
  }

  /** Returns a field of HTTP base addresses, at least one. */
  public static Field<List<URI>> uris(String name, String meaning) {
    return required(
        name, "list of http:// addresses", meaning, raw -> parseList(raw, Field::parseUri, 1));
  }

  /** Returns a field of names, at least one. */
  public static Field<List<String>> texts(String name, String meaning) {
    return required(
        name, "list of text, not empty", meaning, raw -> parseList(raw, Field::parseText, 1));
  }

  /** Returns a field of key hashes. */
  public static Field<List<String>> hashes(String name, String meaning) {
    return required(
        name,
        "list of \"sha256:\" and 64 lower-case hexadecimal digits",
        meaning,
        raw -> parseList(raw, r -> parseText(r).filterOrElse(matches(HASH), s -> s), 0));
  }

  /** Returns a field that takes a number or true or false, in its text form. */
  public static Field<String> scalar(String name, String meaning) {
    return required(
        name,
        "number, true or false",
        meaning,
        raw ->
            raw instanceof Number || raw instanceof Boolean
                ? Either.right(String.valueOf(raw))
                : Either.left(String.valueOf(raw)));
  }

  /** Returns the same field with a value to take when it is absent. */
  public Field<T> orElse(T value) {
    return new Field<>(name, form, meaning, Necessity.DEFAULTED, Option.some(value), parser);
  }

  /** Returns the same field, which may be absent. */
  public Field<T> optional() {
    return new Field<>(name, form, meaning, Necessity.OPTIONAL, Option.none(), parser);
  }

  private static <T> Field<T> required(
      String name, String form, String meaning, Function<Object, Either<String, T>> parser) {
    return new Field<>(name, form, meaning, Necessity.REQUIRED, Option.none(), parser);
  }

  private static java.util.function.Predicate<String> matches(Pattern pattern) {
    return s -> pattern.matcher(s).matches();
  }

  private static Either<String, String> parseText(Object raw) {
    boolean good = raw instanceof String s && !s.isBlank();
    return good ? Either.right((String) raw) : Either.left(String.valueOf(raw));
  }

  private static Either<String, Integer> parseInteger(Object raw, int min, int max) {
    boolean good = raw instanceof Long n && n >= min && n <= max;
    return good ? Either.right(((Long) raw).intValue()) : Either.left(String.valueOf(raw));
  }

  private static Either<String, Double> parsePositive(Object raw, double max) {
    boolean good = raw instanceof Number n && n.doubleValue() > 0 && n.doubleValue() <= max;
    return good ? Either.right(((Number) raw).doubleValue()) : Either.left(String.valueOf(raw));
  }

  private static Either<String, URI> parseUri(Object raw) {
    try {
      URI uri = URI.create(String.valueOf(raw));
      boolean good = "http".equals(uri.getScheme()) && uri.getHost() != null;
      return good ? Either.right(uri) : Either.left(String.valueOf(raw));
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
      boolean good = ip.matches("[0-9.]+|\\[[0-9a-fA-F:]+\\]");
      return good ? Either.right(new InetSocketAddress(ip, port)) : Either.left(text);
    } catch (IllegalArgumentException e) {
      return Either.left(text);
    }
  }

  private static <T> Either<String, List<T>> parseList(
      Object raw, Function<Object, Either<String, T>> element, int least) {
    if (!(raw instanceof TomlArray array) || array.size() < least) {
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
