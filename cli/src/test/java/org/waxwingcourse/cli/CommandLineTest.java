package org.waxwingcourse.cli;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.waxwingcourse.standin.platform.PlatformOptions;
import org.waxwingcourse.standin.platform.PlatformStandIn;

/** Verifies the exit code and the message of each command. */
class CommandLineTest {
  @TempDir Path folder;
  private final ByteArrayOutputStream out = new ByteArrayOutputStream();
  private PlatformStandIn platform;

  @BeforeEach
  void start() throws IOException {
    platform = PlatformStandIn.start(PlatformOptions.onPort(0));
    Files.writeString(folder.resolve("one.toml"), "[defaults]\nburst = 10\n");
    Files.writeString(folder.resolve("two.toml"), "[defaults]\nburst = 20\n");
    Files.writeString(folder.resolve("bad.toml"), "[defaults]\nbursts = 20\n");
  }

  @AfterEach
  void stop() {
    platform.stop();
  }

  @ParameterizedTest
  @CsvSource({
    "--help,                        OK,     usage: waxwing COMMAND",
    "apply --help,                  OK,     --reason TEXT",
    "fly,                           USAGE,  command \"fly\" does not exist",
    "check one.toml,                OK,     no problem found",
    "check bad.toml,                FAILED, bad.toml:2:1: unknown name \"bursts\"",
    "check,                         USAGE,  specify either",
    "diff --store STORE two.toml,   OK,     stored revision 0",
    "diff two.toml,                 USAGE,  option --store is missing",
    "apply --store STORE --who a one.toml, USAGE, a change needs a reason",
    "apply --store http://127.0.0.1:1 --who a --reason b one.toml, FAILED, did not answer",
    "job show,                      USAGE,  specify \"list\"",
    "key new,                       OK,     sha256:",
    "explain r1,                    USAGE,  specify one id and --logs",
    "explain r1 --logs none.log,    FAILED, log \"none.log\" cannot be read",
  })
  void reportsResultByExitCodeAndMessage(String commandLine, ExitCode code, String message) {
    assertThat(run(commandLine)).isEqualTo(code);
    assertThat(printed()).contains(message);
  }

  @Test
  void reportsConflictingChangeToSecondOperator() {
    assertThat(run("apply --store STORE --who ada --reason first one.toml")).isEqualTo(ExitCode.OK);
    assertThat(run("apply --store STORE --who bob --reason second --base 0 two.toml"))
        .isEqualTo(ExitCode.LOST_RACE);
    assertThat(printed()).contains("ada came first").contains("(first)");
    assertThat(run("apply --store STORE --who bob --reason again two.toml")).isEqualTo(ExitCode.OK);
    assertThat(run("apply --store STORE --who bob --reason again two.toml")).isEqualTo(ExitCode.OK);
    assertThat(printed()).contains("already applied");
  }

  private ExitCode run(String commandLine) {
    String[] arguments = commandLine.split(" ");
    for (int i = 0; i < arguments.length; i++) {
      arguments[i] = arguments[i].replace("STORE", platform.address().toString());
      if (arguments[i].endsWith(".toml")) {
        arguments[i] = folder.resolve(arguments[i]).toString();
      }
    }
    PrintStream print = new PrintStream(out, true, StandardCharsets.UTF_8);
    return CommandDispatcher.of(WaxwingMain.commands(), new Terminal(print, print)).run(arguments);
  }

  private String printed() {
    return out.toString(StandardCharsets.UTF_8);
  }
}
