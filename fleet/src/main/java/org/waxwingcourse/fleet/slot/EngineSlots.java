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
 * The slots of one engine and what runs in them. Not safe for use by several threads; the scheduler
 * that holds it has the lock.
 */
final class EngineSlots {
  /** Most prompt parts remembered; more than an engine's memory holds of shared parts. */
  private static final int MAX_PARTS = 512;

  private final Map<RunId, Run> runs = new LinkedHashMap<>();
  private final Map<Long, Boolean> parts =
      new LinkedHashMap<>(16, 0.75f, true) {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<Long, Boolean> eldest) {
          return size() > MAX_PARTS;
        }
      };
  private final EngineCondition condition = new EngineCondition();
  private EngineEntry entry;
  private int slots;

  EngineSlots(EngineEntry entry, int slots) {
    this.entry = entry;
    this.slots = slots;
  }

  /**
   * A run in a slot.
   *
   * @param request what runs; null for a run that began under another coordinator
   * @param online whether a caller waits for it
   * @param since when it started
   */
  record Run(SlotRequest request, boolean online, Instant since) {
    Deadline due() {
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

  EngineCondition condition() {
    return condition;
  }

  Map<RunId, Run> runs() {
    return runs;
  }

  int slots() {
    return slots;
  }

  boolean isUsable(Instant now) {
    return !entry.leaving() && !condition.isEjected(now);
  }

  boolean hasFree() {
    return runs.size() < (condition.isOnProbe() ? 1 : slots);
  }

  /**
   * Returns the batch run that can best give up its slot: the one that is due last. Of a run that
   * began under another coordinator it is not known when it is due; such runs give way first.
   */
  Option<RunId> batchToYield() {
    Comparator<Map.Entry<RunId, Run>> byDue = Comparator.comparing(e -> e.getValue().due());
    return Option.ofOptional(
        runs.entrySet().stream()
            .filter(e -> !e.getValue().online())
            .max(byDue.thenComparing(e -> e.getValue().since()))
            .map(Map.Entry::getKey));
  }

  void start(SlotRequest request, Instant now) {
    runs.put(request.id(), new Run(request, request.isOnline(), now));
    request.promptParts().forEach(p -> parts.put(p, true));
  }

  void adopt(RunId id, boolean online, Instant now) {
    runs.putIfAbsent(id, new Run(null, online, now));
  }

  /** Returns how many leading parts of a prompt the engine has lately read. */
  int cached(List<Long> prompt) {
    int count = 0;
    while (count < prompt.size() && parts.containsKey(prompt.get(count))) {
      count++;
    }
    return count;
  }
}
