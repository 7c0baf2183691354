package org.waxwingcourse.cli.report;

import java.util.Arrays;
import java.util.Optional;

/** The share of good events that each objective asks for. */
public enum Target {
  /** Time to the first token. */
  FIRST_TOKEN("first_token", 0.95),
  /** Time between tokens. */
  BETWEEN_TOKENS("between_tokens", 0.95),
  /** No refusal inside the rate. */
  ADMISSION("admission", 0.999),
  /** Batch items done by their deadline. */
  BATCH_DEADLINE("batch_deadline", 0.99);

  private final String objective;
  private final double goodShare;

  Target(String objective, double goodShare) {
    this.objective = objective;
    this.goodShare = goodShare;
  }

  /** Returns the wire name of the objective. */
  public String objective() {
    return objective;
  }

  /** Returns the share of good events asked for. */
  public double goodShare() {
    return goodShare;
  }

  /** Returns the target of an objective by its wire name. */
  public static Optional<Target> of(String objective) {
    return Arrays.stream(values()).filter(t -> t.objective.equals(objective)).findFirst();
  }

  /** Returns the burn rate of a count: one uses up the error budget exactly in its period. */
  double burn(LevelCount count) {
    if (count.total() == 0) {
      return 0;
    }
    double bad = count.total() - count.good();
    return bad / count.total() / (1 - goodShare);
  }
}
