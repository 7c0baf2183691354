package org.waxwingcourse.standin.engine;

import java.time.Duration;
import java.util.List;

/**
 * What an engine stand-in is like.
 *
 * @param port the port, zero for any free one
 * @param models names of the models it serves at the start
 * @param baseStep time of a decoding step with an empty batch
 * @param sequenceStep added to a step for each sequence in the batch
 * @param prefillToken added to a step for each prompt token that the cache lacks
 * @param cacheTokens prompt tokens that the prefix cache holds
 * @param reportLag how far the load report and the cache events lag behind
 * @param eventGap each event whose number is a multiple of this is left out, zero for none
 * @param checksFencing whether an order with an old fencing number is refused
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

  /** Copies the models. */
  public EngineOptions {
    models = List.copyOf(models);
  }

  /** Returns the options of a quick engine that serves one model and checks fencing numbers. */
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

  /** Returns the same options with other step times. */
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

  /** Returns the same options with another cache and its reports. */
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

  /** Returns the same options with orders fenced or not. */
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

  /** Returns the same options with another network delay. */
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
