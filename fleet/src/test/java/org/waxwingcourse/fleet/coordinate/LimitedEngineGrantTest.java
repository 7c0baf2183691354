package org.waxwingcourse.fleet.coordinate;

import static org.assertj.core.api.Assertions.assertThat;

import io.vavr.control.Option;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.waxwingcourse.fleet.FleetFixtures;
import org.waxwingcourse.fleet.engine.EngineBoot;
import org.waxwingcourse.fleet.engine.EngineEntry;
import org.waxwingcourse.fleet.engine.RequestRate;
import org.waxwingcourse.fleet.slot.RunEnd;
import org.waxwingcourse.fleet.view.LimitReading;
import org.waxwingcourse.model.id.RequestId;
import org.waxwingcourse.model.id.UpstreamId;
import org.waxwingcourse.store.Entry;

/**
 * An engine that had named a limit in its answers got as many requests as before. All requests here
 * end at once, so that slots bind nothing.
 */
class LimitedEngineGrantTest extends SimulatedFleet {
  private static final UpstreamId ENGINE = UpstreamId.of("engine-1");
  private static final EngineBoot BOOT = new EngineBoot(ENGINE, 1);
  private static final double LIMIT = 3;
  private static final Duration WINDOW = Duration.ofSeconds(4);
  private static final int REQUESTS_PER_TICK = 2;

  private final List<Instant> starts = new ArrayList<>();
  private final Set<Long> ended = new HashSet<>();

  @Override
  List<Entry> listedEngines() {
    return List.of(FleetFixtures.engineEntry(ENGINE.value(), 1, 8, false, 1, 1));
  }

  private void name(Member host, double limit) {
    long order = host.engines.nextSendOrder(clock.instant());
    host.engines.recordLimit(
        BOOT, new LimitReading(order, RequestRate.of(limit)), RequestId.of("r"));
    deliver();
  }

  private void nameNone(Member host) {
    long order = host.engines.nextSendOrder(clock.instant());
    host.engines.recordLimit(BOOT, new LimitReading(order, Option.none()), RequestId.of("r"));
    deliver();
  }

  /** Sends more requests than the limit allows from the given hosts; each ends at once. */
  private void load(List<Member> hosts, Duration span) {
    Instant end = clock.instant().plus(span);
    while (clock.instant().isBefore(end)) {
      for (Member host : hosts) {
        for (int i = 0; i < REQUESTS_PER_TICK; i++) {
          host.requestSlot();
        }
      }
      deliver();
      run(TICK);
      endRuns();
    }
  }

  private void endRuns() {
    for (Long number : Set.copyOf(grants.keySet())) {
      if (ended.add(number)) {
        starts.add(clock.instant());
        members.forEach(m -> m.slots.endRun(number, RunEnd.of(RunEnd.How.WHOLE)));
      }
    }
    deliver();
  }

  private int mostInWindow() {
    int most = 0;
    for (Instant from : starts) {
      long count =
          starts.stream().filter(s -> !s.isBefore(from) && s.isBefore(from.plus(WINDOW))).count();
      most = Math.max(most, (int) count);
    }
    return most;
  }

  private static int allowed(double limit) {
    return (int) (1.5 * limit * WINDOW.toSeconds() + 5);
  }

  private List<Double> knownLimits() {
    return members.stream()
        .map(
            m ->
                m.engines
                    .findEngine(ENGINE)
                    .flatMap(EngineEntry::limit)
                    .map(RequestRate::perSecond)
                    .getOrElse(-1.0))
        .toList();
  }

  @Test
  void allHostsTogetherStartNoMoreThanTheLimitAllows() {
    name(members.get(3), LIMIT);
    load(members, Duration.ofSeconds(12));
    assertThat(mostInWindow()).isLessThanOrEqualTo(allowed(LIMIT));
    assertThat(starts.size())
        .as("of what the engine takes")
        .isGreaterThan((int) (0.8 * LIMIT * 12));
  }

