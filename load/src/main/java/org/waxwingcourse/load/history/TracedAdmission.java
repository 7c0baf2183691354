package org.waxwingcourse.load.history;

import io.vavr.control.Either;
import org.waxwingcourse.model.id.HostId;
import org.waxwingcourse.model.id.OrganisationId;

/**
 * One line of a node's admission trace: {@code
 * asked_ms,answered_ms,host,organisation,online|batch,admitted|refused}.
 *
 * @param askedMillis when the admission was requested, milliseconds since the epoch
 * @param answeredMillis when the decision was returned, milliseconds since the epoch
 * @param host the host that was asked for the admission
 * @param organisation the organisation whose rate limit applies
 * @param admitted whether the request was admitted
 */
public record TracedAdmission(
    long askedMillis,
    long answeredMillis,
    HostId host,
    OrganisationId organisation,
    boolean admitted) {
  private static final int FIELD_COUNT = 6;

  /** Parses one line. The left side describes why the line is malformed. */
  public static Either<String, TracedAdmission> parse(String line) {
    String[] fields = line.split(",", -1);
    if (fields.length != FIELD_COUNT) {
      return Either.left("line \"" + line + "\" must have " + FIELD_COUNT + " fields");
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
      return Either.left("line \"" + line + "\" cannot be parsed: " + e.getMessage());
    }
  }
}
