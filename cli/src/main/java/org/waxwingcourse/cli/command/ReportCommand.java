package org.waxwingcourse.cli.command;

import io.vavr.collection.List;
import io.vavr.control.Either;
import io.vavr.control.Try;
import java.net.URI;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.InstantSource;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;
import org.waxwingcourse.cli.Command;
import org.waxwingcourse.cli.CommonOptions;
import org.waxwingcourse.cli.ExitCode;
import org.waxwingcourse.cli.Terminal;
import org.waxwingcourse.cli.report.BurnPage;
import org.waxwingcourse.cli.report.BurnReport;
import org.waxwingcourse.cli.report.BurnTable;
import org.waxwingcourse.cli.report.MetricsReader;
import org.waxwingcourse.cli.report.Sample;
import org.waxwingcourse.cli.report.SampleFile;
import org.waxwingcourse.cli.report.SampleHistory;
import org.waxwingcourse.http.HttpCaller;

/**
 * {@code waxwing report burn}: samples the counters of nodes and prints error budget burn rates.
 */
public final class ReportCommand implements Command {
  private static final String SAMPLES = "samples";
  private static final String HTML = "html";
  private static final String BURN = "burn";

  @Override
  public String name() {
    return "report";
  }

  @Override
  public String arguments() {
    return BURN;
  }

  @Override
  public String summary() {
    return "sample the nodes and show burn rates by objective and organisation";
  }

  @Override
  public Options options() {
    return new Options()
        .addOption(CommonOptions.nodeOption())
        .addOption(
            CommonOptions.withArgument(
                SAMPLES, "FILE", "file of stored samples, to which new samples are appended"))
        .addOption(CommonOptions.withArgument(HTML, "FILE", "also write an HTML page with plots"));
  }

  @Override
  public ExitCode run(CommandLine line, List<String> arguments, Terminal terminal) {
    if (!arguments.equals(List.of(BURN))) {
      return terminal.fail(ExitCode.USAGE, "specify the name of the report, \"%s\"", BURN);
    }
    return CommonOptions.nodeAddresses(line)
        .fold(
            error -> terminal.fail(ExitCode.USAGE, "%s", error),
            nodes ->
                addStoredSamples(line, sampleNodes(nodes, terminal))
                    .fold(
                        errorMessage -> terminal.fail(ExitCode.FAILED, "%s", errorMessage),
                        samples -> printReport(line, samples, terminal)));
  }

  private static List<Sample> sampleNodes(List<URI> nodes, Terminal terminal) {
    InstantSource clock = InstantSource.system();
    long now = clock.millis();
    try (HttpCaller http = HttpCaller.of(clock, 1)) {
      http.start();
      MetricsReader reader = MetricsReader.of(http, clock);
      return nodes.flatMap(
          node ->
              reader
                  .sampleNode(node, now)
                  .peekLeft(errorMessage -> terminal.err().println("waxwing: " + errorMessage)));
    }
  }

  private static Either<String, List<Sample>> addStoredSamples(
      CommandLine line, List<Sample> newSamples) {
    if (!line.hasOption(SAMPLES)) {
      return Either.right(newSamples);
    }
    SampleFile file = SampleFile.at(Path.of(line.getOptionValue(SAMPLES)));
    return file.append(newSamples.asJava()).flatMap(added -> file.read()).map(List::ofAll);
  }

  private static ExitCode printReport(CommandLine line, List<Sample> samples, Terminal terminal) {
    if (samples.isEmpty()) {
      return terminal.fail(ExitCode.FAILED, "no node returned a sample");
    }
    SampleHistory history = SampleHistory.of(samples.asJava());
    BurnReport report = BurnReport.of(history);
    terminal.print("%s", BurnTable.of(report));
    if (!line.hasOption(HTML)) {
      return ExitCode.OK;
    }
    Path page = Path.of(line.getOptionValue(HTML));
    return Try.of(() -> Files.writeString(page, BurnPage.of(history, report)))
        .fold(
            e -> terminal.fail(ExitCode.FAILED, "%s cannot be written: %s", page, e.getMessage()),
            written -> ExitCode.OK);
  }
}