  @Test
  void nextCoordinatorKnowsTheLimitBeforeItsFirstGrantAndBeginsWithAnEmptyBucket() {
    name(members.get(3), LIMIT);
    load(members, Duration.ofSeconds(4));
    silent.add(members.get(0).id);
    load(members.subList(1, 5), Duration.ofSeconds(4));
    assertThat(members.get(4).slots.coordinator()).contains(members.get(1).id);
    silent.add(members.get(1).id);
    silent.remove(members.get(0).id);
    load(members.subList(2, 5), Duration.ofSeconds(4));
    assertThat(mostInWindow()).isLessThanOrEqualTo(allowed(LIMIT));
  }

  @Test
  void hostsThatAreCutOffFromOneAnotherStartTheirPartsOfTheLimit() {
    name(members.get(3), LIMIT);
    run(Duration.ofSeconds(1));
    members.forEach(m -> cutOff.add(m.id));
    load(members, Duration.ofSeconds(16));
    assertThat(mostInWindow()).isLessThanOrEqualTo(allowed(LIMIT));
    assertThat(starts).isNotEmpty();
  }

  @Test
  void limitsThatChangeAndEndReachAllHosts() {
    name(members.get(3), LIMIT);
    run(TICK.multipliedBy(2));
    assertThat(knownLimits()).containsOnly(LIMIT);
    name(members.get(4), 2);
    run(TICK.multipliedBy(2));
    assertThat(knownLimits()).containsOnly(2.0);
    nameNone(members.get(2));
    run(TICK.multipliedBy(2));
    assertThat(knownLimits()).containsOnly(-1.0);
  }

  @Test
  void changesReachHostsAlthoughMessagesAreLost() {
    name(members.get(3), LIMIT);
    network.clear();
    silent.add(members.get(0).id);
    run(Duration.ofMillis(300));
    silent.remove(members.get(0).id);
    run(TICK.multipliedBy(3));
    assertThat(knownLimits()).containsOnly(LIMIT);
  }

  @Test
  void answerToAnOlderRequestDoesNotUndoANewerOneOnAnyHost() {
    long older = members.get(1).engines.nextSendOrder(clock.instant());
    clock.advance(Duration.ofMillis(200));
    name(members.get(3), LIMIT);
    members
        .get(1)
        .engines
        .recordLimit(BOOT, new LimitReading(older, Option.none()), RequestId.of("late"));
    run(TICK.multipliedBy(3));
    assertThat(knownLimits()).containsOnly(LIMIT);
  }

  @Test
  void hostThatWrongsTheOthersIsToldBetter() {
    name(members.get(3), LIMIT);
    run(TICK.multipliedBy(2));
    long older = members.get(1).engines.nextSendOrder(clock.instant());
    clock.advance(Duration.ofMillis(200));
    silent.add(members.get(3).id);
    name(members.get(3), LIMIT);
    members
        .get(1)
        .engines
        .recordLimit(BOOT, new LimitReading(older, Option.none()), RequestId.of("late"));
    run(TICK);
    silent.remove(members.get(3).id);
    run(TICK.multipliedBy(4));
    assertThat(knownLimits()).containsOnly(LIMIT);
  }

  @Test
  void engineThatTakesNothingStillGetsARequestThatShowsTheEndOfItsLimit() {
    name(members.get(3), 0);
    load(members.subList(3, 4), Duration.ofSeconds(16));
    assertThat(starts).hasSizeBetween(1, 4);
    nameNone(members.get(3));
    int before = starts.size();
    load(members.subList(3, 4), Duration.ofSeconds(6));
    assertThat(starts.size() - before).isGreaterThan(20);
  }

  @Test
  void slotGivenBackWithoutARequestCostsNothing() {
    name(members.get(3), 1);
    run(Duration.ofSeconds(2));
    Member host = members.get(4);
    for (int i = 0; i < 20; i++) {
      long number = host.requestSlot();
      deliver();
      assertThat(grants).containsKey(number);
      host.slots.endRun(number, RunEnd.of(RunEnd.How.NOT_SENT));
      deliver();
    }
  }
}
