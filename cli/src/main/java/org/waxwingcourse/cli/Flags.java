package org.waxwingcourse.cli;

import io.vavr.collection.List;
import io.vavr.control.Either;
import java.net.URI;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Option;

/** Options that several commands share. */
public final class Flags {
  private static final String STORE = "store";
  private static final String NODE = "node";

  private Flags() {}

  /** Returns the option for the platform store's addresses. */
  public static Option store() {
    return valued(STORE, "URL", "base address of the platform store; may be given again");
  }

  /** Returns the option for a node's operators' address. */
  public static Option node() {
    return valued(NODE, "URL", "operators' base address of any node");
  }

  /** Returns an option with a value. */
  public static Option valued(String name, String argument, String meaning) {
    return Option.builder().longOpt(name).hasArg().argName(argument).desc(meaning).get();
  }

  /** Reads the addresses of the store; the error is a message for the operator. */
  public static Either<String, List<URI>> stores(CommandLine line) {
    return addresses(line, STORE);
  }

  /** Reads the address of a node; the error is a message for the operator. */
  public static Either<String, URI> node(CommandLine line) {
    return addresses(line, NODE).map(List::head);
  }

  /** Reads the addresses of several nodes; the error is a message for the operator. */
  public static Either<String, List<URI>> nodes(CommandLine line) {
    return addresses(line, NODE);
  }

  private static Either<String, List<URI>> addresses(CommandLine line, String option) {
    String[] values = line.getOptionValues(option);
    if (values == null) {
      return Either.left("option --" + option + " is missing");
    }
    return Either.sequenceRight(List.of(values).map(v -> address(option, v))).map(List::ofAll);
  }

  private static Either<String, URI> address(String option, String value) {
    try {
      URI uri = URI.create(value);
      return "http".equals(uri.getScheme()) && uri.getHost() != null
          ? Either.right(uri)
          : Either.left("--" + option + " must be an http:// address, not \"" + value + "\"");
    } catch (IllegalArgumentException e) {
      return Either.left("--" + option + " must be an http:// address, not \"" + value + "\"");
    }
  }
}
