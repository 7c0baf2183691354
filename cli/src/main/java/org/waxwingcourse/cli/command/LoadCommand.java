package org.waxwingcourse.cli.command;

import io.vavr.collection.List;
import java.net.URI;
import java.nio.file.Path;
import java.time.Duration;
import java.util.Arrays;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;
import org.waxwingcourse.cli.Command;
import org.waxwingcourse.cli.CommonOptions;
import org.waxwingcourse.cli.ExitCode;
import org.waxwingcourse.cli.Terminal;
import org.waxwingcourse.load.LoadTool;
import org.waxwingcourse.load.plan.LoadPlan;
import org.waxwingcourse.load.plan.LoadPlanReader;
import org.waxwingcourse.load.report.LoadReport;

/** {@code waxwing load}: sends the requests of a load plan to a fleet and prints the results. */
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
    return "send the requests of a load plan to a test fleet and print the results";
  }

  @Override
  public Options options() {
    return new Options()
        .addOption(null, JSON, false, "print JSON instead of a table")
        .addOption(null, NO_BATCH, false, "omit the batch jobs of the plan")
        .addOption(
            CommonOptions.withArgument(SECONDS, "N", "duration that replaces that of the plan"))
        .addOption(CommonOptions.withArgument(SEED, "N", "seed that replaces that of the plan"))
        .addOption(
            CommonOptions.withArgument(
                HOST, "URL", "host that replaces those of the plan; may be repeated"));
  }

  @Override
  public ExitCode run(CommandLine line, List<String> arguments, Terminal terminal) {
    if (arguments.size() != 1) {
      return terminal.fail(ExitCode.USAGE, "specify one plan; see \"waxwing load --help\"");
    }
    return LoadPlanReader.read(Path.of(arguments.head()))
        .fold(
            problems -> terminal.fail(ExitCode.FAILED, "%s", List.ofAll(problems).mkString("\n")),
            plan -> run(line, plan, terminal));
  }

  private static ExitCode run(CommandLine line, LoadPlan plan, Terminal terminal) {
    try {
      LoadReport report = LoadTool.run(applyOverrides(line, plan));
      terminal.print("%s", line.hasOption(JSON) ? report.json() : report.table());
      return ExitCode.OK;
    } catch (IllegalArgumentException e) {
      return terminal.fail(ExitCode.USAGE, "%s", e.getMessage());
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return terminal.fail(ExitCode.FAILED, "interrupted");
    }
  }

  private static LoadPlan applyOverrides(CommandLine line, LoadPlan plan) {
    String seconds = line.getOptionValue(SECONDS, String.valueOf(plan.duration().toSeconds()));
    String seed = line.getOptionValue(SEED, String.valueOf(plan.seed()));
    LoadPlan resizedPlan =
        plan.with(Duration.ofSeconds(Long.parseLong(seconds)), Long.parseLong(seed));
    LoadPlan selectedPlan = line.hasOption(NO_BATCH) ? resizedPlan.withoutBatches() : resizedPlan;
    if (!line.hasOption(HOST)) {
      return selectedPlan;
    }
    return selectedPlan.withHosts(
        Arrays.stream(line.getOptionValues(HOST)).map(URI::create).toList());
  }
}
