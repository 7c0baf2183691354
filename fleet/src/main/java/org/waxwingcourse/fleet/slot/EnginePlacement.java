package org.waxwingcourse.fleet.slot;

import io.vavr.control.Option;
import java.time.Instant;
import java.util.Comparator;
import java.util.List;
import java.util.function.Predicate;

/**
 * Chooses the engine for a request by the load and the speed of the engines, the prompt parts that
 * they have processed lately, and the connections of the requesting host.
 *
 * <p>Not safe for use by several threads; guarded by the lock of the scheduler that owns it.
 */
final class EnginePlacement {
  /**
   * Bonus for each shared prompt part that the engine need not process again, in units of one busy
   * slot.
   */
  private static final double CACHED_PART_BONUS = 1.0;

  /**
   * Bonus for an engine to which the requesting host has an idle connection, in units of one busy
   * slot. In a large fleet a host has few requests for each engine, and without the bonus nearly
   * every request would open a connection.
   */
  private static final double IDLE_CONNECTION_BONUS = 2.0;

  /** Bonus for an engine in the data centre of the requesting host, in units of one busy slot. */
  private static final double SAME_DATA_CENTRE_BONUS = 0.5;

  private final EnginePool engines;
  private final LimitedPlacement limitedPlacement;
  private final Cost cost;

  /** What a run on an engine costs, in units of one busy slot. */
  @FunctionalInterface
  interface Cost {
    /**
     * Returns the cost.
     *
     * @param fastestGapMillis least mean time between events of all engines, zero if none is known
     */
    double of(EngineSlots engine, SlotRequest request, double fastestGapMillis);
  }

  EnginePlacement(EnginePool engines, LimitedPlacement limitedPlacement, Cost cost) {
    this.engines = engines;
    this.limitedPlacement = limitedPlacement;
    this.cost = cost;
  }

  /**
   * Returns the best usable engine that fits and may start a request now, none if there is none.
   */
  Option<EngineSlots> selectCheapest(
      SlotRequest request, Instant now, Predicate<EngineSlots> fits) {
    List<EngineSlots> usable =
        engines.all().stream()
            .filter(e -> engines.isUsable(e, now) && fits.test(e) && e.starts().allowsStart(now))
            .filter(e -> request.accepts(e.entry()))
            .toList();
    List<EngineSlots> notAvoided =
        usable.stream().filter(e -> !request.avoidedEngines().contains(e.entry().id())).toList();
    List<EngineSlots> candidates =
        preferSoftware(request, notAvoided.isEmpty() ? usable : notAvoided);
    double fastest =
        engines.all().stream()
            .mapToDouble(e -> e.health().meanGapMillis())
            .filter(g -> g > 0)
            .min()
            .orElse(0);
    return Option.ofOptional(
        candidates.stream()
            .min(
                Comparator.comparingDouble(
                        (EngineSlots e) ->
                            cost.of(e, request, fastest) + limitedCost(e, request, now))
                    .thenComparing(e -> e.entry().id())));
  }

  /** Returns the engines that can go on where an earlier run ended, or all if none can. */
  private static List<EngineSlots> preferSoftware(SlotRequest request, List<EngineSlots> engines) {
    if (request.software().isEmpty()) {
      return engines;
    }
    List<EngineSlots> continuing =
        engines.stream().filter(e -> request.continuesAt(e.entry())).toList();
    return continuing.isEmpty() ? engines : continuing;
  }

  private double limitedCost(EngineSlots engine, SlotRequest request, Instant now) {
    return engine.starts().isLimiting(now)
        ? limitedPlacement.cost(request, engine.starts(), now)
        : 0;
  }

  static double placementCost(EngineSlots engine, SlotRequest request, double fastest) {
    double gap = engine.health().meanGapMillis();
    double slowness = gap > 0 && fastest > 0 ? gap / fastest : 1;
    double occupied = engine.runs().size() + (engine.health().isProbing() ? engine.slots() : 0);
    double cacheBonus = CACHED_PART_BONUS * engine.countCachedParts(request.promptParts());
    boolean sameDataCentre = engine.entry().dataCentre().equals(request.dataCentre());
    return slowness * (occupied + engine.slots())
        - cacheBonus
        - (request.connectedEngines().contains(engine.entry().id()) ? IDLE_CONNECTION_BONUS : 0)
        - (sameDataCentre ? SAME_DATA_CENTRE_BONUS : 0);
  }
}
