package org.waxwingcourse.standin.engine;

import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * Continuous batching: each step gives every running sequence one token, and takes longer the more
 * of them run and the more prompt tokens of new ones have to be computed. It knows no priorities
 * and no limit. Not thread-safe; time is the caller's matter.
 */
final class BatchModel {
  private final Duration baseStep;
  private final Duration sequenceStep;
  private final Duration prefillToken;
  private final PrefixCache cache;
  private final Set<Sequence> running = new LinkedHashSet<>();
  private final List<Sequence> admitted = new ArrayList<>();

  BatchModel(EngineOptions options, PrefixCache cache) {
    this.baseStep = options.baseStep();
    this.sequenceStep = options.sequenceStep();
    this.prefillToken = options.prefillToken();
    this.cache = cache;
  }

  void admit(Sequence sequence) {
    sequence.setCachedTokens(cache.cachedTokens(sequence.prompt()));
    running.add(sequence);
    admitted.add(sequence);
  }

  /** Puts a sequence back whose prompt has been computed before. */
  void readmit(Sequence sequence) {
    running.add(sequence);
  }

  /** Takes a sequence out of the batch; returns whether it was in. */
  boolean cancel(Sequence sequence) {
    admitted.remove(sequence);
    return running.remove(sequence);
  }

  int size() {
    return running.size();
  }

  List<Sequence> sequences() {
    return List.copyOf(running);
  }

  /** Returns how long the next step takes. */
  Duration nextStep() {
    long prefill = 0;
    for (Sequence sequence : admitted) {
      prefill += sequence.prompt().tokens() - sequence.cachedTokens();
    }
    return baseStep
        .plus(sequenceStep.multipliedBy(running.size()))
        .plus(prefillToken.multipliedBy(prefill));
  }

  /** Gives every running sequence its next token. */
  void step() {
    admitted.forEach(sequence -> cache.store(sequence.prompt()));
    admitted.clear();
    for (Sequence sequence : sequences()) {
      sequence.advance();
      if (sequence.isFinished()) {
        running.remove(sequence);
      }
    }
  }
}
