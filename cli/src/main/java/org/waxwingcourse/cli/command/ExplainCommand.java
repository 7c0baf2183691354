package org.waxwingcourse.cli.command;

import io.vavr.collection.List;
import io.vavr.control.Either;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;
import org.waxwingcourse.cli.Command;
import org.waxwingcourse.cli.CommonOptions;
import org.waxwingcourse.cli.ExitCode;
import org.waxwingcourse.cli.Terminal;
import org.waxwingcourse.cli.explain.Explanation;
import org.waxwingcourse.cli.explain.LogLine;

/** {@code waxwing explain}: shows the log lines of all hosts about one request or job. */
public final class ExplainCommand implements Command {
  private static final String LOGS = "logs";

  @Override
  public String name() {
    return "explain";
  }

  @Override
  public String arguments() {
    return "ID";
  }

  @Override
  public String summary() {
    return "show the log lines of a request or job in order and the line that decided its outcome";
  }

  @Override
  public Options options() {
    Options options = new Options();
    org.apache.commons.cli.Option logs =
        CommonOptions.withArgument(LOGS, "FILE", "log files, one for each process");
    logs.setArgs(org.apache.commons.cli.Option.UNLIMITED_VALUES);
    return options.addOption(logs);
  }

  @Override
  public ExitCode run(CommandLine line, List<String> arguments, Terminal terminal) {
    if (!line.hasOption(LOGS) || arguments.size() != 1) {
      return terminal.fail(ExitCode.USAGE, "specify one id and --logs with the files of all hosts");
    }
    String id = arguments.head();
    return readLogs(List.of(line.getOptionValues(LOGS)))
        .fold(
            error -> terminal.fail(ExitCode.FAILED, "%s", error),
            lines -> printExplanation(id, Explanation.of(id, lines), terminal));
  }

  private static Either<String, List<LogLine>> readLogs(List<String> files) {
    return Either.sequenceRight(files.map(ExplainCommand::readLog))
        .map(parts -> parts.flatMap(p -> p).toList());
  }

  private static Either<String, List<LogLine>> readLog(String file) {
    Path path = Path.of(file);
    try {
      String process = path.getFileName().toString();
      return Either.right(
          List.ofAll(Files.readAllLines(path)).flatMap(l -> LogLine.parse(process, l)));
    } catch (IOException e) {
      return Either.left("log \"" + file + "\" cannot be read: " + e.getMessage());
    }
  }

  private static ExitCode printExplanation(String id, Explanation explanation, Terminal terminal) {
    if (explanation.ownLines().isEmpty()) {
      return terminal.fail(ExitCode.FAILED, "no line of these logs contains \"%s\"", id);
    }
    explanation.ownLines().forEach(l -> printLine(l, terminal));
    if (!explanation.relatedLines().isEmpty()) {
      terminal.print("");
      terminal.print("related events:");
      explanation.relatedLines().forEach(l -> printLine(l, terminal));
    }
    terminal.print("");
    explanation
        .decidingLine()
        .peek(l -> terminal.print("decided by W%d in %s: %s", l.event(), l.process(), l.text()))
        .onEmpty(() -> terminal.print("no line of these logs states the outcome"));
    return ExitCode.OK;
  }

  private static void printLine(LogLine line, Terminal terminal) {
    terminal.print("%s  %-24s W%d %s", line.at(), line.process(), line.event(), line.text());
  }
}
