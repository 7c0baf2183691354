package org.waxwingcourse.node.metrics;

/** The service-level objectives. Metric names contain the wire name. */
public enum Objective {
  /** The first token is sent within {@code first_token_ms}. */
  FIRST_TOKEN("first_token"),
  /** Each further token is sent within {@code between_tokens_ms} of the previous one. */
  BETWEEN_TOKENS("between_tokens"),
  /** No request within its organisation's rate is rejected. */
  ADMISSION("admission"),
  /** Batch items are completed by their job's deadline. */
  BATCH_DEADLINE("batch_deadline");

  private final String wireName;

  Objective(String wireName) {
    this.wireName = wireName;
  }

  /** Returns the name that is used in metric names. */
  public String wireName() {
    return wireName;
  }
}
