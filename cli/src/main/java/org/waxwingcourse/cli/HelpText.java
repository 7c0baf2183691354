package org.waxwingcourse.cli;

import java.util.Comparator;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;

/** Formats the {@code --help} text of a command. */
final class HelpText {
  private HelpText() {}

  static String of(Command command, Options options) {
    StringBuilder text = new StringBuilder();
    text.append("usage: waxwing ").append(command.name()).append(" [OPTION]... ");
    text.append(command.arguments()).append('\n').append(command.summary()).append('\n');
    options.getOptions().stream()
        .sorted(Comparator.comparing(Option::getLongOpt))
        .forEach(option -> append(text, option));
    return text.toString().stripTrailing();
  }

  private static void append(StringBuilder text, Option option) {
    String argumentName = option.hasArg() ? " " + option.getArgName() : "";
    String heading = "--" + option.getLongOpt() + argumentName;
    text.append("  %-26s %s%n".formatted(heading, option.getDescription()));
  }
}
