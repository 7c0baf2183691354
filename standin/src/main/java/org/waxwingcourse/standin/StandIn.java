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
  private static final Arguments PLATFORM =
      Arguments.of("platform")
          .number("port", "port to listen on, 0 for any free one")
          .number("host-list-lag-millis", "how far the host list lags behind")
          .number("reads-per-second", "limit for reads and watches, 0 for none")
          .number("writes-per-second", "limit for writes and lease calls, 0 for none")
          .number("delay-millis", "network delay one way");
  private static final Arguments ENGINE =
      Arguments.of("engine")
          .number("port", "port to listen on, 0 for any free one")
          .texts("model", "a model it serves; may be repeated")
          .number("step-millis", "time of a decoding step with an empty batch")
          .number("sequence-micros", "added to a step for each sequence")
          .number("prefill-micros", "added to a step for each uncached prompt token")
          .number("cache-tokens", "size of the prefix cache")
          .number("report-lag-millis", "how far load and cache events lag behind")
          .number("event-gap", "one cache event in so many is lost, 0 for none")
          .number("delay-millis", "network delay one way")
          .flag("check-fencing", "refuses orders with an old fencing number");
  private static final Arguments SERVICE =
      Arguments.of("service")
          .number("port", "port to listen on, 0 for any free one")
          .number("delay-millis", "network delay one way")
          .flag("repeatable", "a call with a known idempotency key only repeats the answer");

  private StandIn() {}

  /** Starts the stand-in that the first argument names; it runs until the process is ended. */
  public static void main(String[] arguments) {
    if (arguments.length == 0 || Arrays.asList(arguments).contains("--help")) {
      printUsage();
      return;
    }
    try {
      run(create(arguments[0], Arrays.copyOfRange(arguments, 1, arguments.length)));
    } catch (ParseException e) {
      System.err.println(e.getMessage());
      System.exit(EXIT_USAGE);
    }
  }

  static Service create(String name, String[] rest) throws ParseException {
    return switch (name) {
      case "platform" -> platform(PLATFORM.parse(rest));
      case "engine" -> engine(ENGINE.parse(rest));
      case "service" -> service(SERVICE.parse(rest));
      default -> throw new ParseException("there is no stand-in \"" + name + "\"");
    };
  }

  private static Service platform(Arguments.Parsed line) throws ParseException {
    PlatformOptions usual = PlatformOptions.onPort(line.number("port", 0));
    return PlatformStandIn.create(
        new PlatformOptions(
            usual.port(),
            line.millis("host-list-lag-millis", usual.hostListLag()),
            line.number("reads-per-second", usual.readsPerSecond()),
            line.number("writes-per-second", usual.writesPerSecond()),
            line.millis("delay-millis", usual.oneWayDelay())));
  }

  private static Service engine(Arguments.Parsed line) throws ParseException {
    EngineOptions usual = EngineOptions.of("model");
    List<String> models = line.texts("model", usual.models());
    return EngineStandIn.create(
        new EngineOptions(
            line.number("port", 0),
            models,
            line.millis("step-millis", usual.baseStep()),
            line.micros("sequence-micros", usual.sequenceStep()),
            line.micros("prefill-micros", usual.prefillToken()),
            line.number("cache-tokens", usual.cacheTokens()),
            line.millis("report-lag-millis", usual.reportLag()),
            line.number("event-gap", usual.eventGap()),
            line.flag("check-fencing"),
            line.millis("delay-millis", usual.oneWayDelay())));
  }

  private static Service service(Arguments.Parsed line) throws ParseException {
    return ServiceStandIn.create(
        new ServiceOptions(
            line.number("port", 0),
            line.flag("repeatable"),
            line.millis("delay-millis", Duration.ZERO)));
  }

  private static void run(Service service) {
    Runtime.getRuntime().addShutdownHook(new Thread(service::stop));
    service.start();
  }

  private static void printUsage() {
    List.of(PLATFORM, ENGINE, SERVICE).forEach(Arguments::print);
  }
}
