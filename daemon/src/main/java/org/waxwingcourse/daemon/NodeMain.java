package org.waxwingcourse.daemon;

import io.vavr.control.Either;
import java.nio.file.Path;
import java.util.List;
import java.util.Random;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;
import org.apache.logging.log4j.LogManager;
import org.waxwingcourse.config.settings.NodeSettings;
import org.waxwingcourse.config.settings.NodeSettingsReader;
import org.waxwingcourse.config.toml.Problem;
import org.waxwingcourse.model.event.Event;
import org.waxwingcourse.model.event.EventLog;
import org.waxwingcourse.model.time.MonotonicClock;
import org.waxwingcourse.node.Node;

/** The program {@code node}: reads its settings, serves requests until SIGTERM, then drains. */
public final class NodeMain {
  private static final EventLog LOG = EventLog.of(NodeMain.class);
  private static final int EXIT_USAGE = 2;
  private static final int EXIT_SETTINGS_REFUSED = 3;
  private static final int EXIT_BROKEN_INVARIANT = 70;
  private static final String SETTINGS_OPTION = "settings";
  private static final String HELP_OPTION = "help";
  private static final String HELP_TEXT =
      """
      usage: node --settings FILE
      Serves callers until SIGTERM, then completes the requests that it has accepted and stops.
        --settings FILE  settings in TOML; see docs/SETTINGS.md
        --help           show this text
      Exit codes: 0 stopped as planned, 2 wrong command line, 3 settings refused, \
      70 broken invariant""";

  private NodeMain() {}

  /** Starts a node with the settings file named on the command line. */
  public static void main(String[] arguments) {
    try {
      CommandLine commandLine = new DefaultParser().parse(options(), arguments);
      if (commandLine.hasOption(HELP_OPTION)) {
        System.out.println(HELP_TEXT);
        return;
      }
      startNode(NodeSettingsReader.read(Path.of(commandLine.getOptionValue(SETTINGS_OPTION, ""))));
    } catch (ParseException e) {
      System.err.println("node: " + e.getMessage() + "; see \"node --help\"");
      System.exit(EXIT_USAGE);
    }
  }

  private static Options options() {
    Option settings = Option.builder().longOpt(SETTINGS_OPTION).hasArg().argName("FILE").get();
    return new Options().addOption(settings).addOption(null, HELP_OPTION, false, "");
  }

  private static void startNode(Either<List<Problem>, NodeSettings> settings) {
    if (settings.isLeft()) {
      settings.getLeft().forEach(problem -> LOG.write(Event.SETTINGS_REFUSED, problem));
      System.exit(EXIT_SETTINGS_REFUSED);
    }
    Thread.setDefaultUncaughtExceptionHandler((thread, error) -> abort(error));
    Node node = Node.of(settings.get(), MonotonicClock.start(), new Random());
    Runtime.getRuntime().addShutdownHook(new Thread(() -> stop(node), "planned-stop"));
    node.start();
  }

  private static void stop(Node node) {
    node.leave();
    node.stop();
    LogManager.shutdown();
  }

  private static void abort(Throwable error) {
    LOG.write(Event.BROKEN_INVARIANT, error.toString());
    LogManager.shutdown();
    Runtime.getRuntime().halt(EXIT_BROKEN_INVARIANT);
  }
}
