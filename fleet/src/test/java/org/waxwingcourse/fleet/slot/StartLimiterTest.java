package org.waxwingcourse.fleet.slot;

import static org.assertj.core.api.Assertions.assertThat;

import io.vavr.control.Option;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.waxwingcourse.fleet.engine.ColdState;
import org.waxwingcourse.fleet.engine.ColdTerms;
import org.waxwingcourse.fleet.engine.RequestRate;

class StartLimiterTest {
  private static final Duration STEP = Duration.ofMillis(10);
  private static final int WINDOW_STEPS = 400;
  private static final int STEPS = 4000;
  private static final double STEP_SECONDS = 0.01;

  private Instant now = Instant.ofEpochSecond(1000);

  static LongStream seeds() {
    return LongStream.range(0, 50);
  }

  private static Option<RequestRate> limit(double perSecond) {
    return RequestRate.of(perSecond);
  }

  private int startAll(StartLimiter limiter, Duration span) {
    int starts = 0;
    Instant end = now.plus(span);
    while (now.isBefore(end)) {
      now = now.plus(STEP);
      while (starts < 100_000 && limiter.allowsStart(now)) {
        limiter.recordStart(now);
        starts++;
      }
    }
    return starts;
  }

  /** Limits and the shares of two coordinators change at random, demand comes and goes. */
  @ParameterizedTest
  @MethodSource("seeds")
  void noWindowHasMoreStartsThanTheLimitsInItAllow(long seed) {
    Random random = new Random(seed);
    StartLimiter first = new StartLimiter(1);
    StartLimiter second = new StartLimiter(0);
    List<Integer> starts = new ArrayList<>();
    List<Double> allowed = new ArrayList<>();
    double named = random.nextDouble() * 10;
    boolean demand = true;
    for (int i = 0; i < STEPS; i++) {
      now = now.plus(STEP);
      if (i == 0 || random.nextInt(300) == 0) {
        named = random.nextDouble() * 10;
        first.setLimit(limit(named), now);
        second.setLimit(limit(named), now);
      }
      if (random.nextInt(400) == 0) {
        double share = random.nextInt(5) / 4.0;
        first.setShare(share, now);
        second.setShare(1 - share, now);
      }
      demand = random.nextInt(200) == 0 ? !demand : demand;
      int count = 0;
      for (StartLimiter limiter : List.of(first, second)) {
        while (demand && limiter.allowsStart(now)) {
          limiter.recordStart(now);
          count++;
        }
      }
      starts.add(count);
      allowed.add(named * STEP_SECONDS);
    }
    for (int from = 0; from + WINDOW_STEPS <= STEPS; from++) {
      int got = starts.subList(from, from + WINDOW_STEPS).stream().mapToInt(s -> s).sum();
      double limits = allowed.subList(from, from + WINDOW_STEPS).stream().mapToDouble(a -> a).sum();
      assertThat(got).as("window at " + from).isLessThanOrEqualTo((int) (1.5 * limits + 5));
    }
  }

  @ParameterizedTest
  @ValueSource(doubles = {0.3, 1, 3, 7.5, 40})
  void steadyDemandGetsWhatTheLimitAllows(double perSecond) {
    StartLimiter limiter = new StartLimiter(1);
    limiter.setLimit(limit(perSecond), now);
    assertThat(startAll(limiter, Duration.ofSeconds(60)))
        .isBetween((int) (perSecond * 60) - 1, (int) (perSecond * 60) + 1);
  }

  @Test
  void withoutALimitNothingIsBounded() {
    StartLimiter limiter = new StartLimiter(1);
    assertThat(limiter.isLimiting(now)).isFalse();
    assertThat(limiter.availableStarts(now)).isEqualTo(Integer.MAX_VALUE);
    assertThat(limiter.startTime(1000, now)).isEqualTo(now);
  }

  @Test
  void rateGrowsStepByStepOnceTheLimitHasEnded() {
    StartLimiter limiter = new StartLimiter(1);
    limiter.setLimit(limit(4), now);
    startAll(limiter, Duration.ofSeconds(5));
    limiter.setLimit(Option.none(), now);
    assertThat(startAll(limiter, Duration.ofSeconds(1))).isBetween(4, 8);
    assertThat(startAll(limiter, Duration.ofSeconds(1))).isBetween(8, 16);
    now = now.plusSeconds(1);
    assertThat(limiter.isLimiting(now)).isFalse();
  }

  @Test
  void limitThatComesBackDuringTheRecoveryHoldsAtOnce() {
    StartLimiter limiter = new StartLimiter(1);
    limiter.setLimit(limit(4), now);
    startAll(limiter, Duration.ofSeconds(5));
    limiter.setLimit(Option.none(), now);
    now = now.plusMillis(2500);
    limiter.setLimit(limit(2), now);
    assertThat(startAll(limiter, Duration.ofSeconds(4))).isLessThanOrEqualTo(2 * 4 + 2);
  }

  @Test
  void limitThatBeginsAgainBeginsWithNothingSaved() {
    StartLimiter limiter = new StartLimiter(1);
    limiter.setLimit(limit(10), now);
    now = now.plusSeconds(5);
    limiter.setLimit(Option.none(), now);
    now = now.plusSeconds(5);
    limiter.setLimit(limit(1), now);
    assertThat(limiter.allowsStart(now)).isFalse();
  }

