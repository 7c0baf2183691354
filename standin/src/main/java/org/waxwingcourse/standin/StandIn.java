package org.waxwingcourse.standin;

import java.time.Duration;
import java.util.Arrays;
import java.util.List;
import org.apache.commons.cli.ParseException;
import org.waxwingcourse.model.service.Service;
import org.waxwingcourse.standin.engine.EngineOptions;
import org.waxwingcourse.standin.engine.EngineStandIn;
import org.waxwingcourse.standin.plain.ServiceOptions;
import org.waxwingcourse.standin.plain.ServiceStandIn;
import org.waxwingcourse.standin.platform.PlatformOptions;
import org.waxwingcourse.standin.platform.PlatformStandIn;

/** Runs one stand-in as a process: {@code platform}, {@code engine} or {@code service}. */
public final class StandIn {
  private static final int EXIT_USAGE = 2;
  private static final ArgumentParser PLATFORM =
      ArgumentParser.of("platform")
          .addNumber("port", "port to listen on, 0 for any free port")
          .addNumber("host-list-lag-millis", "lag of the host list")
          .addNumber("reads-per-second", "rate limit for reads and watches, 0 for no limit")
          .addNumber("writes-per-second", "rate limit for writes and lease calls, 0 for no limit")
          .addNumber("delay-millis", "network delay in each direction");
  private static final ArgumentParser ENGINE =
      ArgumentParser.of("engine")
          .addNumber("port", "port to listen on, 0 for any free port")
          .addRepeatable("model", "name of a served model; may be repeated")
          .addNumber("step-millis", "duration of a decoding step with an empty batch")
          .addNumber("sequence-micros", "duration added to a step for each sequence")
          .addNumber("prefill-micros", "duration added to a step for each uncached prompt token")
          .addNumber("cache-tokens", "capacity of the prefix cache")
          .addNumber("report-lag-millis", "lag of the load report and of cache events")
          .addNumber("event-gap", "every n-th cache event is lost, 0 for none")
          .addNumber("delay-millis", "network delay in each direction")
          .addFlag("check-fencing", "reject orders with an old fencing number");
  private static final ArgumentParser SERVICE =
      ArgumentParser.of("service")
          .addNumber("port", "port to listen on, 0 for any free port")
          .addNumber("delay-millis", "network delay in each direction")
          .addFlag(
              "repeatable",
              "repeat the response to a call with a known idempotency key without another run");

  private StandIn() {}

  /** Starts the stand-in that the first argument names; it runs until the process terminates. */
  public static void main(String[] arguments) {
    if (arguments.length == 0 || Arrays.asList(arguments).contains("--help")) {
      printUsage();
      return;
    }
    try {
      startWithShutdownHook(
          createStandIn(arguments[0], Arrays.copyOfRange(arguments, 1, arguments.length)));
    } catch (ParseException e) {
      System.err.println(e.getMessage());
      System.exit(EXIT_USAGE);
    }
  }

  static Service createStandIn(String name, String[] rest) throws ParseException {
    return switch (name) {
      case "platform" -> createPlatform(PLATFORM.parse(rest));
      case "engine" -> createEngine(ENGINE.parse(rest));
      case "service" -> createService(SERVICE.parse(rest));
      default -> throw new ParseException("unknown stand-in \"" + name + "\"");
    };
  }

  private static Service createPlatform(ArgumentParser.ParsedArguments line) throws ParseException {
    PlatformOptions defaults = PlatformOptions.onPort(line.number("port", 0));
    return PlatformStandIn.create(
        new PlatformOptions(
            defaults.port(),
            line.millis("host-list-lag-millis", defaults.hostListLag()),
            line.number("reads-per-second", defaults.readsPerSecond()),
            line.number("writes-per-second", defaults.writesPerSecond()),
            line.millis("delay-millis", defaults.oneWayDelay())));
  }

  private static Service createEngine(ArgumentParser.ParsedArguments line) throws ParseException {
    EngineOptions defaults = EngineOptions.of("model");
    List<String> models = line.texts("model", defaults.models());
    return EngineStandIn.create(
        new EngineOptions(
            line.number("port", 0),
            models,
            line.millis("step-millis", defaults.baseStep()),
            line.micros("sequence-micros", defaults.sequenceStep()),
            line.micros("prefill-micros", defaults.prefillToken()),
            line.number("cache-tokens", defaults.cacheTokens()),
            line.millis("report-lag-millis", defaults.reportLag()),
            line.number("event-gap", defaults.eventGap()),
            line.flag("check-fencing"),
            line.millis("delay-millis", defaults.oneWayDelay())));
  }

  private static Service createService(ArgumentParser.ParsedArguments line) throws ParseException {
    return ServiceStandIn.create(
        new ServiceOptions(
            line.number("port", 0),
            line.flag("repeatable"),
            line.millis("delay-millis", Duration.ZERO)));
  }

  private static void startWithShutdownHook(Service service) {
    Runtime.getRuntime().addShutdownHook(new Thread(service::stop));
    service.start();
  }

  private static void printUsage() {
    List.of(PLATFORM, ENGINE, SERVICE).forEach(ArgumentParser::printHelp);
  }
}
