package org.waxwingcourse.fleet.job;

import io.vavr.control.Option;
import java.nio.charset.StandardCharsets;
import org.waxwingcourse.model.id.HostId;
import org.waxwingcourse.wire.fleet.JobRecord;

/**
 * Identifies the process that runs a job.
 *
 * @param host its host
 * @param boot number of the process
 */
public record RunnerName(HostId host, long boot) {
  private static final char SEPARATOR = '@';

  /** Returns whether this process is the runner named in a record. */
  boolean isRunnerOf(JobRecord record) {
    return record.getRunner().equals(host.value()) && record.getRunnerBoot() == boot;
  }

  byte[] encode() {
    return (host.value() + SEPARATOR + boot).getBytes(StandardCharsets.UTF_8);
  }

  static Option<RunnerName> decode(String text) {
    int separator = text.lastIndexOf(SEPARATOR);
    try {
      return separator <= 0
          ? Option.none()
          : Option.some(
              new RunnerName(
                  HostId.of(text.substring(0, separator)),
                  Long.parseLong(text.substring(separator + 1))));
    } catch (NumberFormatException e) {
      return Option.none();
    }
  }
}
