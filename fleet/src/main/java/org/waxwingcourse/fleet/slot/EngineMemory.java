package org.waxwingcourse.fleet.slot;

/**
 * Bounds the tokens of the runs that an engine holds by its memory, since an engine crashes beyond
 * it. A run counts with its prompt and its maximum output. One that states neither counts with an
 * equal part of the memory, so that an engine with only such runs is bounded by its slots alone.
 *
 * <p>Batch requests leave the memory of one such run free, so that an online request finds room
 * beside a batch run that yields to it: the engine may hold both until it learns of the
 * cancellation.
 *
 * <p>Not safe for use by several threads; guarded by the lock of the scheduler that owns it.
 */
final class EngineMemory {
  private int capacityTokens;

  /** Sets the memory of an engine in tokens, zero if it is not limited. */
  void setCapacity(int tokens) {
    capacityTokens = tokens;
  }

  boolean isLimited() {
    return capacityTokens > 0;
  }

  /** Returns whether an engine without runs can hold the request. */
  boolean mayEverAdmit(SlotRequest request) {
    return !isLimited() || request.size().memoryTokens() <= capacityTokens;
  }

  /** Returns whether an engine can hold the request beside its present runs. */
  boolean admits(EngineSlots engine, SlotRequest request) {
    if (!isLimited()) {
      return true;
    }
    if (engine.runs().isEmpty()) {
      return mayEverAdmit(request);
    }
    int part = capacityTokens / Math.max(1, engine.slots());
    int kept = request.isOnline() || request.size().memoryTokens() == 0 ? 0 : part;
    return heldTokens(engine, part) + tokensOf(request, part) + kept <= capacityTokens;
  }

  /**
   * Returns whether an engine can hold the request beside its present runs, one of which yields. A
   * run of unknown size only stands for its slot, which it gives up.
   */
  boolean admitsInPlaceOf(EngineSlots engine, RunId yielding, SlotRequest request) {
    int part = isLimited() ? capacityTokens / Math.max(1, engine.slots()) : 0;
    int given = engine.runs().get(yielding).tokens() == 0 ? part : 0;
    return !isLimited()
        || heldTokens(engine, part) - given + tokensOf(request, part) <= capacityTokens;
  }

  private static long heldTokens(EngineSlots engine, int part) {
    return engine.runs().values().stream().mapToLong(r -> countedTokens(r.tokens(), part)).sum();
  }

  private static int tokensOf(SlotRequest request, int part) {
    return countedTokens(request.size().memoryTokens(), part);
  }

  private static int countedTokens(int stated, int part) {
    return stated > 0 ? stated : part;
  }
}
