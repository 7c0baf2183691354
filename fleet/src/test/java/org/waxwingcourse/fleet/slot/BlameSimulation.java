package org.waxwingcourse.fleet.slot;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.function.Supplier;
import org.waxwingcourse.model.id.HostId;
import org.waxwingcourse.model.id.UpstreamId;

/**
 * Simulates engines that crash under some prompt parts and for other reasons, the messages that a
 * coordinator receives about them, and the refusal of prompts on which there is a verdict.
 */
final class BlameSimulation {
  private static final int SLOTS = 8;
  private static final int DATA_CENTRES = 3;
  private static final int ATTEMPTS = 2;
  private static final int SECOND_PARTS = 300;
  private static final long FIRST_CRASHING_PART = 1_000_000;
  private static final long FIRST_OWN_PART = 1_000_000_000;
  private static final Duration TICK = Duration.ofMillis(20);
  private static final Duration RESTART = Duration.ofMillis(3500);
  private static final Duration DELISTED = Duration.ofMillis(3000);
  private static final Duration LISTED_AGAIN = Duration.ofMillis(1000);
  private static final double PEAK_PERIOD = 6.6;
  private static final double LOW = 0.38;
  private static final double HIGH = 1.84;
  private static final double MEAN_RUN = 0.8;
  private static final double MISSING_MESSAGES = 0.01;
  private static final int MAX_WAITS = 20;
  private static final int FAILURES_TO_EJECT = 3;
  private static final int CRASHES_BEFORE_KNOWN = 5;
  private static final Duration KNOWN_AFTER = Duration.ofSeconds(3);

  /** Time after which one request is let through; it doubles with each further crash. */
  private static final Duration PROBE_AFTER = Duration.ofSeconds(10);

  private static final Duration LONG_AFTER_PROBE = Duration.ofSeconds(30);

  /** Faults beside the crashing parts. */
  enum Trouble {
    NONE,
    ONE_IN_SIX,
    DATA_CENTRE,
    ALL_ENGINES,
    TWICE,
    MIXED
  }

  /**
   * What is simulated.
   *
   * @param load mean of the slots in use as a part of all
   * @param lostAnswers part of the answers that break off alone
   * @param crashingFrom time of the first request with a crashing part
   */
  record Scenario(
      String name,
      int engines,
      int hosts,
      int firstParts,
      int crashingParts,
      double crashingPerSecond,
      double load,
      double lostAnswers,
      Trouble trouble,
      Duration crashingFrom,
      Duration length) {}

  /** What is done with the requests whose parts are under suspicion. */
  enum Suspects {
    /** Nothing. */
    ANYWHERE,
    /** They are placed on the engines with the fewest other suspects. */
    APART,
    /** One with a part that has not been seen sound waits until no other runs, for a time. */
    ONE_AT_A_TIME
  }

  /** A method and what is done with suspects. */
  record Way(String name, Supplier<BlameMethod> method, Suspects suspects) {}

  /**
   * What was seen.
   *
   * @param crashesBefore most crashes under one part before a verdict on it
   * @param crashes engines that ended under crashing parts
   * @param sentWhenKnown most requests with one crashing part that reached engines later than the
   *     time in which it has to be known after its fifth crash
   * @param soundVerdicts verdicts without a crashing part
   * @param soundRefused sound requests refused for a verdict
   * @param sound all sound requests
   * @param soundVerdictsLeft those that still held at the end, long after a probe
   * @param longestSoundVerdict longest time for which such a verdict held
   */
  record Result(
      int crashesBefore,
      int crashes,
      int sentWhenKnown,
      int soundVerdicts,
      int soundRefused,
      int sound,
      int soundVerdictsLeft,
      Duration longestSoundVerdict) {}

  private record Step(Instant at, long order, Runnable action) {}

  private static final class Engine {
    private final UpstreamId id;
    private final int dataCentre;
    private final Map<RunId, Request> runs = new LinkedHashMap<>();
    private boolean alive = true;
    private boolean listed = true;
    private int failures;

    Engine(UpstreamId id, int dataCentre) {
      this.id = id;
      this.dataCentre = dataCentre;
    }
  }

