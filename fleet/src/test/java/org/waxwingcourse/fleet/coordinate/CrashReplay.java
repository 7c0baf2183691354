package org.waxwingcourse.fleet.coordinate;

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
import java.util.TreeMap;
import org.waxwingcourse.fleet.FleetFixtures;
import org.waxwingcourse.fleet.engine.EngineBoot;
import org.waxwingcourse.fleet.engine.EngineEntry;
import org.waxwingcourse.fleet.quarantine.CrashRecordCodec;
import org.waxwingcourse.model.id.HostId;
import org.waxwingcourse.model.id.RequestFingerprint;
import org.waxwingcourse.model.id.ServiceName;
import org.waxwingcourse.model.id.UpstreamId;
import org.waxwingcourse.model.time.ManualClock;
import org.waxwingcourse.wire.fleet.FleetMessage;
import org.waxwingcourse.wire.fleet.SlotAsk;
import org.waxwingcourse.wire.fleet.SlotEnd;

/**
 * Replays requests under which engines crash, beside sound ones, at one coordinator with simulated
 * hosts and engines.
 */
final class CrashReplay {
  /** After its last crash that may count and this time a cause has to be known. */
  static final Duration KNOWN_AFTER = Duration.ofSeconds(3);

  private static final ServiceName SERVICE = ServiceName.of("model");
  private static final int SLOTS = 8;
  private static final int HOSTS = 7;
  private static final int ATTEMPTS = 2;
  private static final long SHARED_PART = 0xaL;
  private static final long FIRST_CAUSE_PART = 0xbad0000L;
  private static final int SUBJECTS = 200;
  private static final Duration PREFILL = Duration.ofMillis(40);
  private static final Duration RUN = Duration.ofMillis(720);
  private static final Duration RESTART = Duration.ofMillis(3500);
  private static final Duration LENGTH = Duration.ofSeconds(53);
  private static final Duration QUEUE_TICK = Duration.ofMillis(20);
  private static final Duration CALLER_PAUSE = Duration.ofMillis(300);

  /** Hosts that receive the same request at once do so within this time. */
  private static final Duration SAME_MOMENT = Duration.ofMillis(50);

  /** What requests that crash engines have in common. */
  enum Cause {
    /** A part of the prompt; the requests differ otherwise. */
    PROMPT_PART,
    /** The request as a whole: it comes again and again, and its prompt has no other odd part. */
    REQUEST,
    /** As {@link #REQUEST}, but the engine sends events before it crashes. */
    REQUEST_AFTER_EVENTS
  }

  /**
   * What is replayed.
   *
   * @param causes number of causes of crashes, which take turns
   * @param crashingPerSecond mean arrivals of crashing requests, of all causes together
   * @param copies number of hosts that receive such a request at the same moment
   * @param callerRepeats whether callers send each failed request once more
   */
  record Scenario(
      Cause cause,
      int engines,
      int causes,
      double crashingPerSecond,
      double soundPerSecond,
      int copies,
      boolean callerRepeats) {}

  private final ManualClock clock = ManualClock.at(Instant.ofEpochSecond(1000));
  private final Coordinator coordinator =
      new Coordinator(FleetFixtures.recordingPeers(this::onMessage), clock);
  private final PriorityQueue<Step> steps =
      new PriorityQueue<>(Comparator.comparing(Step::at).thenComparing(Step::order));
  private final Scenario scenario;
  private final Random random;
  private final Map<Long, Request> requests = new HashMap<>();
  private final List<EngineEntry> engines = new ArrayList<>();

  private final Map<UpstreamId, EngineBoot> boots = new HashMap<>();

  /** The times at which engines ended, and at which such requests were sent, by cause. */
  private final Map<Integer, List<Instant>> crashes = new TreeMap<>();

  private final Map<Integer, List<Instant>> sends = new TreeMap<>();
  private long lastNumber;
  private long lastStep;
  private int lastEngine;
  private int sound;
  private int soundServed;
  private int soundBlamed;
  private int soundLate;
  private int soundLateServed;
  private Duration bystanderDelay = Duration.ZERO;
  private int bystanders;

  private record Step(Instant at, long order, Runnable action) {}

  /** One attempt of a caller. */
  private static final class Request {
    private static final int SOUND = -1;

    private final HostId host;
    private final int cause;
    private final List<Long> parts;
    private final RequestFingerprint fingerprint;
    private final Instant arrivedAt;
    private boolean callerRepeats;
    private int attemptsLeft = ATTEMPTS;
    private UpstreamId engine;
    private boolean hasEvents;
    private boolean askedLate;

