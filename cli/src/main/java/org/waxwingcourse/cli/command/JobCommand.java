package org.waxwingcourse.cli.command;

import io.vavr.collection.List;
import io.vavr.control.Either;
import java.time.InstantSource;
import java.util.Random;
import java.util.function.Function;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;
import org.waxwingcourse.batch.job.JobReader;
import org.waxwingcourse.batch.job.Jobs;
import org.waxwingcourse.batch.record.Job;
import org.waxwingcourse.batch.store.Pause;
import org.waxwingcourse.batch.store.StoreCalls;
import org.waxwingcourse.cli.Command;
import org.waxwingcourse.cli.CommonOptions;
import org.waxwingcourse.cli.ExitCode;
import org.waxwingcourse.cli.StoreSession;
import org.waxwingcourse.cli.Terminal;
import org.waxwingcourse.model.fleet.FleetConfiguration;
import org.waxwingcourse.model.fleet.Organisation;
import org.waxwingcourse.model.fleet.Rate;
import org.waxwingcourse.model.id.JobId;
import org.waxwingcourse.model.id.OrganisationId;
import org.waxwingcourse.model.request.Outcome;
import org.waxwingcourse.store.Store;

/** {@code waxwing job}: lists, shows or cancels batch jobs, or explains why a job is late. */
public final class JobCommand implements Command {
  private static final String ACTIONS = "\"list\", \"show\", \"cancel\" or \"why\"";

  @Override
  public String name() {
    return "job";
  }

  @Override
  public String arguments() {
    return "list ORGANISATION | show JOB | cancel JOB | why JOB";
  }

  @Override
  public String summary() {
    return "list batch jobs, show or cancel a job, or explain why it is late";
  }

  @Override
  public Options options() {
    return new Options().addOption(CommonOptions.storeOption());
  }

  @Override
  public ExitCode run(CommandLine line, List<String> arguments, Terminal terminal) {
    if (arguments.size() != 2) {
      return terminal.fail(ExitCode.USAGE, "specify %s and a name", ACTIONS);
    }
    return StoreSession.run(
        line, terminal, store -> run(arguments.get(0), arguments.get(1), store, terminal));
  }

  private static ExitCode run(String action, String name, Store store, Terminal terminal) {
    InstantSource clock = InstantSource.system();
    StoreCalls storeCalls = new StoreCalls(store, clock, new Random(), Pause.parking());
    JobReader reader = new JobReader(new Jobs(storeCalls, clock), clock);
    return switch (action) {
      case "list" ->
          printResult(reader.list(OrganisationId.of(name)), JobCommand::formatJobs, terminal);
      case "show" -> printResult(reader.describe(JobId.of(name)), Function.identity(), terminal);
      case "cancel" -> printResult(reader.cancel(JobId.of(name)), JobCommand::formatJob, terminal);
      case "why" ->
          printResult(explainDelay(reader, JobId.of(name), store), Function.identity(), terminal);
      default -> terminal.fail(ExitCode.USAGE, "\"%s\" is not one of %s", action, ACTIONS);
    };
  }

  private static Either<Outcome, String> explainDelay(JobReader reader, JobId id, Store store) {
    return reader
        .show(id)
        .flatMap(
            job ->
                readRate(store, job.organisation())
                    .mapLeft(message -> (Outcome) new Outcome.Unknown(message))
                    .flatMap(rate -> reader.why(id, rate)));
  }

  private static Either<String, Rate> readRate(Store store, OrganisationId organisation) {
    return StoreSession.readConfiguration(store)
        .flatMap(
            stored ->
                stored
                    .map(FleetConfiguration::organisations)
                    .flatMap(all -> io.vavr.control.Option.of(all.get(organisation)))
                    .map(Organisation::rate)
                    .toEither("organisation \"" + organisation + "\" is not declared"));
  }

  private static <T> ExitCode printResult(
      Either<Outcome, T> answer, Function<T, String> text, Terminal terminal) {
    return answer.fold(
        outcome -> printFailure(outcome, terminal),
        value -> {
          terminal.print("%s", text.apply(value));
          return ExitCode.OK;
        });
  }

  private static ExitCode printFailure(Outcome outcome, Terminal terminal) {
    if (outcome instanceof Outcome.Refused refused) {
      return terminal.fail(ExitCode.FAILED, "%s", refused.refusal().message());
    }
    if (outcome instanceof Outcome.Unknown unknown) {
      return terminal.fail(ExitCode.UNKNOWN, "%s", unknown.message());
    }
    return terminal.fail(ExitCode.FAILED, "%s", outcome);
  }

  private static String formatJobs(java.util.List<Job> jobs) {
    return jobs.isEmpty()
        ? "no jobs"
        : String.join("\n", jobs.stream().map(JobCommand::formatJob).toList());
  }

  private static String formatJob(Job job) {
    return "%s %s due %s".formatted(job.id(), job.state().wireName(), job.due().at());
  }
}