  private static final class Request {
    private final HostId host;
    private final List<Long> parts;
    private final boolean crashing;
    private final boolean callerRepeats;
    private int attemptsLeft = ATTEMPTS;
    private RunId run;
    private Engine engine;
    private boolean hasEvent;
    private int waits;

    Request(HostId host, List<Long> parts, boolean crashing, boolean callerRepeats) {
      this.host = host;
      this.parts = parts;
      this.crashing = crashing;
      this.callerRepeats = callerRepeats;
    }
  }

  private static final class Refusal {
    private final boolean sound;
    private final Instant since;
    private Duration patience = PROBE_AFTER;
    private Instant probeAt;
    private Instant probedAt = Instant.MAX;

    Refusal(boolean sound, Instant now) {
      this.sound = sound;
      this.since = now;
      this.probeAt = now.plus(PROBE_AFTER);
    }

    private boolean isProbedBefore(Instant end) {
      return probedAt.isBefore(end.minus(LONG_AFTER_PROBE));
    }
  }

  private final Scenario scenario;
  private final Way way;
  private final Random random;
  private final PriorityQueue<Step> steps =
      new PriorityQueue<>(Comparator.comparing(Step::at).thenComparing(Step::order));
  private final List<Engine> engines = new ArrayList<>();
  private final Map<RunId, Request> known = new LinkedHashMap<>();
  private final Map<Set<Long>, Refusal> refusals = new HashMap<>();
  private final Map<Long, Integer> crashesByPart = new HashMap<>();
  private final Set<Long> seenSound = new HashSet<>();
  private final Set<Long> condemned = new HashSet<>();
  private final Map<Long, Integer> crashesBefore = new HashMap<>();
  private final Map<Long, Instant> fifthCrash = new HashMap<>();
  private final Map<Long, Integer> sentWhenKnown = new HashMap<>();
  private final Instant start = Instant.ofEpochSecond(1000);
  private Instant now = start;
  private BlameMethod method;
  private long lastNumber;
  private long lastStep;
  private int lastEngine;
  private int soundVerdicts;
  private int soundRefused;
  private int sound;
  private Duration longestSoundVerdict = Duration.ZERO;

  private BlameSimulation(Scenario scenario, Way way, long seed) {
    this.scenario = scenario;
    this.way = way;
    this.random = new Random(seed);
    this.method = way.method.get();
  }

  /** Runs a scenario once. */
  static Result run(Scenario scenario, Way way, long seed) {
    return new BlameSimulation(scenario, way, seed).run();
  }

  private Result run() {
    for (int i = 0; i < scenario.engines; i++) {
      startEngine(i % DATA_CENTRES);
    }
    double perSecond = scenario.load * scenario.engines * SLOTS / MEAN_RUN;
    scheduleArrivals(perSecond, Duration.ZERO, false);
    if (scenario.crashingParts > 0) {
      scheduleArrivals(scenario.crashingPerSecond, scenario.crashingFrom, true);
    }
    scheduleTroubles();
    schedule(TICK, this::tick);
    Instant end = start.plus(scenario.length);
    while (!steps.isEmpty() && steps.peek().at.isBefore(end)) {
      Step step = steps.poll();
      now = step.at;
      step.action.run();
    }
    now = end;
    refusals.values().forEach(this::recordDuration);
    int before =
        crashesByPart.keySet().stream()
            .mapToInt(p -> crashesBefore.getOrDefault(p, crashesByPart.get(p)))
            .max()
            .orElse(0);
    return new Result(
        before,
        crashesByPart.values().stream().mapToInt(Integer::intValue).sum(),
        sentWhenKnown.values().stream().mapToInt(Integer::intValue).max().orElse(0),
        soundVerdicts,
        soundRefused,
        sound,
        (int) refusals.values().stream().filter(r -> r.sound && r.isProbedBefore(end)).count(),
        longestSoundVerdict);
  }

  private void schedule(Duration later, Runnable action) {
    steps.add(new Step(now.plus(later), ++lastStep, action));
  }

  private void tick() {
    apply(method.update(now));
    schedule(TICK, this::tick);
  }

