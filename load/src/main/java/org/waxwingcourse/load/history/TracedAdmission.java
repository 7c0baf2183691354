package org.waxwingcourse.load.history;

import io.vavr.control.Either;
import org.waxwingcourse.model.id.HostId;
import org.waxwingcourse.model.id.OrganisationId;

/**
 * One line of a node's trace: {@code
 * asked_ms,answered_ms,host,organisation,online|batch,admitted|refused}.
 *
 * @param askedMillis when the admission was asked for, milliseconds since the epoch
 * @param answeredMillis when it was answered
 * @param host the host that was asked
 * @param organisation whose rate
 * @param admitted whether the request was admitted
 */
public record TracedAdmission(
    long askedMillis,
    long answeredMillis,
    HostId host,
    OrganisationId organisation,
    boolean admitted) {
  private static final int FIELDS = 6;

  /** Reads one line; the left side says what is wrong with it. */
  public static Either<String, TracedAdmission> parse(String line) {
    String[] fields = line.split(",", -1);
    if (fields.length != FIELDS) {
      return Either.left("line \"" + line + "\" must have " + FIELDS + " fields");
    }
    try {
      return Either.right(
          new TracedAdmission(
              Long.parseLong(fields[0]),
              Long.parseLong(fields[1]),
              HostId.of(fields[2]),
              OrganisationId.of(fields[3]),
              fields[5].equals("admitted")));
    } catch (IllegalArgumentException e) {
      return Either.left("line \"" + line + "\" cannot be read: " + e.getMessage());
    }
  }
}
