package org.waxwingcourse.fleet.slot;

import io.vavr.control.Option;
import java.time.Duration;
import java.time.Instant;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.waxwingcourse.fleet.engine.EngineEntry;
import org.waxwingcourse.model.id.RequestFingerprint;
import org.waxwingcourse.model.id.RequestId;

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
  private final StartLimiter starts;
  private EngineEntry entry;
  private int slots;

  EngineSlots(EngineEntry entry, int slots, double fleetShare, Instant now) {
    this.entry = entry;
    this.slots = slots;
    this.starts = new StartLimiter(fleetShare);
    starts.setLimit(entry.limit(), now);
    starts.setCold(entry.condition().cold(), now);
  }

  /**
   * A run that occupies a slot.
   *
   * @param request id of the caller's request or the job's item, for logs
   * @param promptParts ids of the parts of its prompt, in order
   * @param fingerprint equal for online requests that ask for the same; none for an item
   * @param adopted whether it started under another coordinator
   * @param online whether a caller waits for the run
   * @param work the work of a batch run, none if it is not known
   * @param startedAt when it started
   * @param tokens most memory in tokens that it needs, zero if not stated
   */
  record Run(
      RequestId request,
      List<Long> promptParts,
      Option<RequestFingerprint> fingerprint,
      boolean adopted,
      boolean online,
      Option<BatchWork> work,
      Instant startedAt,
      int tokens) {
    /**
     * Returns when a batch run is expected to end; the start of the run if too little is known of
     * it.
     */
    Instant expectedEnd(BatchRunTimes times) {
      return startedAt.plus(
          work.map(w -> times.estimateRemaining(w.receivedEvents())).getOrElse(Duration.ZERO));
    }

    /**
     * Returns how long a batch run could pause and still end in time; negative if it ends late. A
     * run of which too little is known has none.
     */
    Duration slack(BatchRunTimes times) {
      return work.map(w -> Duration.between(expectedEnd(times), w.dueAt().at()))
          .getOrElse(Duration.ofSeconds(-1));
    }
  }

  EngineEntry entry() {
    return entry;
  }

  void update(EngineEntry newEntry, int newSlots, Instant now) {
    entry = newEntry;
    slots = newSlots;
    starts.setLimit(newEntry.limit(), now);
    starts.setCold(newEntry.condition().cold(), now);
  }

  StartLimiter starts() {
    return starts;
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

  /** Returns how many slots count as capacity; an engine that refuses connections has none. */
  int countedSlots() {
    return health.isRefusing() ? 0 : slots;
  }

  /** Returns how many requests may start in free slots now. */
  int possibleStarts(Instant now) {
    return hasFreeSlot()
        ? Math.min(Math.max(0, countedSlots() - runs.size()), starts.availableStarts(now))
        : 0;
  }

  /** Returns when runs of callers end that take as long as {@code run}, in order. */
  List<Instant> onlineRunEnds(Duration run, Instant now) {
    return runs.values().stream()
        .filter(Run::online)
        .map(r -> r.startedAt().plus(run))
        .map(end -> end.isBefore(now) ? now : end)
        .sorted()
        .toList();
  }

  /**
   * Returns the batch run to preempt. A run that ends late anyway loses least, of several the one
   * that needs longest; else the one that can best wait, since events received so far are kept.
   */
  Option<RunId> batchRunToPreempt(BatchRunTimes times) {
    Comparator<Map.Entry<RunId, Run>> byLoss =
        Comparator.comparing((Map.Entry<RunId, Run> e) -> e.getValue().slack(times).isNegative())
            .thenComparing(e -> lossRank(e.getValue(), times))
            .thenComparing(e -> e.getValue().startedAt());
    return Option.ofOptional(
        runs.entrySet().stream()
            .filter(e -> !e.getValue().online())
            .max(byLoss)
            .map(Map.Entry::getKey));
  }

  private static long lossRank(Run run, BatchRunTimes times) {
    Duration slack = run.slack(times);
    return slack.isNegative() ? run.expectedEnd(times).toEpochMilli() : slack.toMillis();
  }

  void startRun(SlotRequest request, Instant now) {
    starts.recordStart(now);
    runs.put(
        request.id(),
        new Run(
            request.requestId(),
            request.promptParts(),
            request.fingerprint(),
            false,
            request.isOnline(),
            request.batchWork(),
            now,
            request.size().memoryTokens()));
    request.promptParts().forEach(p -> recentParts.put(p, true));
  }

  void addExistingRun(RunId id, ExistingRun run) {
    runs.putIfAbsent(
        id,
        new Run(
            run.request(),
            run.promptParts(),
            run.fingerprint(),
            true,
            run.online(),
            run.work(),
            run.startedAt(),
            run.tokens()));
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
