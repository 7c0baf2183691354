package org.waxwingcourse.cli.command;

import io.vavr.collection.List;
import io.vavr.control.Either;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Collectors;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;
import org.waxwingcourse.cli.Command;
import org.waxwingcourse.cli.CommonOptions;
import org.waxwingcourse.cli.ExitCode;
import org.waxwingcourse.cli.Terminal;
import org.waxwingcourse.config.declaration.DeclarationReader;
import org.waxwingcourse.config.toml.Problem;
import org.waxwingcourse.load.history.RateBound;
import org.waxwingcourse.load.history.TracedAdmission;
import org.waxwingcourse.model.fleet.FleetConfiguration;
import org.waxwingcourse.model.fleet.Organisation;
import org.waxwingcourse.model.id.OrganisationId;

/**
 * {@code waxwing verify}: verifies the recorded admissions of all hosts against the declared rates.
 */
public final class VerifyCommand implements Command {
  private static final String DECLARATIONS = "declarations";

  @Override
  public String name() {
    return "verify";
  }

  @Override
  public String arguments() {
    return "TRACE...";
  }

  @Override
  public String summary() {
    return "verify recorded admissions of all hosts against the declared rates";
  }

  @Override
  public Options options() {
    return new Options()
        .addOption(
            CommonOptions.withArgument(
                DECLARATIONS, "FILE", "declarations that were active during the recording"));
  }

  @Override
  public ExitCode run(CommandLine line, List<String> arguments, Terminal terminal) {
    if (!line.hasOption(DECLARATIONS) || arguments.isEmpty()) {
      return terminal.fail(ExitCode.USAGE, "specify --declarations and the traces of all hosts");
    }
    Either<java.util.List<Problem>, FleetConfiguration> fleet =
        DeclarationReader.read(Path.of(line.getOptionValue(DECLARATIONS)));
    if (fleet.isLeft()) {
      fleet.getLeft().forEach(p -> terminal.err().println(p));
      return ExitCode.FAILED;
    }
    Either<String, List<TracedAdmission>> admissionHistory = readTraces(arguments);
    return admissionHistory.fold(
        error -> terminal.fail(ExitCode.FAILED, "%s", error),
        admissions -> verifyRates(admissions, fleet.get(), terminal));
  }

  private static Either<String, List<TracedAdmission>> readTraces(List<String> files) {
    return Either.sequenceRight(files.map(VerifyCommand::readTrace))
        .map(parts -> parts.flatMap(p -> p).toList());
  }

  private static Either<String, List<TracedAdmission>> readTrace(String file) {
    try {
      return Either.sequenceRight(
              List.ofAll(Files.readAllLines(Path.of(file))).map(TracedAdmission::parse))
          .map(List::ofAll)
          .mapLeft(error -> file + ": " + error);
    } catch (IOException e) {
      return Either.left("trace \"" + file + "\" cannot be read: " + e.getMessage());
    }
  }

  private static ExitCode verifyRates(
      List<TracedAdmission> admissionHistory, FleetConfiguration fleet, Terminal terminal) {
    Map<OrganisationId, java.util.List<TracedAdmission>> byOrganisation =
        admissionHistory
            .toJavaStream()
            .collect(
                Collectors.groupingBy(
                    TracedAdmission::organisation, TreeMap::new, Collectors.toList()));
    boolean withinRates = true;
    for (Map.Entry<OrganisationId, java.util.List<TracedAdmission>> e : byOrganisation.entrySet()) {
      Organisation declared = fleet.organisations().get(e.getKey());
      if (declared == null) {
        return terminal.fail(
            ExitCode.FAILED, "organisation \"%s\" is not declared", e.getKey().value());
      }
      withinRates &= checkRate(declared, e.getValue(), terminal);
    }
    return withinRates ? ExitCode.OK : terminal.fail(ExitCode.FAILED, "a rate was exceeded");
  }

  private static boolean checkRate(
      Organisation organisation,
      java.util.List<TracedAdmission> admissionHistory,
      Terminal terminal) {
    double excess = RateBound.excess(admissionHistory, organisation.rate());
    long admitted = admissionHistory.stream().filter(TracedAdmission::admitted).count();
    terminal.print(
        "%-20s admitted %6d refused %6d, worst window %+.1f requests against the bound",
        organisation.id(), admitted, admissionHistory.size() - admitted, excess);
    return excess <= 0;
  }
}
