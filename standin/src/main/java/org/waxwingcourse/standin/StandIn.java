package org.waxwingcourse.standin;

import java.time.Duration;
import java.util.Arrays;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;
import org.waxwingcourse.model.service.Service;
import org.waxwingcourse.standin.platform.PlatformOptions;
import org.waxwingcourse.standin.platform.PlatformStandIn;

/** Runs one stand-in as a process: {@code platform}, {@code engine} or {@code service}. */
public final class StandIn {
  private static final int EXIT_USAGE = 2;

  private StandIn() {}

  /** Starts the stand-in that the first argument names; it runs until the process is ended. */
  public static void main(String[] arguments) {
    if (arguments.length == 0 || arguments[0].equals("--help")) {
      printUsage();
      return;
    }
    String[] rest = Arrays.copyOfRange(arguments, 1, arguments.length);
    try {
      switch (arguments[0]) {
        case "platform" -> startPlatform(rest);
        default -> throw new ParseException("there is no stand-in \"" + arguments[0] + "\"");
      }
    } catch (ParseException e) {
      System.err.println(e.getMessage());
      printUsage();
      System.exit(EXIT_USAGE);
    }
  }

  private static void startPlatform(String[] arguments) throws ParseException {
    Options options =
        new Options()
            .addOption(number("port", "port to listen on, 0 for any free one"))
            .addOption(number("host-list-lag-millis", "lag of the host list"))
            .addOption(number("reads-per-second", "limit for reads and watches, 0 for none"))
            .addOption(number("writes-per-second", "limit for writes and leases, 0 for none"))
            .addOption(number("delay-millis", "network delay one way"));
    CommandLine line = new DefaultParser().parse(options, arguments);
    PlatformOptions usual = PlatformOptions.onPort(intOf(line, "port", 0));
    Duration lag = millisOf(line, "host-list-lag-millis", usual.hostListLag());
    run(
        PlatformStandIn.create(
            new PlatformOptions(
                usual.port(),
                lag,
                intOf(line, "reads-per-second", usual.readsPerSecond()),
                intOf(line, "writes-per-second", usual.writesPerSecond()),
                millisOf(line, "delay-millis", usual.oneWayDelay()))));
  }

  private static void run(Service service) {
    Runtime.getRuntime().addShutdownHook(new Thread(service::stop));
    service.start();
  }

  private static Option number(String name, String description) {
    return Option.builder().longOpt(name).hasArg().type(Number.class).desc(description).get();
  }

  private static int intOf(CommandLine line, String name, int usual) throws ParseException {
    Number value = line.getParsedOptionValue(name);
    return value == null ? usual : value.intValue();
  }

  private static Duration millisOf(CommandLine line, String name, Duration usual)
      throws ParseException {
    Number value = line.getParsedOptionValue(name);
    return value == null ? usual : Duration.ofMillis(value.longValue());
  }

  private static void printUsage() {
    System.out.println("usage: standin platform [--port N] [--host-list-lag-millis N]");
    System.out.println(
        "         [--reads-per-second N] [--writes-per-second N] [--delay-millis N]");
  }
}
