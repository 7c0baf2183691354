package org.waxwingcourse.policy.route;

import io.vavr.control.Option;
import java.util.List;
import java.util.random.RandomGenerator;
import org.waxwingcourse.model.id.UpstreamId;

/**
 * Chooses the engine with the least load, where a cached prefix counts as a part of a slot less.
 * The bonus is small against a full engine, so a popular prefix spreads once its engine is busy.
 * Among equals the choice is random, so that hosts with the same digest do not all take one.
 */
public final class EnginePicker {
  private static final double PREFIX_BONUS = 0.25;
  private static final double TIE = 0.02;

  private final PrefixIndex prefixes;
  private final RandomGenerator random;

  private EnginePicker(PrefixIndex prefixes, RandomGenerator random) {
    this.prefixes = prefixes;
    this.random = random;
  }

  /** Returns a picker over the prefixes that were routed before. */
  public static EnginePicker of(PrefixIndex prefixes, RandomGenerator random) {
    return new EnginePicker(prefixes, random);
  }

  /** Returns the engine for a prompt and remembers the choice, none if there are no engines. */
  public Option<UpstreamId> pick(List<EngineView> engines, String prompt) {
    Option<UpstreamId> best = Option.none();
    double bestScore = Double.MAX_VALUE;
    for (EngineView engine : engines) {
      double cached = PREFIX_BONUS * prefixes.share(prompt, engine.id());
      double score = engine.load() - cached + TIE * random.nextDouble();
      if (score < bestScore) {
        bestScore = score;
        best = Option.some(engine.id());
      }
    }
    best.forEach(id -> prefixes.routed(prompt, id));
    return best;
  }
}
