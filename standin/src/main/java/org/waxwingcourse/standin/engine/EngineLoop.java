package org.waxwingcourse.standin.engine;

import java.time.Duration;
import java.time.InstantSource;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;
import org.waxwingcourse.standin.web.DelayedValue;

/** Runs the steps of a batch in real time. A single-threaded executor confines its state. */
final class EngineLoop {
  private static final int MAX_RETAINED_SEQUENCES = 10_000;

  private final EngineOptions options;
  private final InstantSource clock;
  private final ScheduledExecutorService executor = Executors.newSingleThreadScheduledExecutor();
  private final AtomicInteger remainingMismatches = new AtomicInteger();
  private volatile EngineFaults faults = EngineFaults.NONE;
  private volatile CacheEventLog events;
  private volatile DelayedValue<EngineLoad> load;
  private final Map<String, Sequence> sequencesById = new LinkedHashMap<>();
  private PrefixCache cache;
  private BatchModel batch;
  private Sequence previousSequence;
  private boolean stepScheduled;

  EngineLoop(EngineOptions options, InstantSource clock) {
    this.options = options;
    this.clock = clock;
    resetState();
  }

  void stop() {
    executor.shutdownNow();
  }

  EngineFaults faults() {
    return faults;
  }

  void setFaults(EngineFaults newFaults) {
    faults = newFaults;
    remainingMismatches.set(newFaults.crossAnswers());
    executor.execute(this::scheduleNextStep);
  }

  /** Runs an action after a delay; actions with equal delays run in the order of the calls. */
  void schedule(long millis, Runnable action) {
    executor.schedule(action, millis, TimeUnit.MILLISECONDS);
  }

  CacheEventLog cacheEvents() {
    return events;
  }

  CompletableFuture<Integer> countRunning() {
    return CompletableFuture.supplyAsync(() -> batch.size(), executor);
  }

  EngineLoad reportedLoad() {
    return load.get();
  }

  /**
   * Runs a request.
   *
   * @param onAdmitted receives the sequence that provides the response, before any token
   */
  void admit(Sequence sequence, Consumer<Sequence> onAdmitted) {
    executor.execute(
        () -> {
          Sequence answered = selectAnsweredSequence(sequence);
          onAdmitted.accept(answered);
          sequencesById.put(sequence.requestId(), sequence);
          evictOldestSequence();
          batch.admit(sequence);
          updateLoad();
          scheduleNextStep();
        });
  }

  /** Cancels every run of a request and passes to {@code onDone} whether one was running. */
  void cancel(String requestId, Consumer<Boolean> onDone) {
    executor.execute(
        () -> {
          List<Sequence> found =
              batch.sequences().stream().filter(s -> s.requestId().equals(requestId)).toList();
          found.forEach(batch::cancel);
          found.forEach(Sequence::drop);
          updateLoad();
          onDone.accept(!found.isEmpty());
        });
  }

  /** Cancels a sequence whose receiver has disconnected, unless another receiver resumed it. */
  void cancelDisconnected(Sequence sequence, TokenSink sink) {
    executor.execute(
        () -> {
          if (sequence.hasSink(sink) && batch.cancel(sequence)) {
            updateLoad();
          }
        });
  }

  /**
   * Resumes a retained request.
   *
   * @param fromToken the first token to send, counted from zero
   * @param onFound receives the sequence, or empty if the request is not retained
   */
  void resume(
      String requestId, int fromToken, TokenSink sink, Consumer<Optional<Sequence>> onFound) {
    executor.execute(
        () -> {
          Optional<Sequence> sequence = Optional.ofNullable(sequencesById.get(requestId));
          onFound.accept(sequence);
          sequence.ifPresent(
              found -> {
                found.resume(fromToken, sink);
                if (!found.isFinished()) {
                  batch.readmit(found);
                }
                scheduleNextStep();
              });
        });
  }

  /** Discards all state, as an engine does when it restarts. */
  void restart() {
    executor.execute(
        () -> {
          batch.sequences().forEach(Sequence::drop);
          resetState();
        });
  }

  private void resetState() {
    CacheEventLog log = new CacheEventLog(clock, options.reportLag(), options.eventGap());
    events = log;
    cache = new PrefixCache(options.cacheTokens(), log::add);
    batch = new BatchModel(options, cache);
    load = new DelayedValue<>(clock, options.reportLag(), new EngineLoad(0, 0));
    sequencesById.clear();
    previousSequence = null;
  }

  private Sequence selectAnsweredSequence(Sequence sequence) {
    Sequence earlier = previousSequence;
    previousSequence = sequence;
    boolean mismatch =
        earlier != null && remainingMismatches.getAndUpdate(n -> Math.max(0, n - 1)) > 0;
    return mismatch ? earlier : sequence;
  }

  private void evictOldestSequence() {
    if (sequencesById.size() > MAX_RETAINED_SEQUENCES) {
      sequencesById.remove(sequencesById.keySet().iterator().next());
    }
  }

  private void scheduleNextStep() {
    if (stepScheduled || batch.size() == 0 || faults.frozen()) {
      return;
    }
    stepScheduled = true;
    double factor = faults.slowFactor() == 0 ? 1 : faults.slowFactor();
    Duration duration = batch.nextStepDuration();
    executor.schedule(this::runStep, (long) (duration.toNanos() * factor), TimeUnit.NANOSECONDS);
  }

  private void runStep() {
    stepScheduled = false;
    if (!faults.frozen()) {
      batch.runStep();
      updateLoad();
      scheduleNextStep();
    }
  }

  private void updateLoad() {
    load.update(new EngineLoad(batch.size(), cache.sizeTokens()));
  }
}
