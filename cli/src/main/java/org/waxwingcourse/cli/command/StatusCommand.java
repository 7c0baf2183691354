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
import org.waxwingcourse.cli.CommonOptions;
import org.waxwingcourse.cli.ExitCode;
import org.waxwingcourse.cli.Terminal;
import org.waxwingcourse.http.HttpCaller;
import org.waxwingcourse.http.HttpRequest;
import org.waxwingcourse.model.time.Deadline;

/** {@code waxwing status}: prints the status document of a node. */
public final class StatusCommand implements Command {
  private static final Duration CALL_TIMEOUT = Duration.ofSeconds(5);
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
    return "show the active configuration and the state of every host as known to one node";
  }

  @Override
  public Options options() {
    return new Options().addOption(CommonOptions.nodeOption());
  }

  @Override
  public ExitCode run(CommandLine line, List<String> arguments, Terminal terminal) {
    return CommonOptions.nodeAddress(line)
        .fold(
            error -> terminal.fail(ExitCode.USAGE, "%s", error),
            node ->
                readStatus(node)
                    .fold(
                        errorMessage -> terminal.fail(ExitCode.FAILED, "%s", errorMessage),
                        status -> printStatus(status, terminal)));
  }

  private static Either<String, JsonNode> readStatus(URI node) {
    InstantSource clock = InstantSource.system();
    try (HttpCaller http = HttpCaller.of(clock, 1)) {
      http.start();
      URI address = node.resolve("/status");
      return http.call(HttpRequest.get(address, Deadline.after(clock, CALL_TIMEOUT)))
          .join()
          .mapLeft(failure -> node + " did not answer: " + failure.message())
          .flatMap(answer -> parseStatus(answer.text()));
    }
  }

  private static Either<String, JsonNode> parseStatus(String text) {
    try {
      return Either.right(MAPPER.readTree(text));
    } catch (JsonProcessingException e) {
      return Either.left("the node's status is not JSON: " + e.getOriginalMessage());
    }
  }

  private static ExitCode printStatus(JsonNode status, Terminal terminal) {
    terminal.print("%s", status.toPrettyString());
    return ExitCode.OK;
  }
}
