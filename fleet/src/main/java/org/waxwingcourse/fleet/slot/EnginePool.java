package org.waxwingcourse.fleet.slot;

import io.vavr.control.Option;
import java.time.Instant;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.stream.Stream;
import org.waxwingcourse.model.id.UpstreamId;

/**
 * The engines of one service, which of them may be used, and how many slots they have.
 *
 * <p>Not safe for use by several threads; guarded by the lock of the scheduler that owns it.
 */
final class EnginePool {
  /**
   * Part of the engines that must be usable for ejections to count. If more are ejected at once,
   * the fault is hardly theirs, and requests are better off on an ejected engine than refused.
   */
  private static final double MIN_USABLE_PART = 1.0 / 3;

  private final Map<UpstreamId, EngineSlots> engines = new HashMap<>();
  private boolean mostEjected;
  private Instant ejectionsCountedAt = Instant.MIN;

  /** Returns all engines, those that are leaving included. */
  Collection<EngineSlots> all() {
    return engines.values();
  }

  /** Returns the engine with the given id, null if it is not listed. */
  EngineSlots get(UpstreamId id) {
    return engines.get(id);
  }

  /** Adds an engine, or replaces the earlier process of the same engine. */
  void put(EngineSlots engine) {
    engines.put(engine.entry().id(), engine);
  }

  void retainAll(Set<UpstreamId> listed) {
    engines.keySet().retainAll(listed);
  }

  int size() {
    return engines.size();
  }

  /** Returns the engines that are not leaving; a slot that becomes free on one can be granted. */
  Stream<EngineSlots> remaining() {
    return engines.values().stream().filter(e -> !e.entry().leaving());
  }

  Option<EngineSlots> findByRun(RunId id) {
    return Option.ofOptional(
        engines.values().stream().filter(e -> e.runs().containsKey(id)).findFirst());
  }

  boolean hasUsable(Instant now) {
    return engines.values().stream().anyMatch(e -> isUsable(e, now));
  }

  boolean isUsable(EngineSlots engine, Instant now) {
    return engine.isUsable(now)
        || (!engine.entry().leaving() && engine.health().mayTryEjected(now) && areMostEjected(now));
  }

  /** Returns how many requests may start in free slots now. */
  int freeSlots(Instant now) {
    return engines.values().stream()
        .filter(e -> isUsable(e, now))
        .mapToInt(e -> e.possibleStarts(now))
        .sum();
  }

  int usableSlots(Instant now) {
    return engines.values().stream()
        .filter(e -> isUsable(e, now))
        .mapToInt(EngineSlots::countedSlots)
        .sum();
  }

  /** Returns the engines whose slots can be counted on when they become free. */
  Stream<EngineSlots> dependable(Instant now) {
    return remaining().filter(e -> isUsable(e, now) && !e.health().isRefusing());
  }

  /** Returns the number of runs on engines whose slots are counted. */
  int countRuns(Instant now) {
    return dependable(now).mapToInt(e -> e.runs().size()).sum();
  }

  /** Returns how many engines have refused connections and not answered since. */
  int countRefusing() {
    return (int) remaining().filter(e -> e.health().isRefusing()).count();
  }

  private boolean areMostEjected(Instant now) {
    if (!now.equals(ejectionsCountedAt)) {
      mostEjected = isUsablePartTooSmall(now);
      ejectionsCountedAt = now;
    }
    return mostEjected;
  }

  private boolean isUsablePartTooSmall(Instant now) {
    long listed = remaining().count();
    long usable = engines.values().stream().filter(e -> e.isUsable(now)).count();
    return usable < MIN_USABLE_PART * listed;
  }
}