  private static Duration seconds(double value) {
    return Duration.ofNanos((long) (value * 1e9));
  }

  // Arrivals

  private void scheduleArrivals(double perSecond, Duration from, boolean crashing) {
    schedule(from, () -> nextArrival(perSecond, crashing));
  }

  /** Draws arrivals at the highest rate and drops those above the rate of the moment. */
  private void nextArrival(double perSecond, boolean crashing) {
    double gap = -Math.log(1 - random.nextDouble()) / (perSecond * HIGH);
    schedule(
        seconds(gap),
        () -> {
          if (random.nextDouble() * HIGH < loadFactor()) {
            arrive(newRequest(crashing));
          }
          nextArrival(perSecond, crashing);
        });
  }

  private double loadFactor() {
    double t = Duration.between(start, now).toNanos() / 1e9;
    double middle = (LOW + HIGH) / 2;
    return middle + (HIGH - LOW) / 2 * Math.sin(2 * Math.PI * t / PEAK_PERIOD);
  }

  private Request newRequest(boolean crashing) {
    HostId host = HostId.of("host-" + random.nextInt(scenario.hosts));
    long first = 1 + random.nextInt(scenario.firstParts);
    long second =
        crashing
            ? FIRST_CRASHING_PART + random.nextInt(scenario.crashingParts)
            : 1000 + random.nextInt(SECOND_PARTS);
    return new Request(host, List.of(first, second, ownPart()), crashing, random.nextBoolean());
  }

  private long ownPart() {
    return FIRST_OWN_PART + random.nextInt(1_000_000_000);
  }

  private void arrive(Request request) {
    sound += request.crashing ? 0 : 1;
    ask(request, Set.of());
  }

  private void ask(Request request, Set<Engine> avoided) {
    if (isRefused(request.parts)) {
      soundRefused += request.crashing ? 0 : 1;
      return;
    }
    if (way.suspects == Suspects.ONE_AT_A_TIME && mustWait(request)) {
      request.waits++;
      schedule(TICK, () -> ask(request, avoided));
      return;
    }
    request.waits = 0;
    Engine engine = select(request, avoided);
    if (engine == null) {
      return;
    }
    RunId run = new RunId(request.host, ++lastNumber);
    request.run = run;
    request.engine = engine;
    request.hasEvent = false;
    known.put(run, request);
    method.recordStart(run, engine.id, request.parts, now);
    engine.runs.put(run, request);
    if (!engine.alive) {
      schedule(seconds(0.005), () -> end(request, run, RunEnd.How.ENGINE_LOST));
      return;
    }
    countIfKnown(request);
    double prefill = 0.03 + 0.08 * random.nextDouble();
    double whole = prefill + 0.3 + 0.8 * random.nextDouble();
    if (request.crashing) {
      schedule(seconds(prefill), () -> crashUnder(request, run));
      return;
    }
    schedule(seconds(prefill), () -> request.hasEvent |= run.equals(request.run));
    schedule(seconds(whole), () -> end(request, run, RunEnd.How.WHOLE));
    if (random.nextDouble() < scenario.lostAnswers) {
      double at = whole * random.nextDouble();
      schedule(seconds(at), () -> end(request, run, RunEnd.How.ENGINE_BROKE_OFF));
    }
  }

  private void countIfKnown(Request request) {
    Long part = request.parts.get(1);
    Instant fifth = fifthCrash.get(part);
    if (fifth != null && now.isAfter(fifth.plus(KNOWN_AFTER))) {
      sentWhenKnown.merge(part, 1, Integer::sum);
    }
  }

  private Engine select(Request request, Set<Engine> avoided) {
    boolean apart = way.suspects == Suspects.APART && method.isSuspect(request.parts);
    return engines.stream()
        .filter(e -> e.listed && e.failures < FAILURES_TO_EJECT && e.runs.size() < SLOTS)
        .filter(e -> !avoided.contains(e))
        .min(
            Comparator.comparingLong((Engine e) -> apart ? countSuspects(e) : 0)
                .thenComparing(e -> e.runs.size())
                .thenComparing(e -> e.id))
        .orElse(null);
  }