    Request(
        HostId host,
        int cause,
        List<Long> parts,
        RequestFingerprint fingerprint,
        boolean callerRepeats,
        Instant arrivedAt) {
      this.host = host;
      this.cause = cause;
      this.parts = parts;
      this.fingerprint = fingerprint;
      this.callerRepeats = callerRepeats;
      this.arrivedAt = arrivedAt;
    }

    private boolean isSound() {
      return cause == SOUND;
    }
  }

  CrashReplay(Scenario scenario, long seed) {
    this.scenario = scenario;
    this.random = new Random(seed);
  }

  CrashReplay run() {
    coordinator.setFleetShare(1);
    for (int i = 0; i < scenario.engines; i++) {
      startEngine();
    }
    scheduleArrivals(scenario.soundPerSecond, this::arriveSound);
    scheduleArrivals(scenario.crashingPerSecond, this::arriveCrashing);
    Instant end = clock.instant().plus(LENGTH);
    while (!steps.isEmpty() && steps.peek().at.isBefore(end)) {
      Step step = steps.poll();
      while (clock.instant().plus(QUEUE_TICK).isBefore(step.at)) {
        clock.advance(QUEUE_TICK);
        coordinator.processQueues();
      }
      clock.advance(Duration.between(clock.instant(), step.at));
      step.action.run();
    }
    return this;
  }

  /** Returns how many engines ended under each cause. */
  List<Integer> crashCounts() {
    return crashes.values().stream().map(List::size).toList();
  }

  /**
   * Returns how many requests with one cause reached engines when it had to be known: the given
   * number of crashes and {@link #KNOWN_AFTER} before; the highest of all causes.
   */
  int sentWhenKnown(int crashesBeforeKnown) {
    int most = 0;
    for (Map.Entry<Integer, List<Instant>> cause : crashes.entrySet()) {
      if (cause.getValue().size() >= crashesBeforeKnown) {
        Instant known = cause.getValue().get(crashesBeforeKnown - 1).plus(KNOWN_AFTER);
        long late = sends.get(cause.getKey()).stream().filter(known::isBefore).count();
        most = Math.max(most, (int) late);
      }
    }
    return most;
  }

  /** Returns the share of the sound requests of the second half that were served. */
  double soundServedLate() {
    return (double) soundLateServed / soundLate;
  }

  /** Returns the share of all sound requests that were served. */
  double soundServed() {
    return (double) soundServed / sound;
  }

  /** Returns the share of sound requests that were refused since engines crash. */
  double soundBlamed() {
    return (double) soundBlamed / sound;
  }

  /** Returns the mean time from arrival to the end of sound requests that met a crash. */
  Duration meanBystanderTime() {
    return bystanders == 0 ? Duration.ZERO : bystanderDelay.dividedBy(bystanders);
  }

  private void schedule(Duration later, Runnable action) {
    steps.add(new Step(clock.instant().plus(later), ++lastStep, action));
  }

  private void scheduleArrivals(double perSecond, Runnable arrival) {
    double at = 0;
    while (at < LENGTH.toSeconds()) {
      at -= Math.log(1 - random.nextDouble()) / perSecond;
      schedule(Duration.ofNanos((long) (at * 1e9)), arrival);
    }
  }

  private HostId anyHost() {
    return HostId.of("host-" + random.nextInt(HOSTS));
  }

  private void arriveSound() {
    long subject = 1000 + random.nextInt(SUBJECTS);
    RequestFingerprint own = new RequestFingerprint(random.nextLong(), random.nextLong(), 1);
    Request request =
        new Request(
            anyHost(),
            Request.SOUND,
            List.of(SHARED_PART, subject, random.nextLong()),
            own,
            scenario.callerRepeats,
            clock.instant());
    request.askedLate =
        clock.instant().isAfter(Instant.ofEpochSecond(1000).plus(LENGTH.dividedBy(2)));
    sound++;
    soundLate += request.askedLate ? 1 : 0;
    ask(request);
  }

  private void arriveCrashing() {
    int cause = random.nextInt(scenario.causes);
    for (int i = 0; i < scenario.copies; i++) {
      Duration later = SAME_MOMENT.multipliedBy(i).dividedBy(scenario.copies);
      schedule(later, () -> ask(crashing(cause, scenario.callerRepeats)));
    }
  }

