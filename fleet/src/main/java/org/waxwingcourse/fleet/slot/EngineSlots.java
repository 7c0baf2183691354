package org.waxwingcourse.fleet.slot;

import io.vavr.control.Option;
import java.time.Instant;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.waxwingcourse.fleet.engine.EngineEntry;
import org.waxwingcourse.model.time.Deadline;

/**
 * The slots of one engine and the runs that occupy them. Not safe for use by several threads;
 * guarded by the lock of the scheduler that owns it.
 */
final class EngineSlots {
  /** Maximum number of prompt parts remembered; an engine's cache holds fewer shared parts. */
  private static final int MAX_RECENT_PARTS = 512;

  private final Map<RunId, Run> runs = new LinkedHashMap<>();
  private final Map<Long, Boolean> recentParts =
      new LinkedHashMap<>(16, 0.75f, true) {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<Long, Boolean> eldest) {
          return size() > MAX_RECENT_PARTS;
        }
      };
  private final EngineHealthTracker health = new EngineHealthTracker();
  private EngineEntry entry;
  private int slots;

  EngineSlots(EngineEntry entry, int slots) {
    this.entry = entry;
    this.slots = slots;
  }

  /**
   * A run that occupies a slot.
   *
   * @param request the request that runs; null for a run that started under another coordinator
   * @param online whether a caller waits for the run
   * @param startedAt when it started
   */
  record Run(SlotRequest request, boolean online, Instant startedAt) {
    Deadline dueAt() {
      return request == null ? Deadline.at(Instant.MAX) : request.startBy();
    }
  }

  EngineEntry entry() {
    return entry;
  }

  void update(EngineEntry newEntry, int newSlots) {
    entry = newEntry;
    slots = newSlots;
  }

  EngineHealthTracker health() {
    return health;
  }

  Map<RunId, Run> runs() {
    return runs;
  }

  int slots() {
    return slots;
  }

  boolean isUsable(Instant now) {
    return !entry.leaving() && !health.isEjected(now);
  }

  boolean hasFreeSlot() {
    return runs.size() < (health.isProbing() ? 1 : slots);
  }

  /**
   * Returns the batch run to preempt: the one that is due last. When a run that started under
   * another coordinator is due is not known; such runs are preempted first.
   */
  Option<RunId> batchRunToPreempt() {
    Comparator<Map.Entry<RunId, Run>> byDue = Comparator.comparing(e -> e.getValue().dueAt());
    return Option.ofOptional(
        runs.entrySet().stream()
            .filter(e -> !e.getValue().online())
            .max(byDue.thenComparing(e -> e.getValue().startedAt()))
            .map(Map.Entry::getKey));
  }

  void startRun(SlotRequest request, Instant now) {
    runs.put(request.id(), new Run(request, request.isOnline(), now));
    request.promptParts().forEach(p -> recentParts.put(p, true));
  }

  void addExistingRun(RunId id, boolean online, Instant now) {
    runs.putIfAbsent(id, new Run(null, online, now));
  }

  /**
   * Returns how many leading parts of a prompt the engine has recently processed and may still
   * cache.
   */
  int countCachedParts(List<Long> prompt) {
    int count = 0;
    while (count < prompt.size() && recentParts.containsKey(prompt.get(count))) {
      count++;
    }
    return count;
  }
}