  private boolean mustWait(Request request) {
    if (request.waits >= MAX_WAITS || !method.isSuspect(request.parts)) {
      return false;
    }
    List<Long> unproven =
        request.parts.subList(0, 2).stream().filter(p -> !seenSound.contains(p)).toList();
    return known.values().stream().anyMatch(r -> r.parts.stream().anyMatch(unproven::contains));
  }

  private long countSuspects(Engine engine) {
    return engine.runs.values().stream().filter(r -> method.isSuspect(r.parts)).count();
  }

  // Ends

  /** Ends a run at its engine; the coordinator hears of it later or not at all. */
  private void end(Request request, RunId run, RunEnd.How how) {
    if (!run.equals(request.run)) {
      return;
    }
    Engine engine = request.engine;
    Duration delay = request.hasEvent ? Duration.ofMillis(60) : Duration.ZERO;
    request.run = null;
    Duration later = messageDelay();
    boolean missing = random.nextDouble() < MISSING_MESSAGES;
    schedule(
        later,
        () -> {
          engine.runs.remove(run);
          if (known.remove(run) != null && !missing) {
            engine.failures += how == RunEnd.How.ENGINE_LOST ? 1 : 0;
            if (!delay.isZero()) {
              seenSound.addAll(request.parts.subList(0, 2));
              lift(request.parts);
            }
            apply(method.recordEnd(run, new RunEnd(how, delay, Duration.ZERO, 0), now));
          } else if (missing) {
            schedule(LISTED_AGAIN, () -> method.forgetRun(run));
          }
          if (how != RunEnd.How.WHOLE) {
            repeat(request, engine, how);
          }
        });
  }

  /** Messages of a large fleet take up to some hundred milliseconds, of a small one a few. */
  private Duration messageDelay() {
    double mean = scenario.hosts > 100 ? 0.08 : 0.005;
    return seconds(0.002 + Math.min(0.5, -Math.log(1 - random.nextDouble()) * mean));
  }

  private void repeat(Request request, Engine engine, RunEnd.How how) {
    request.attemptsLeft -= how == RunEnd.How.ENGINE_LOST ? 0 : 1;
    if (request.attemptsLeft > 0) {
      ask(request, Set.of(engine));
    } else if (request.callerRepeats) {
      List<Long> parts = List.of(request.parts.get(0), request.parts.get(1), ownPart());
      Request repeated = new Request(request.host, parts, request.crashing, false);
      schedule(seconds(0.2 + random.nextDouble()), () -> arrive(repeated));
    }
  }

  private void crashUnder(Request request, RunId run) {
    if (!run.equals(request.run) || !request.engine.alive) {
      return;
    }
    Long part = request.parts.get(1);
    if (crashesByPart.merge(part, 1, Integer::sum) == CRASHES_BEFORE_KNOWN) {
      fifthCrash.put(part, now);
    }
    crash(request.engine);
  }

  private void crash(Engine engine) {
    if (!engine.alive) {
      return;
    }
    engine.alive = false;
    engine.runs.forEach((run, request) -> end(request, run, RunEnd.How.ENGINE_BROKE_OFF));
    schedule(DELISTED, () -> delist(engine));
    schedule(RESTART, () -> startEngine(engine.dataCentre));
  }

  private void delist(Engine engine) {
    engine.listed = false;
    engines.remove(engine);
    method.removeEngine(engine.id);
  }

  private void startEngine(int dataCentre) {
    engines.add(new Engine(UpstreamId.of("engine-" + ++lastEngine), dataCentre));
  }

  // Faults

  private void scheduleTroubles() {
    switch (scenario.trouble) {
      case ONE_IN_SIX -> schedule(seconds(20), this::crashOneInSix);
      case DATA_CENTRE -> schedule(seconds(20), this::crashDataCentre);
      case ALL_ENGINES -> schedule(seconds(20), this::crashAll);
      case TWICE -> {
        schedule(seconds(20), this::crashOneInSix);
        schedule(seconds(21.5), this::crashDataCentre);
      }
      case MIXED -> nextTrouble();
      default -> {}
    }
  }

