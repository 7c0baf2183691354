package org.waxwingcourse.cli.command;

import io.vavr.collection.List;
import io.vavr.control.Either;
import java.nio.file.Path;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;
import org.waxwingcourse.cli.Command;
import org.waxwingcourse.cli.CommonOptions;
import org.waxwingcourse.cli.ExitCode;
import org.waxwingcourse.cli.Terminal;
import org.waxwingcourse.config.declaration.DeclarationReader;
import org.waxwingcourse.config.settings.NodeSettingsReader;
import org.waxwingcourse.config.toml.Problem;

/** {@code waxwing check}: validates a declarations file or a node's settings file. */
public final class CheckCommand implements Command {
  private static final String SETTINGS = "settings";

  @Override
  public String name() {
    return "check";
  }

  @Override
  public String arguments() {
    return "[DECLARATIONS]";
  }

  @Override
  public String summary() {
    return "validate declarations or a node's settings without changing anything";
  }

  @Override
  public Options options() {
    return new Options()
        .addOption(CommonOptions.withArgument(SETTINGS, "FILE", "validate a node's settings"));
  }

  @Override
  public ExitCode run(CommandLine line, List<String> arguments, Terminal terminal) {
    if (line.hasOption(SETTINGS) == arguments.nonEmpty()) {
      return terminal.fail(ExitCode.USAGE, "specify either a declarations file or --settings");
    }
    if (line.hasOption(SETTINGS)) {
      String file = line.getOptionValue(SETTINGS);
      return printResult(NodeSettingsReader.read(Path.of(file)), file, terminal);
    }
    String file = arguments.head();
    return printResult(DeclarationReader.read(Path.of(file)), file, terminal);
  }

  private static ExitCode printResult(
      Either<java.util.List<Problem>, ?> result, String file, Terminal terminal) {
    if (result.isRight()) {
      terminal.print("%s: no problem found", file);
      return ExitCode.OK;
    }
    result.getLeft().forEach(p -> terminal.err().println(p));
    return ExitCode.FAILED;
  }
}
