package org.waxwingcourse.standin.engine;

import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * A model of continuous batching. Each step produces one token for every running sequence; its
 * duration grows with the number of running sequences and with the uncached prompt tokens of new
 * sequences. There are no priorities and no limit on the batch size. The caller waits for the
 * duration of a step before running it. Not thread-safe.
 */
final class BatchModel {
  private final Duration baseStep;
  private final Duration sequenceStep;
  private final Duration prefillToken;
  private final PrefixCache cache;
  private final Set<Sequence> running = new LinkedHashSet<>();
  private final List<Sequence> awaitingPrefill = new ArrayList<>();

  BatchModel(EngineOptions options, PrefixCache cache) {
    this.baseStep = options.baseStep();
    this.sequenceStep = options.sequenceStep();
    this.prefillToken = options.prefillToken();
    this.cache = cache;
  }

  void admit(Sequence sequence) {
    sequence.setCachedTokens(cache.cachedTokens(sequence.prompt()));
    running.add(sequence);
    awaitingPrefill.add(sequence);
  }

  /** Returns a sequence to the batch without computing its prompt again. */
  void readmit(Sequence sequence) {
    running.add(sequence);
  }

  /** Removes a sequence from the batch; returns whether it was running. */
  boolean cancel(Sequence sequence) {
    awaitingPrefill.remove(sequence);
    return running.remove(sequence);
  }

  int size() {
    return running.size();
  }

  List<Sequence> sequences() {
    return List.copyOf(running);
  }

  /** Returns the duration of the next step. */
  Duration nextStepDuration() {
    long prefillTokens = 0;
    for (Sequence sequence : awaitingPrefill) {
      prefillTokens += sequence.prompt().tokens() - sequence.cachedTokens();
    }
    return baseStep
        .plus(sequenceStep.multipliedBy(running.size()))
        .plus(prefillToken.multipliedBy(prefillTokens));
  }

  /** Produces the next token of every running sequence and removes the finished ones. */
  void runStep() {
    awaitingPrefill.forEach(sequence -> cache.store(sequence.prompt()));
    awaitingPrefill.clear();
    for (Sequence sequence : sequences()) {
      sequence.produceToken();
      if (sequence.isFinished()) {
        running.remove(sequence);
      }
    }
  }
}