  private void nextTrouble() {
    schedule(
        seconds(3 + 14 * random.nextDouble()),
        () -> {
          switch (random.nextInt(7)) {
            case 0 -> crashOneInSix();
            case 1 -> crashDataCentre();
            case 2 -> crashAll();
            case 3 -> {
              crashOneInSix();
              schedule(seconds(0.3 + 3 * random.nextDouble()), this::crashOneInSix);
            }
            case 4 -> restartHost();
            case 5 -> engines.stream().findAny().ifPresent(this::silence);
            default -> changeCoordinator();
          }
          nextTrouble();
        });
  }

  private void crashSome(List<Engine> some) {
    some.forEach(e -> schedule(seconds(0.25 * random.nextDouble()), () -> crash(e)));
  }

  private void crashOneInSix() {
    crashSome(
        engines.stream().filter(e -> e.alive).limit(Math.max(1, scenario.engines / 6)).toList());
  }

  private void crashDataCentre() {
    int dataCentre = random.nextInt(DATA_CENTRES);
    crashSome(engines.stream().filter(e -> e.dataCentre == dataCentre).toList());
  }

  private void crashAll() {
    crashSome(List.copyOf(engines));
  }

  private void silence(Engine engine) {
    if (engine.alive) {
      engine.alive = false;
      engine.runs.forEach(
          (run, request) -> schedule(seconds(2), () -> end(request, run, RunEnd.How.ENGINE_LOST)));
      schedule(DELISTED, () -> delist(engine));
      schedule(RESTART, () -> startEngine(engine.dataCentre));
    }
  }

  private void restartHost() {
    HostId host = HostId.of("host-" + random.nextInt(scenario.hosts));
    method.removeHost(host);
    List<Request> lost =
        known.values().stream().filter(r -> r.host.equals(host) && r.run != null).toList();
    known.values().removeIf(r -> r.host.equals(host));
    for (Request request : lost) {
      request.engine.runs.remove(request.run);
      request.run = null;
    }
  }

  private void changeCoordinator() {
    method = way.method.get();
    known.forEach((run, r) -> method.recordStart(run, r.engine.id, r.parts, now));
  }

  // Verdicts

  private void apply(List<Set<Long>> verdicts) {
    for (Set<Long> verdict : verdicts) {
      verdict.stream().filter(p -> p >= FIRST_CRASHING_PART).forEach(this::condemn);
      Refusal refusal = refusals.get(verdict);
      boolean isSound = verdict.stream().noneMatch(p -> p >= FIRST_CRASHING_PART);
      if (refusal == null) {
        refusals.put(verdict, new Refusal(isSound, now));
        soundVerdicts += isSound ? 1 : 0;
      } else if (!refusal.probeAt.isAfter(now)) {
        refusal.patience = refusal.patience.multipliedBy(2);
        refusal.probeAt = now.plus(refusal.patience);
      }
    }
  }

  private void condemn(long part) {
    if (condemned.add(part)) {
      crashesBefore.put(part, crashesByPart.getOrDefault(part, 0));
    }
  }

  private boolean isRefused(List<Long> parts) {
    boolean refused = false;
    for (Refusal refusal : refusalsOf(parts)) {
      if (refusal.probeAt.isAfter(now)) {
        refused = true;
      } else {
        refusal.probedAt = now;
        refusal.patience = refusal.patience.multipliedBy(2);
        refusal.probeAt = now.plus(refusal.patience);
      }
    }
    return refused;
  }

  private List<Refusal> refusalsOf(List<Long> parts) {
    return refusals.entrySet().stream()
        .filter(e -> parts.containsAll(e.getKey()))
        .map(Map.Entry::getValue)
        .toList();
  }

  /** Ends the refusals that an event has disproved; what is left of them is a new verdict. */
  private void lift(List<Long> parts) {
    List<Set<Long>> lifted =
        refusals.keySet().stream().filter(v -> v.stream().anyMatch(parts::contains)).toList();
    lifted.forEach(v -> recordDuration(refusals.remove(v)));
  }

  private void recordDuration(Refusal refusal) {
    Duration held = Duration.between(refusal.since, now);
    if (refusal.sound && held.compareTo(longestSoundVerdict) > 0) {
      longestSoundVerdict = held;
    }
  }
}
