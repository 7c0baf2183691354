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
 * @param region the region of its data centre, none if it is not known
 */
public record EngineCondition(
    Duration statedCold, boolean evacuated, Option<ColdState> cold, Option<String> region) {
  /** The condition of an engine that is neither cold nor evacuated. */
  public static final EngineCondition NORMAL =
      new EngineCondition(Duration.ZERO, false, Option.none(), Option.none());

  /** Returns the condition of an engine whose entry states that it stays cold for this long. */
  public static EngineCondition statedCold(Duration remaining) {
    return remaining.isZero()
        ? NORMAL
        : new EngineCondition(remaining, false, Option.none(), Option.none());
  }

  EngineCondition asEvacuated() {
    return new EngineCondition(statedCold, true, cold, region);
  }

  /** Returns this condition with the given time until which the engine counts as cold. */
  public EngineCondition withCold(ColdState state) {
    return new EngineCondition(statedCold, evacuated, Option.some(state), region);
  }

  /** Returns this condition with the region of the engine's data centre. */
  public EngineCondition withRegion(Option<String> known) {
    return new EngineCondition(statedCold, evacuated, cold, known);
  }
}
