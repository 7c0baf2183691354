package org.waxwingcourse.fleet.coordinate;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.waxwingcourse.fleet.FleetFixtures;
import org.waxwingcourse.fleet.engine.EngineEntry;
import org.waxwingcourse.model.id.HostId;
import org.waxwingcourse.model.id.ServiceName;
import org.waxwingcourse.model.id.UpstreamId;
import org.waxwingcourse.model.time.ManualClock;
import org.waxwingcourse.wire.fleet.FleetMessage;
import org.waxwingcourse.wire.fleet.SlotAsk;
import org.waxwingcourse.wire.fleet.SlotEnd;

/** Replays requests with one prompt part under which every engine crashes, beside sound ones. */
class CrashingPromptPartTest {
  private static final ServiceName SERVICE = ServiceName.of("model");
  private static final int ENGINES = 6;
  private static final int SLOTS = 8;
  private static final int HOSTS = 7;
  private static final int ATTEMPTS = 2;
  private static final long CRASHING_PART = 0xbadL;
  private static final long SHARED_PART = 0xaL;
  private static final int SUBJECTS = 200;

  private static final Duration PREFILL = Duration.ofMillis(40);
  private static final Duration RUN = Duration.ofMillis(720);
  private static final Duration RESTART = Duration.ofMillis(3500);
  private static final Duration LENGTH = Duration.ofSeconds(53);
  private static final double SOUND_PER_SECOND = 20;
  private static final double CRASHING_PER_SECOND = 1;

  /** After the fifth crash and this time at most three more may reach an engine. */
  private static final Duration KNOWN_AFTER = Duration.ofSeconds(3);

  private static final int CRASHES_BEFORE_KNOWN = 5;
  private static final int MAX_SENT_WHEN_KNOWN = 3;

  private final ManualClock clock = ManualClock.at(Instant.ofEpochSecond(1000));
  private final Coordinator coordinator =
      new Coordinator(FleetFixtures.recordingPeers(this::onMessage), clock);
  private final PriorityQueue<Step> steps =
      new PriorityQueue<>(Comparator.comparing(Step::at).thenComparing(Step::order));
  private final Map<Long, Request> requests = new HashMap<>();
  private final List<EngineEntry> engines = new ArrayList<>();
  private final List<Instant> crashes = new ArrayList<>();
  private final List<Instant> crashingSends = new ArrayList<>();
  private int soundAskedWhenKnown;
  private int soundStartedWhenKnown;
  private long lastNumber;
  private int lastEngine;

  private record Step(Instant at, long order, Runnable action) {}

  /** One attempt of a caller. */
  private static final class Request {
    private final HostId host;
    private final boolean crashing;
    private final List<Long> parts;
    private int attemptsLeft = ATTEMPTS;
    private UpstreamId engine;
    private boolean hasEvents;
    private boolean askedWhenKnown;

    Request(HostId host, boolean crashing, List<Long> parts) {
      this.host = host;
      this.crashing = crashing;
      this.parts = parts;
    }
  }

  private void schedule(Duration later, Runnable action) {
    steps.add(new Step(clock.instant().plus(later), steps.size() + lastNumber, action));
  }

  private void onMessage(HostId to, FleetMessage message) {
    if (message.hasGrant()) {
      long number = message.getGrant().getNumber();
      onGrant(number, UpstreamId.of(message.getGrant().getEngine()));
    } else if (message.hasRefusal()) {
      requests.remove(message.getRefusal().getNumber());
    }
  }

  private void onGrant(long number, UpstreamId engine) {
    Request request = requests.get(number);
    request.engine = engine;
    if (engines.stream().noneMatch(e -> e.id().equals(engine))) {
      end(number, SlotEnd.How.ENGINE_LOST, false);
      return;
    }
    if (request.crashing) {
      crashingSends.add(clock.instant());
      schedule(PREFILL, () -> crash(engine));
    } else {
      soundStartedWhenKnown += request.askedWhenKnown && request.attemptsLeft == ATTEMPTS ? 1 : 0;
      schedule(PREFILL, () -> request.hasEvents |= engine.equals(request.engine));
      schedule(RUN, () -> endIfOn(number, engine));
    }
  }

  private void endIfOn(long number, UpstreamId engine) {
    Request request = requests.get(number);
    if (request != null && engine.equals(request.engine)) {
      end(number, SlotEnd.How.WHOLE, false);
      requests.remove(number);
    }
  }

