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

/** The options of one stand-in on the command line. */
final class Arguments {
  private static final long NANOS_PER_MICRO = 1_000;
  private static final long NANOS_PER_MILLI = 1_000_000;

  private final String name;
  private final Options options = new Options();

  private Arguments(String name) {
    this.name = name;
  }

  static Arguments of(String name) {
    return new Arguments(name);
  }

  Arguments number(String option, String description) {
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

  Arguments texts(String option, String description) {
    options.addOption(
        Option.builder().longOpt(option).hasArg().argName("name").desc(description).get());
    return this;
  }

  Arguments flag(String option, String description) {
    options.addOption(Option.builder().longOpt(option).desc(description).get());
    return this;
  }

  Parsed parse(String[] arguments) throws ParseException {
    return new Parsed(new DefaultParser().parse(options, arguments));
  }

  void print() {
    try {
      HelpFormatter.builder()
          .setShowSince(false)
          .get()
          .printHelp("standin " + name, "", options, "", true);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  /** The options as given. */
  record Parsed(CommandLine line) {
    int number(String option, int usual) throws ParseException {
      Number value = line.getParsedOptionValue(option);
      return value == null ? usual : value.intValue();
    }

    Duration millis(String option, Duration usual) throws ParseException {
      return duration(option, NANOS_PER_MILLI, usual);
    }

    Duration micros(String option, Duration usual) throws ParseException {
      return duration(option, NANOS_PER_MICRO, usual);
    }

    List<String> texts(String option, List<String> usual) {
      return line.hasOption(option) ? List.of(line.getOptionValues(option)) : usual;
    }

    boolean flag(String option) {
      return line.hasOption(option);
    }

    private Duration duration(String option, long unitNanos, Duration usual) throws ParseException {
      Number value = line.getParsedOptionValue(option);
      return value == null ? usual : Duration.ofNanos((long) (value.doubleValue() * unitNanos));
    }
  }
}
