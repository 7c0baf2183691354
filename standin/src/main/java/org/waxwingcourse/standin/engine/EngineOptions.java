package org.waxwingcourse.standin.engine;

import java.time.Duration;
import java.util.List;

/**
 * The options of an engine stand-in.
 *
 * @param port the port to listen on, or zero for any free port
 * @param models names of the models that the engine serves after a start
 * @param baseStep duration of a decoding step with an empty batch
 * @param sequenceStep duration added to a step for each sequence in the batch
 * @param prefillToken duration added to a step for each uncached prompt token
 * @param cacheTokens capacity of the prefix cache in prompt tokens
 * @param reportLag lag of the load report and of the cache events
 * @param eventGap cache events whose number is a multiple of this value are lost, zero for none
 * @param checksFencing whether an order with an old fencing number is rejected
 * @param oneWayDelay network delay in each direction
 */
public record EngineOptions(
    int port,
    List<String> models,
    Duration baseStep,
    Duration sequenceStep,
    Duration prefillToken,
    int cacheTokens,
    Duration reportLag,
    int eventGap,
    boolean checksFencing,
    Duration oneWayDelay) {
  private static final Duration BASE_STEP = Duration.ofMillis(5);
  private static final Duration SEQUENCE_STEP = Duration.ofNanos(200_000);
  private static final Duration PREFILL_TOKEN = Duration.ofNanos(20_000);
  private static final int CACHE_TOKENS = 65_536;
  private static final Duration REPORT_LAG = Duration.ofSeconds(1);

  /** Creates options with a copy of the list of models. */
  public EngineOptions {
    models = List.copyOf(models);
  }

  /** Returns the options of a fast engine that serves one model and checks fencing numbers. */
  public static EngineOptions of(String model) {
    return new EngineOptions(
        0,
        List.of(model),
        BASE_STEP,
        SEQUENCE_STEP,
        PREFILL_TOKEN,
        CACHE_TOKENS,
        REPORT_LAG,
        0,
        true,
        Duration.ZERO);
  }

  /** Returns the same options on another port. */
  public EngineOptions onPort(int newPort) {
    return new EngineOptions(
        newPort,
        models,
        baseStep,
        sequenceStep,
        prefillToken,
        cacheTokens,
        reportLag,
        eventGap,
        checksFencing,
        oneWayDelay);
  }

  /** Returns the same options with other step durations. */
  public EngineOptions withSteps(Duration base, Duration sequence, Duration prefill) {
    return new EngineOptions(
        port,
        models,
        base,
        sequence,
        prefill,
        cacheTokens,
        reportLag,
        eventGap,
        checksFencing,
        oneWayDelay);
  }

  /** Returns the same options with another cache capacity, report lag and event gap. */
  public EngineOptions withCache(int tokens, Duration lag, int gap) {
    return new EngineOptions(
        port,
        models,
        baseStep,
        sequenceStep,
        prefillToken,
        tokens,
        lag,
        gap,
        checksFencing,
        oneWayDelay);
  }

  /** Returns the same options with checks of fencing numbers enabled or disabled. */
  public EngineOptions withFencing(boolean checks) {
    return new EngineOptions(
        port,
        models,
        baseStep,
        sequenceStep,
        prefillToken,
        cacheTokens,
        reportLag,
        eventGap,
        checks,
        oneWayDelay);
  }

  /** Returns the same options with another one-way network delay. */
  public EngineOptions withDelay(Duration delay) {
    return new EngineOptions(
        port,
        models,
        baseStep,
        sequenceStep,
        prefillToken,
        cacheTokens,
        reportLag,
        eventGap,
        checksFencing,
        delay);
  }
}
