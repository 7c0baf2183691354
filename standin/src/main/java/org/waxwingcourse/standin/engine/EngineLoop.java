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

/** Runs the steps of a batch in real time. All state is touched by its one thread. */
final class EngineLoop {
  private static final int MAX_KNOWN = 10_000;

  private final EngineOptions options;
  private final InstantSource clock;
  private final ScheduledExecutorService thread = Executors.newSingleThreadScheduledExecutor();
  private final AtomicInteger answersToCross = new AtomicInteger();
  private volatile EngineFaults faults = EngineFaults.NONE;
  private volatile CacheEventLog events;
  private volatile DelayedValue<EngineLoad> load;
  private final Map<String, Sequence> known = new LinkedHashMap<>();
  private PrefixCache cache;
  private BatchModel batch;
  private Sequence previous;
  private boolean stepping;

  EngineLoop(EngineOptions options, InstantSource clock) {
    this.options = options;
    this.clock = clock;
    empty();
  }

  void stop() {
    thread.shutdownNow();
  }

  EngineFaults faults() {
    return faults;
  }

  void setFaults(EngineFaults newFaults) {
    faults = newFaults;
    answersToCross.set(newFaults.crossAnswers());
    thread.execute(this::keepStepping);
  }

  /** Runs an action after a time; actions with the same time run in the order of the calls. */
  void later(long millis, Runnable action) {
    thread.schedule(action, millis, TimeUnit.MILLISECONDS);
  }

  CacheEventLog events() {
    return events;
  }

  CompletableFuture<Integer> countRunning() {
    return CompletableFuture.supplyAsync(() -> batch.size(), thread);
  }

  EngineLoad load() {
    return load.get();
  }

  /** Runs a request; {@code onAdmitted} gets the sequence that answers it, before any token. */
  void admit(Sequence sequence, Consumer<Sequence> onAdmitted) {
    thread.execute(
        () -> {
          Sequence answering = crossed(sequence);
          onAdmitted.accept(answering);
          known.put(sequence.requestId(), sequence);
          forgetOldest();
          batch.admit(sequence);
          note();
          keepStepping();
        });
  }

  /** Cancels every run of a request; {@code onDone} hears whether there was one. */
  void cancel(String requestId, Consumer<Boolean> onDone) {
    thread.execute(
        () -> {
          List<Sequence> found =
              batch.sequences().stream().filter(s -> s.requestId().equals(requestId)).toList();
          found.forEach(batch::cancel);
          found.forEach(Sequence::drop);
          note();
          onDone.accept(!found.isEmpty());
        });
  }

  /** Cancels a sequence whose receiver has gone, unless another has resumed it. */
  void disconnect(Sequence sequence, TokenSink sink) {
    thread.execute(
        () -> {
          if (sequence.goesTo(sink) && batch.cancel(sequence)) {
            note();
          }
        });
  }

  /** Goes on with a known request from a token on; {@code onFound} hears if it is known. */
  void resume(
      String requestId, int fromToken, TokenSink sink, Consumer<Optional<Sequence>> onFound) {
    thread.execute(
        () -> {
          Optional<Sequence> sequence = Optional.ofNullable(known.get(requestId));
          onFound.accept(sequence);
          sequence.ifPresent(
              found -> {
                found.resume(fromToken, sink);
                if (!found.isFinished()) {
                  batch.readmit(found);
                }
                keepStepping();
              });
        });
  }

  /** Forgets everything, as a restarted engine does. */
  void restart() {
    thread.execute(
        () -> {
          batch.sequences().forEach(Sequence::drop);
          empty();
        });
  }

  private void empty() {
    CacheEventLog log = new CacheEventLog(clock, options.reportLag(), options.eventGap());
    events = log;
    cache = new PrefixCache(options.cacheTokens(), log::add);
    batch = new BatchModel(options, cache);
    load = new DelayedValue<>(clock, options.reportLag(), new EngineLoad(0, 0));
    known.clear();
    previous = null;
  }

  private Sequence crossed(Sequence sequence) {
    Sequence before = previous;
    previous = sequence;
    boolean cross = before != null && answersToCross.getAndUpdate(n -> Math.max(0, n - 1)) > 0;
    return cross ? before : sequence;
  }

  private void forgetOldest() {
    if (known.size() > MAX_KNOWN) {
      known.remove(known.keySet().iterator().next());
    }
  }

  private void keepStepping() {
    if (stepping || batch.size() == 0 || faults.frozen()) {
      return;
    }
    stepping = true;
    double factor = faults.slowFactor() == 0 ? 1 : faults.slowFactor();
    Duration step = batch.nextStep();
    thread.schedule(this::step, (long) (step.toNanos() * factor), TimeUnit.NANOSECONDS);
  }

  private void step() {
    stepping = false;
    if (!faults.frozen()) {
      batch.step();
      note();
      keepStepping();
    }
  }

  private void note() {
    load.update(new EngineLoad(batch.size(), cache.sizeTokens()));
  }
}
