package org.waxwingcourse.cli;

import io.vavr.collection.List;
import io.vavr.control.Either;
import java.net.URI;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Option;

/** Command-line options that several commands share. */
public final class CommonOptions {
  private static final String STORE = "store";
  private static final String NODE = "node";

  private CommonOptions() {}

  /** Returns the option for the addresses of the platform store. */
  public static Option storeOption() {
    return withArgument(STORE, "URL", "base address of the platform store; may be repeated");
  }

  /** Returns the option for the operator address of a node. */
  public static Option nodeOption() {
    return withArgument(NODE, "URL", "operator base address of any node");
  }

  /** Returns an option that takes an argument. */
  public static Option withArgument(String name, String argumentName, String description) {
    return Option.builder().longOpt(name).hasArg().argName(argumentName).desc(description).get();
  }

  /** Parses the addresses of the store; returns an error message for the operator on failure. */
  public static Either<String, List<URI>> storeAddresses(CommandLine line) {
    return parseAddresses(line, STORE);
  }

  /** Parses the address of a node; returns an error message for the operator on failure. */
  public static Either<String, URI> nodeAddress(CommandLine line) {
    return parseAddresses(line, NODE).map(List::head);
  }

  /**
   * Parses the addresses of several nodes; returns an error message for the operator on failure.
   */
  public static Either<String, List<URI>> nodeAddresses(CommandLine line) {
    return parseAddresses(line, NODE);
  }

  private static Either<String, List<URI>> parseAddresses(CommandLine line, String option) {
    String[] values = line.getOptionValues(option);
    if (values == null) {
      return Either.left("option --" + option + " is missing");
    }
    return Either.sequenceRight(List.of(values).map(v -> parseAddress(option, v))).map(List::ofAll);
  }

  private static Either<String, URI> parseAddress(String option, String value) {
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