  private void crash(UpstreamId engine) {
    if (engines.removeIf(e -> e.id().equals(engine))) {
      crashes.add(clock.instant());
      schedule(RESTART, this::startEngine);
      List<Long> broken =
          requests.entrySet().stream()
              .filter(e -> engine.equals(e.getValue().engine))
              .map(Map.Entry::getKey)
              .sorted()
              .toList();
      broken.forEach(n -> end(n, SlotEnd.How.ENGINE_LOST, true));
      broken.forEach(this::retry);
    }
  }

  private void end(long number, SlotEnd.How how, boolean brokenOff) {
    Request request = requests.get(number);
    request.engine = null;
    SlotEnd.Builder end =
        SlotEnd.newBuilder()
            .setNumber(number)
            .setHow(how)
            .setBrokenOff(brokenOff)
            .setFirstEventNanos(request.hasEvents ? PREFILL.toNanos() : 0);
    request.hasEvents = false;
    coordinator.onEnd(request.host, end.build());
  }

  private void retry(long number) {
    Request request = requests.remove(number);
    request.attemptsLeft--;
    if (request.attemptsLeft > 0) {
      ask(request);
    }
  }

  private void arrive(Request request) {
    if (!request.crashing && isKnownFor(KNOWN_AFTER.multipliedBy(2))) {
      request.askedWhenKnown = true;
      soundAskedWhenKnown++;
    }
    ask(request);
  }

  /** Returns whether the last crash that may count has been this long ago. */
  private boolean isKnownFor(Duration span) {
    if (crashes.isEmpty()) {
      return false;
    }
    int last = Math.min(crashes.size(), CRASHES_BEFORE_KNOWN) - 1;
    return clock.instant().isAfter(crashes.get(last).plus(span));
  }

  private void ask(Request request) {
    long number = ++lastNumber;
    requests.put(number, request);
    SlotAsk.Builder ask =
        SlotAsk.newBuilder()
            .setNumber(number)
            .setRequest("r" + number)
            .setService(SERVICE.value())
            .setStartWithinNanos(Duration.ofMillis(216).toNanos())
            .setGiveUpWithinNanos(Duration.ofSeconds(2).toNanos())
            .addAllPromptParts(request.parts)
            .setDataCentre("a");
    coordinator.onAsk(request.host, ask.build());
  }

  private void startEngine() {
    UpstreamId id = UpstreamId.of("engine-" + ++lastEngine);
    engines.add(
        new EngineEntry(
            id,
            SERVICE,
            new InetSocketAddress("127.0.0.1", lastEngine),
            FleetFixtures.DATA_CENTRE,
            SLOTS,
            false,
            clock.instant().toEpochMilli()));
    coordinator.setEngines(List.copyOf(engines));
  }

  private void replay(Random random) {
    coordinator.setFleetShare(1);
    for (int i = 0; i < ENGINES; i++) {
      startEngine();
    }
    arrive(random, SOUND_PER_SECOND, false);
    arrive(random, CRASHING_PER_SECOND, true);
    Instant end = clock.instant().plus(LENGTH);
    while (!steps.isEmpty() && steps.peek().at.isBefore(end)) {
      Step step = steps.poll();
      while (clock.instant().plusMillis(20).isBefore(step.at)) {
        clock.advance(Duration.ofMillis(20));
        coordinator.processQueues();
      }
      clock.advance(Duration.between(clock.instant(), step.at));
      step.action.run();
    }
  }

  private void arrive(Random random, double perSecond, boolean crashing) {
    double at = 0;
    while (at < LENGTH.toSeconds()) {
      at -= Math.log(1 - random.nextDouble()) / perSecond;
      HostId host = HostId.of("host-" + random.nextInt(HOSTS));
      long subject = crashing ? CRASHING_PART : 1000 + random.nextInt(SUBJECTS);
      long own = random.nextLong();
      Request request = new Request(host, crashing, List.of(SHARED_PART, subject, own));
      schedule(Duration.ofNanos((long) (at * 1e9)), () -> arrive(request));
    }
  }

  private long sentWhenKnown() {
    if (crashes.size() < CRASHES_BEFORE_KNOWN) {
      return 0;
    }
    Instant known = crashes.get(CRASHES_BEFORE_KNOWN - 1).plus(KNOWN_AFTER);
    return crashingSends.stream().filter(s -> s.isAfter(known)).count();
  }

  @ParameterizedTest
  @ValueSource(longs = {0, 1, 2, 3, 4})
  void promptPartThatCrashesEnginesIsKeptFromThem(long seed) {
    replay(new Random(seed));
    assertThat(sentWhenKnown()).isLessThanOrEqualTo(MAX_SENT_WHEN_KNOWN);
    assertThat(soundStartedWhenKnown).isGreaterThan(soundAskedWhenKnown / 2);
  }
}
