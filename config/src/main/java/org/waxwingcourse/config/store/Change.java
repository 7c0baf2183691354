package org.waxwingcourse.config.store;

import io.vavr.control.Either;
import java.time.Instant;

/**
 * Who changes the configuration, and why.
 *
 * @param operation identifies this change; the same on every attempt to write it
 * @param who the operator
 * @param at the operator's wall clock
 * @param reason why
 */
public record Change(String operation, String who, Instant at, String reason) {
  /** Returns the change, or why it is refused: each must name its operator and its reason. */
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
