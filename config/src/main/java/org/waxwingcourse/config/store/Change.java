package org.waxwingcourse.config.store;

import io.vavr.control.Either;
import java.time.Instant;

/**
 * Identifies a change of the configuration, its author and its reason.
 *
 * @param operation the operation id, the same on every attempt to write this change
 * @param who the operator's name
 * @param at the time of the change, by the wall clock of the operator's machine
 * @param reason the reason for the change
 */
public record Change(String operation, String who, Instant at, String reason) {
  /** Returns the change, or an error message if the operation, operator or reason is blank. */
  public static Either<String, Change> of(String operation, String who, Instant at, String reason) {
    if (operation.isBlank()) {
      return Either.left("a change needs an operation id");
    }
    if (who.isBlank()) {
      return Either.left("a change needs the operator's name");
    }
    if (reason.isBlank()) {
      return Either.left("a change needs a reason");
    }
    return Either.right(new Change(operation, who, at, reason));
  }
}
