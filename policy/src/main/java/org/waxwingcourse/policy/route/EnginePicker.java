package org.waxwingcourse.policy.route;

import io.vavr.control.Option;
import java.util.List;
import java.util.random.RandomGenerator;
import org.waxwingcourse.model.id.UpstreamId;

/**
 * Selects the engine with the least load, reduced by a bonus of a fraction of a slot for a cached
 * prefix. The bonus is small compared with the load of a full engine, so requests with a popular
 * prefix spread to other engines when its engine is busy. Ties are broken at random, so that hosts
 * with the same load digest do not all select the same engine.
 */
public final class EnginePicker {
  private static final double CACHED_PREFIX_BONUS = 0.25;
  private static final double TIE_BREAK_RANGE = 0.02;

  private final PrefixIndex prefixes;
  private final RandomGenerator random;

  private EnginePicker(PrefixIndex prefixes, RandomGenerator random) {
    this.prefixes = prefixes;
    this.random = random;
  }

  /** Returns a picker that uses the given index of routed prefixes. */
  public static EnginePicker of(PrefixIndex prefixes, RandomGenerator random) {
    return new EnginePicker(prefixes, random);
  }

  /**
   * Returns the engine for a prompt and records the choice, or returns none if there are no
   * engines.
   */
  public Option<UpstreamId> pick(List<EngineView> engines, String prompt) {
    Option<UpstreamId> best = Option.none();
    double bestScore = Double.MAX_VALUE;
    for (EngineView engine : engines) {
      double cacheBonus = CACHED_PREFIX_BONUS * prefixes.routedFraction(prompt, engine.id());
      double score = engine.load() - cacheBonus + TIE_BREAK_RANGE * random.nextDouble();
      if (score < bestScore) {
        bestScore = score;
        best = Option.some(engine.id());
      }
    }
    best.forEach(id -> prefixes.recordRouted(prompt, id));
    return best;
  }
}