  private Request crashing(int cause, boolean callerRepeats) {
    boolean byPart = scenario.cause == Cause.PROMPT_PART;
    long causePart = FIRST_CAUSE_PART + cause;
    List<Long> parts =
        byPart
            ? List.of(SHARED_PART, causePart, random.nextLong())
            : List.of(SHARED_PART, causePart);
    RequestFingerprint fingerprint =
        byPart
            ? new RequestFingerprint(random.nextLong(), random.nextLong(), 1)
            : new RequestFingerprint(causePart, causePart, 1);
    return new Request(anyHost(), cause, parts, fingerprint, callerRepeats, clock.instant());
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
            .setFingerprint(CrashRecordCodec.encode(request.fingerprint))
            .setDataCentre("a");
    coordinator.onAsk(request.host, ask.build());
  }

  private void onMessage(HostId to, FleetMessage message) {
    if (message.hasGrant()) {
      long number = message.getGrant().getNumber();
      onGrant(number, UpstreamId.of(message.getGrant().getEngine()));
    } else if (message.hasRefusal()) {
      Request request = requests.remove(message.getRefusal().getNumber());
      boolean blamed = message.getRefusal().getQuarantined();
      soundBlamed += request.isSound() && blamed ? 1 : 0;
      repeatAsCaller(request);
    }
  }

  private void onGrant(long number, UpstreamId engine) {
    Request request = requests.get(number);
    request.engine = engine;
    if (engines.stream().noneMatch(e -> e.id().equals(engine))) {
      end(number, SlotEnd.How.ENGINE_LOST, false);
      retry(number, true);
      return;
    }
    if (request.isSound()) {
      schedule(PREFILL, () -> request.hasEvents |= engine.equals(request.engine));
      schedule(RUN, () -> complete(number, engine));
    } else {
      sends.computeIfAbsent(request.cause, c -> new ArrayList<>()).add(clock.instant());
      boolean eventsFirst = scenario.cause == Cause.REQUEST_AFTER_EVENTS;
      if (eventsFirst) {
        schedule(PREFILL, () -> request.hasEvents |= engine.equals(request.engine));
      }
      schedule(PREFILL.multipliedBy(eventsFirst ? 2 : 1), () -> crash(engine, request.cause));
    }
  }

  private void complete(long number, UpstreamId engine) {
    Request request = requests.get(number);
    if (request != null && engine.equals(request.engine)) {
      end(number, SlotEnd.How.WHOLE, false);
      requests.remove(number);
      soundServed++;
      soundLateServed += request.askedLate ? 1 : 0;
      recordBystander(request);
    }
  }

  private void recordBystander(Request request) {
    if (request.attemptsLeft < ATTEMPTS) {
      bystanders++;
      bystanderDelay = bystanderDelay.plus(Duration.between(request.arrivedAt, clock.instant()));
    }
  }

  private void crash(UpstreamId engine, int cause) {
    if (engines.removeIf(e -> e.id().equals(engine))) {
      crashes.computeIfAbsent(cause, c -> new ArrayList<>()).add(clock.instant());
      schedule(RESTART, this::startEngine);
      List<Long> broken =
          requests.entrySet().stream()
              .filter(e -> engine.equals(e.getValue().engine))
              .map(Map.Entry::getKey)
              .sorted()
              .toList();
      broken.forEach(n -> end(n, SlotEnd.How.ENGINE_LOST, true));
      broken.forEach(n -> retry(n, false));
    }
  }

  private void end(long number, SlotEnd.How how, boolean brokenOff) {
    Request request = requests.get(number);
    EngineBoot boot = boots.get(request.engine);
    request.engine = null;
    SlotEnd.Builder end =
        SlotEnd.newBuilder()
            .setNumber(number)
            .setHow(how)
            .setBrokenOff(brokenOff)
            .setFirstEventNanos(request.hasEvents ? PREFILL.toNanos() : 0);
    if (brokenOff) {
      end.setFingerprint(CrashRecordCodec.encode(request.fingerprint)).setEngineBoot(boot.hash());
    }
    request.hasEvents = false;
    coordinator.onEnd(request.host, end.build());
  }

  private void retry(long number, boolean unreached) {
    Request request = requests.remove(number);
    if (request == null) {
      return;
    }
    request.attemptsLeft -= unreached ? 0 : 1;
    if (request.attemptsLeft > 0) {
      schedule(Duration.ofMillis(unreached ? 30 : 2), () -> ask(request));
    } else {
      repeatAsCaller(request);
    }
  }

  private void repeatAsCaller(Request request) {
    if (!request.callerRepeats) {
      return;
    }
    Request repeated =
        new Request(
            anyHost(), request.cause, request.parts, request.fingerprint, false, request.arrivedAt);
    repeated.askedLate = request.askedLate;
    schedule(CALLER_PAUSE, () -> ask(repeated));
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
    boots.put(id, engines.get(engines.size() - 1).boot());
    coordinator.setEngines(List.copyOf(engines));
  }
}
