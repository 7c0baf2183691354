package org.waxwingcourse.cli.command;

import io.vavr.collection.List;
import java.net.URI;
import java.nio.file.Path;
import java.time.Duration;
import java.util.Arrays;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;
import org.waxwingcourse.cli.Command;
import org.waxwingcourse.cli.ExitCode;
import org.waxwingcourse.cli.Flags;
import org.waxwingcourse.cli.Terminal;
import org.waxwingcourse.load.LoadTool;
import org.waxwingcourse.load.plan.LoadPlan;
import org.waxwingcourse.load.plan.LoadPlanReader;
import org.waxwingcourse.load.report.LoadReport;

/** {@code waxwing load}: sends a plan's requests to a fleet and prints what callers saw. */
public final class LoadCommand implements Command {
  private static final String JSON = "json";
  private static final String SECONDS = "seconds";
  private static final String SEED = "seed";
  private static final String HOST = "host";
  private static final String NO_BATCH = "no-batch";

  @Override
  public String name() {
    return "load";
  }

  @Override
  public String arguments() {
    return "PLAN.toml";
  }

  @Override
  public String summary() {
    return "send a plan's requests to a test fleet and print what callers saw";
  }

  @Override
  public Options options() {
    return new Options()
        .addOption(null, JSON, false, "print JSON in place of a table")
        .addOption(null, NO_BATCH, false, "leave the plan's batch jobs out")
        .addOption(Flags.valued(SECONDS, "N", "length in place of the plan's"))
        .addOption(Flags.valued(SEED, "N", "seed in place of the plan's"))
        .addOption(Flags.valued(HOST, "URL", "host in place of the plan's; may be given again"));
  }

  @Override
  public ExitCode run(CommandLine line, List<String> arguments, Terminal terminal) {
    if (arguments.size() != 1) {
      return terminal.fail(ExitCode.USAGE, "give one plan; see \"waxwing load --help\"");
    }
    return LoadPlanReader.read(Path.of(arguments.head()))
        .fold(
            problems -> terminal.fail(ExitCode.FAILED, "%s", List.ofAll(problems).mkString("\n")),
            plan -> run(line, plan, terminal));
  }

  private static ExitCode run(CommandLine line, LoadPlan plan, Terminal terminal) {
    try {
      LoadReport report = LoadTool.run(adapted(line, plan));
      terminal.print("%s", line.hasOption(JSON) ? report.json() : report.table());
      return ExitCode.OK;
    } catch (IllegalArgumentException e) {
      return terminal.fail(ExitCode.USAGE, "%s", e.getMessage());
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return terminal.fail(ExitCode.FAILED, "interrupted");
    }
  }

  private static LoadPlan adapted(CommandLine line, LoadPlan plan) {
    String seconds = line.getOptionValue(SECONDS, String.valueOf(plan.duration().toSeconds()));
    String seed = line.getOptionValue(SEED, String.valueOf(plan.seed()));
    LoadPlan sized = plan.with(Duration.ofSeconds(Long.parseLong(seconds)), Long.parseLong(seed));
    LoadPlan chosen = line.hasOption(NO_BATCH) ? sized.withoutBatches() : sized;
    if (!line.hasOption(HOST)) {
      return chosen;
    }
    return chosen.withHosts(Arrays.stream(line.getOptionValues(HOST)).map(URI::create).toList());
  }
}
