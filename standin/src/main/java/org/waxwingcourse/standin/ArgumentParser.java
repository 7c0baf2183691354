package org.waxwingcourse.standin;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.time.Duration;
import java.util.List;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;
import org.apache.commons.cli.help.HelpFormatter;

/** Parses the command line options of one stand-in. */
final class ArgumentParser {
  private static final long NANOS_PER_MICRO = 1_000;
  private static final long NANOS_PER_MILLI = 1_000_000;

  private final String name;
  private final Options options = new Options();

  private ArgumentParser(String name) {
    this.name = name;
  }

  static ArgumentParser of(String name) {
    return new ArgumentParser(name);
  }

  ArgumentParser addNumber(String option, String description) {
    options.addOption(
        Option.builder()
            .longOpt(option)
            .hasArg()
            .argName("n")
            .type(Number.class)
            .desc(description)
            .get());
    return this;
  }

  ArgumentParser addRepeatable(String option, String description) {
    options.addOption(
        Option.builder().longOpt(option).hasArg().argName("name").desc(description).get());
    return this;
  }

  ArgumentParser addFlag(String option, String description) {
    options.addOption(Option.builder().longOpt(option).desc(description).get());
    return this;
  }

  ParsedArguments parse(String[] arguments) throws ParseException {
    return new ParsedArguments(new DefaultParser().parse(options, arguments));
  }

  void printHelp() {
    try {
      HelpFormatter.builder()
          .setShowSince(false)
          .get()
          .printHelp("standin " + name, "", options, "", true);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  /** The parsed options. */
  record ParsedArguments(CommandLine commandLine) {
    int number(String option, int defaultValue) throws ParseException {
      Number value = commandLine.getParsedOptionValue(option);
      return value == null ? defaultValue : value.intValue();
    }

    Duration millis(String option, Duration defaultValue) throws ParseException {
      return duration(option, NANOS_PER_MILLI, defaultValue);
    }

    Duration micros(String option, Duration defaultValue) throws ParseException {
      return duration(option, NANOS_PER_MICRO, defaultValue);
    }

    List<String> texts(String option, List<String> defaultValue) {
      return commandLine.hasOption(option)
          ? List.of(commandLine.getOptionValues(option))
          : defaultValue;
    }

    boolean flag(String option) {
      return commandLine.hasOption(option);
    }

    private Duration duration(String option, long unitNanos, Duration defaultValue)
        throws ParseException {
      Number value = commandLine.getParsedOptionValue(option);
      return value == null
          ? defaultValue
          : Duration.ofNanos((long) (value.doubleValue() * unitNanos));
    }
  }
}
