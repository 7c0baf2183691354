package org.waxwingcourse.model.fleet;

/**
 * A declared deviation from a default for one organisation or engine, which has been applied to it.
 *
 * @param target the organisation or engine, as {@code organisation "x"} or {@code engine "x"}
 * @param setting the name of the setting that deviates
 * @param value the value in its text form
 * @param reason the reason for the exception, not blank
 */
public record DeclaredException(String target, String setting, String value, String reason) {
  /** Rejects an exception without a reason. */
  public DeclaredException {
    if (reason.isBlank()) {
      throw new IllegalArgumentException("exception for " + target + " has no reason");
    }
  }
}
