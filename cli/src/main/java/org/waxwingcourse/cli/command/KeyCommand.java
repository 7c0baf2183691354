package org.waxwingcourse.cli.command;

import io.vavr.collection.List;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.nio.charset.StandardCharsets;
import java.security.SecureRandom;
import java.util.Base64;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;
import org.waxwingcourse.cli.Command;
import org.waxwingcourse.cli.ExitCode;
import org.waxwingcourse.cli.Terminal;
import org.waxwingcourse.model.id.KeyHash;

/** {@code waxwing key}: creates an API key or computes the hash of a key for the declarations. */
public final class KeyCommand implements Command {
  private static final int KEY_BYTES = 24;

  @Override
  public String name() {
    return "key";
  }

  @Override
  public String arguments() {
    return "new|hash";
  }

  @Override
  public String summary() {
    return "create a key and its hash, or hash the key read from standard input";
  }

  @Override
  public Options options() {
    return new Options();
  }

  @Override
  public ExitCode run(CommandLine line, List<String> arguments, Terminal terminal) {
    String action = arguments.headOption().getOrElse("");
    if (action.equals("new")) {
      byte[] random = new byte[KEY_BYTES];
      new SecureRandom().nextBytes(random);
      String key = "wx-" + Base64.getUrlEncoder().withoutPadding().encodeToString(random);
      terminal.print("key  %s", key);
      return printHash(key, terminal);
    }
    if (action.equals("hash")) {
      return hashInput(terminal);
    }
    return terminal.fail(ExitCode.USAGE, "specify \"new\" or \"hash\"");
  }

  private static ExitCode hashInput(Terminal terminal) {
    try {
      BufferedReader in =
          new BufferedReader(new InputStreamReader(System.in, StandardCharsets.UTF_8));
      String key = in.readLine();
      return key == null || key.isBlank()
          ? terminal.fail(ExitCode.FAILED, "standard input contains no key")
          : printHash(key.strip(), terminal);
    } catch (IOException e) {
      return terminal.fail(ExitCode.FAILED, "standard input cannot be read: %s", e.getMessage());
    }
  }

  private static ExitCode printHash(String key, Terminal terminal) {
    terminal.print("hash sha256:%s", KeyHash.ofKey(key).hex());
    return ExitCode.OK;
  }
}
