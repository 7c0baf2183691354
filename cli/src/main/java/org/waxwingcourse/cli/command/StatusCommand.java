package org.waxwingcourse.cli.command;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.vavr.collection.List;
import io.vavr.control.Either;
import java.net.URI;
import java.time.Duration;
import java.time.InstantSource;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;
import org.waxwingcourse.cli.Command;
import org.waxwingcourse.cli.ExitCode;
import org.waxwingcourse.cli.Flags;
import org.waxwingcourse.cli.Terminal;
import org.waxwingcourse.http.HttpCaller;
import org.waxwingcourse.http.HttpRequest;
import org.waxwingcourse.model.time.Deadline;

/** {@code waxwing status}: names the version in force and each host with its lag. */
public final class StatusCommand implements Command {
  private static final Duration PATIENCE = Duration.ofSeconds(5);
  private static final ObjectMapper MAPPER = new ObjectMapper();

  @Override
  public String name() {
    return "status";
  }

  @Override
  public String arguments() {
    return "";
  }

  @Override
  public String summary() {
    return "show the configuration in force and what one node knows of every host";
  }

  @Override
  public Options options() {
    return new Options().addOption(Flags.node());
  }

  @Override
  public ExitCode run(CommandLine line, List<String> arguments, Terminal terminal) {
    return Flags.node(line)
        .fold(
            wrong -> terminal.fail(ExitCode.USAGE, "%s", wrong),
            node ->
                read(node)
                    .fold(
                        problem -> terminal.fail(ExitCode.FAILED, "%s", problem),
                        status -> print(status, terminal)));
  }

  private static Either<String, JsonNode> read(URI node) {
    InstantSource clock = InstantSource.system();
    try (HttpCaller http = HttpCaller.of(clock, 1)) {
      http.start();
      URI address = node.resolve("/status");
      return http.call(HttpRequest.get(address, Deadline.after(clock, PATIENCE)))
          .join()
          .mapLeft(failure -> node + " did not answer: " + failure.message())
          .flatMap(answer -> parse(answer.text()));
    }
  }

  private static Either<String, JsonNode> parse(String text) {
    try {
      return Either.right(MAPPER.readTree(text));
    } catch (JsonProcessingException e) {
      return Either.left("the node's status is not JSON: " + e.getOriginalMessage());
    }
  }

  private static ExitCode print(JsonNode status, Terminal terminal) {
    terminal.print("%s", status.toPrettyString());
    return ExitCode.OK;
  }
}
