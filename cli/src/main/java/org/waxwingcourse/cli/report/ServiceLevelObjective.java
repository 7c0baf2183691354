package org.waxwingcourse.cli.report;

import java.util.Arrays;
import java.util.Optional;

/** The service-level objectives, each with the required ratio of good events. */
public enum ServiceLevelObjective {
  /** Time to the first token. */
  FIRST_TOKEN("first_token", 0.95),
  /** Time between tokens. */
  BETWEEN_TOKENS("between_tokens", 0.95),
  /** No rejection of a request within the rate of its organisation. */
  ADMISSION("admission", 0.999),
  /** Completion of batch items by their deadline. */
  BATCH_DEADLINE("batch_deadline", 0.99);

  private final String wireName;
  private final double targetRatio;

  ServiceLevelObjective(String wireName, double targetRatio) {
    this.wireName = wireName;
    this.targetRatio = targetRatio;
  }

  /** Returns the name of the objective in metrics. */
  public String wireName() {
    return wireName;
  }

  /** Returns the required ratio of good events to all events. */
  public double targetRatio() {
    return targetRatio;
  }

  /** Returns the objective with the given name in metrics, or empty if there is none. */
  public static Optional<ServiceLevelObjective> of(String wireName) {
    return Arrays.stream(values()).filter(t -> t.wireName.equals(wireName)).findFirst();
  }

  /** Returns the burn rate of a count; at a rate of 1 the error budget is consumed exactly. */
  double burnRate(EventCount count) {
    if (count.total() == 0) {
      return 0;
    }
    double bad = count.total() - count.good();
    return bad / count.total() / (1 - targetRatio);
  }
}