  @Test
  void startsThatAreEstimatedArePossibleThen() {
    StartLimiter limiter = new StartLimiter(1);
    limiter.setLimit(limit(4), now);
    Instant third = limiter.startTime(3, now);
    assertThat(third).isBetween(now.plusMillis(740), now.plusMillis(760));
    now = third.plusMillis(1);
    assertThat(limiter.availableStarts(now)).isEqualTo(3);
  }

  @Test
  void estimatesOfAnEngineThatTakesNothingAreFinite() {
    StartLimiter limiter = new StartLimiter(0);
    limiter.setLimit(limit(0), now);
    assertThat(limiter.startTime(2, now)).isBefore(now.plus(Duration.ofHours(1)));
  }

  /** The requests that a cold engine tolerates in any second, summed over all hosts. */
  private static final int MAX_COLD_STARTS = (int) (14 * 1.5 + 5);

  private static final ColdTerms COLD_TERMS =
      new ColdTerms(new RequestRate(14), Duration.ofSeconds(3));

  private static Option<ColdState> coldUntil(Instant until) {
    return Option.some(new ColdState(COLD_TERMS, until));
  }

  /** A cold engine crashes: two coordinators, in turn or at once, with demand at random. */
  @ParameterizedTest
  @MethodSource("seeds")
  void noSecondHasMoreStartsOnAColdEngineThanItTolerates(long seed) {
    Random random = new Random(seed);
    StartLimiter first = new StartLimiter(1);
    StartLimiter second = new StartLimiter(0);
    List<Integer> starts = new ArrayList<>();
    boolean demand = true;
    Instant end = now.plusSeconds(60);
    first.setCold(coldUntil(end), now);
    second.setCold(coldUntil(end), now);
    while (now.isBefore(end)) {
      now = now.plus(STEP);
      if (random.nextInt(40) == 0) {
        double share = random.nextInt(5) / 4.0;
        first.setShare(share, now);
        second.setShare(1 - share, now);
      }
      demand = random.nextInt(50) == 0 ? !demand : demand;
      int count = 0;
      for (StartLimiter limiter : List.of(first, second)) {
        while (demand && now.isBefore(end) && count < 1000 && limiter.allowsStart(now)) {
          limiter.recordStart(now);
          count++;
        }
      }
      starts.add(count);
    }
    int window = (int) (1 / STEP_SECONDS);
    for (int from = 0; from + window <= starts.size(); from++) {
      int got = starts.subList(from, from + window).stream().mapToInt(s -> s).sum();
      assertThat(got).as("second at " + from).isLessThanOrEqualTo(MAX_COLD_STARTS);
    }
  }

  @Test
  void coldEngineGetsWhatItTakesAndThenIsNotBounded() {
    StartLimiter limiter = new StartLimiter(1);
    limiter.setCold(coldUntil(now.plusSeconds(10)), now);
    assertThat(startAll(limiter, Duration.ofMillis(9990))).isBetween(138, 141);
    now = now.plusMillis(20);
    assertThat(limiter.isLimiting(now)).isFalse();
    limiter.setCold(coldUntil(now.plusSeconds(10)), now);
    assertThat(limiter.allowsStart(now)).as("cold again").isFalse();
  }

  @ParameterizedTest
  @ValueSource(doubles = {2, 40})
  void ofALimitAndTheColdRateTheLowerOneHolds(double perSecond) {
    StartLimiter limiter = new StartLimiter(1);
    limiter.setLimit(limit(perSecond), now);
    limiter.setCold(coldUntil(now.plusSeconds(10)), now);
    double lower = Math.min(perSecond, 14);
    assertThat(startAll(limiter, Duration.ofMillis(9990)))
        .isBetween((int) (lower * 10) - 2, (int) (lower * 10) + 1);
    now = now.plusMillis(10);
    assertThat(startAll(limiter, Duration.ofSeconds(10)))
        .as("the limit alone")
        .isBetween((int) (perSecond * 10) - 1, (int) (perSecond * 11));
  }

  /** An engine restarted under the same id, and its entry did not say so yet. */
  @Test
  void engineThatWasLostCountsAsColdUntilAStartAfterItAnswers() {
    StartLimiter limiter = new StartLimiter(1);
    limiter.setCold(coldUntil(Instant.MIN), now);
    assertThat(limiter.isLimiting(now)).isFalse();
    limiter.recordEnd(RunEnd.of(RunEnd.How.ENGINE_BROKE_OFF), now);
    now = now.plusSeconds(60);
    assertThat(limiter.isCold(now)).isTrue();
    limiter.recordEnd(RunEnd.of(RunEnd.How.WHOLE), now);
    limiter.setCold(coldUntil(Instant.MIN), now);
    now = now.plusMillis(2999);
    assertThat(limiter.isCold(now)).isTrue();
    limiter.recordEnd(RunEnd.of(RunEnd.How.WHOLE), now);
    now = now.plusMillis(1);
    assertThat(limiter.isLimiting(now)).isFalse();
  }

  @Test
  void lostEngineIsNotBoundedWhereColdEnginesTakeAsMuchAsOthers() {
    StartLimiter limiter = new StartLimiter(1);
    limiter.recordEnd(RunEnd.of(RunEnd.How.ENGINE_BROKE_OFF), now);
    assertThat(limiter.isLimiting(now)).isFalse();
  }
}
