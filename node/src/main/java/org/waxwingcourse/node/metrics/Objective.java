package org.waxwingcourse.node.metrics;

/** The service-level objectives; the wire name stands in metric names. */
public enum Objective {
  /** First token within {@code first_token_ms}. */
  FIRST_TOKEN("first_token"),
  /** Each further token within {@code between_tokens_ms}. */
  BETWEEN_TOKENS("between_tokens"),
  /** No refusal of a request inside its organisation's rate. */
  ADMISSION("admission"),
  /** Batch items done by their job's deadline. */
  BATCH_DEADLINE("batch_deadline");

  private final String wireName;

  Objective(String wireName) {
    this.wireName = wireName;
  }

  /** Returns the name in metrics. */
  public String wireName() {
    return wireName;
  }
}
