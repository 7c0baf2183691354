package org.waxwingcourse.model.fleet;

/**
 * A departure from a default for one organisation or one engine, already applied to it.
 *
 * @param target the organisation or engine, as {@code organisation "x"} or {@code engine "x"}
 * @param setting the name of the setting that departs
 * @param value the value in its text form
 * @param reason why; never empty
 */
public record DeclaredException(String target, String setting, String value, String reason) {
  /** Refuses an exception without a reason. */
  public DeclaredException {
    if (reason.isBlank()) {
      throw new IllegalArgumentException("exception for " + target + " has no reason");
    }
  }
}
