package org.waxwingcourse.fleet.engine;

import io.vavr.control.Option;
import java.time.Duration;

/**
 * What restricts the use of an engine beyond its own limit.
 *
 * @param statedCold how much longer the engine stays cold, as its entry said when it was written;
 *     zero if it is not cold
 * @param evacuated whether operators have ordered the evacuation of its data centre
 * @param cold until when it counts as cold, none if its service does not say what a cold engine
 *     takes
 */
public record EngineCondition(Duration statedCold, boolean evacuated, Option<ColdState> cold) {
  /** The condition of an engine that is neither cold nor evacuated. */
  public static final EngineCondition NORMAL =
      new EngineCondition(Duration.ZERO, false, Option.none());

  /** Returns the condition of an engine whose entry states that it stays cold for this long. */
  public static EngineCondition statedCold(Duration remaining) {
    return remaining.isZero() ? NORMAL : new EngineCondition(remaining, false, Option.none());
  }

  EngineCondition asEvacuated() {
    return new EngineCondition(statedCold, true, cold);
  }

  /** Returns this condition with the given time until which the engine counts as cold. */
  public EngineCondition withCold(ColdState state) {
    return new EngineCondition(statedCold, evacuated, Option.some(state));
  }
}
