package org.waxwingcourse.policy.queue;

import java.time.Duration;
import java.time.InstantSource;
import java.util.HashMap;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.function.Function;
import org.waxwingcourse.model.id.OrganisationId;
import org.waxwingcourse.model.id.RequestId;
import org.waxwingcourse.model.request.WorkClass;
import org.waxwingcourse.model.time.Deadline;

/** One engine behind its queue, under online traffic and, if wanted, endless batch work. */
final class QueueRun {
  static final int SLOTS = 32;
  private static final double OBJECTIVE_MILLIS = 1600;
  private static final Duration START_BY = Duration.ofMillis(1300);
  private static final Duration FOREVER = Duration.ofDays(1);
  private static final double HOP_MILLIS = 3;
  private static final double WARM_UP_MILLIS = 120_000;

  final Figures firstToken = new Figures();
  final Figures gaps = new Figures();
  final Figures refusalMillis = new Figures();
  final Map<String, Figures> firstByOrganisation = new TreeMap<>();
  final Map<String, Integer> servedByOrganisation = new TreeMap<>();
  int good;
  int refused;
  int maxWaiting;
  long onlineTokens;
  long batchTokens;
  int yields;

  private final Simulation simulation = new Simulation();
  private final SimEngine engine = new SimEngine(simulation, this::token, this::ended);
  private final Map<String, SimRequest> requests = new HashMap<>();
  private final EngineQueue queue;
  private final boolean batch;
  private int sequence;
  private Duration startBy = START_BY;
  private boolean shared;

  private QueueRun(boolean batch, Function<InstantSource, EngineQueue> queue) {
    this.batch = batch;
    this.queue = queue.apply(simulation.clock());
  }

  static QueueRun of(boolean batch) {
    return of(batch, QueueLimits.ofSlots(SLOTS));
  }

  static QueueRun of(boolean batch, QueueLimits limits) {
    return new QueueRun(batch, clock -> EngineQueue.of(limits, clock));
  }

  static QueueRun withFixedStreamLimit(int streams) {
    QueueLimits limits = QueueLimits.ofSlots(SLOTS);
    return new QueueRun(true, clock -> EngineQueue.withFixedStreamLimit(limits, clock, streams));
  }

  /** Accepts whatever comes and lets it wait. */
  QueueRun withoutRefusals() {
    startBy = FOREVER;
    return this;
  }

  /** Puts all organisations into one line, first come, first served. */
  QueueRun inOneLine() {
    shared = true;
    return this;
  }

  /** Poisson arrivals of an organisation, at the rate that {@code perSecond} gives for a time. */
  QueueRun traffic(String organisation, Rate perSecond, long seed) {
    arrive(organisation, perSecond, new Random(seed));
    return this;
  }

  QueueRun run(double millis) {
    simulation.after(0, this::feed);
    simulation.after(5, this::tick);
    simulation.runUntil(millis);
    return this;
  }

  private void arrive(String organisation, Rate perSecond, Random random) {
    double rate = perSecond.at(simulation.now() / 1000);
    double wait = -Math.log(1 - random.nextDouble()) * 1000 / rate;
    int prompt = 50 + random.nextInt(400);
    int wanted = 50 + random.nextInt(500);
    simulation.after(
        wait,
        () -> {
          offer(organisation, WorkClass.ONLINE, prompt, wanted);
          arrive(organisation, perSecond, random);
        });
  }

  private void offer(String organisation, WorkClass workClass, int prompt, int wanted) {
    String id = "r" + sequence++;
    SimRequest request =
        new SimRequest(id, organisation, workClass, prompt, wanted, simulation.now());
    requests.put(id, request);
    Duration wait = workClass == WorkClass.ONLINE ? startBy : FOREVER;
    Ticket ticket =
        new Ticket(
            RequestId.of(id),
            shared ? OrganisationId.of("all") : request.organisation,
            workClass,
            Deadline.after(simulation.clock(), wait));
    apply(queue.offer(ticket));
  }

  private void feed() {
    Random random = new Random(sequence);
    while (batch && queue.load().batchWaiting() < SLOTS) {
      offer(
          "b" + sequence % 3, WorkClass.BATCH, 50 + random.nextInt(400), 50 + random.nextInt(500));
    }
  }

  private void tick() {
    apply(queue.tick());
    simulation.after(5, this::tick);
  }

  private void apply(Actions actions) {
    actions.refuse().forEach(r -> refuse(requests.remove(r.id().value())));
    for (RequestId id : actions.yield()) {
      yields++;
      simulation.after(HOP_MILLIS, () -> engine.cancel(id.value(), 0));
      simulation.after(2 * HOP_MILLIS, () -> apply(queue.stopped(id)));
    }
    for (RequestId id : actions.start()) {
      SimRequest request = requests.get(id.value());
      simulation.after(HOP_MILLIS, () -> engine.start(request));
    }
    maxWaiting = Math.max(maxWaiting, queue.load().onlineWaiting());
  }

  private void refuse(SimRequest request) {
    refused++;
    refusalMillis.add(simulation.now() - request.arrived);
  }

  private void token(SimRequest request) {
    double gap = simulation.now() - request.lastToken;
    if (request.tokens > 1) {
      queue.observe(gap);
    }
    request.lastToken = simulation.now();
    boolean counts = request.arrived > WARM_UP_MILLIS;
    if (request.workClass == WorkClass.BATCH) {
      batchTokens += simulation.now() > WARM_UP_MILLIS ? 1 : 0;
      return;
    }
    onlineTokens += simulation.now() > WARM_UP_MILLIS ? 1 : 0;
    if (!counts) {
      return;
    }
    String organisation = request.organisation.value();
    if (request.tokens > 1) {
      gaps.add(gap);
    } else {
      double first = simulation.now() - request.arrived + 2 * HOP_MILLIS;
      firstToken.add(first);
      firstByOrganisation.computeIfAbsent(organisation, o -> new Figures()).add(first);
      request.late = first > OBJECTIVE_MILLIS;
    }
    if (request.tokens == request.wanted && !request.late) {
      good++;
      servedByOrganisation.merge(organisation, 1, Integer::sum);
    }
  }

  private void ended(SimRequest request) {
    requests.remove(request.id);
    apply(queue.end(RequestId.of(request.id), request.tokens));
    simulation.after(0, this::feed);
  }

  /** Requests a second at a time in seconds. */
  @FunctionalInterface
  interface Rate {
    double at(double seconds);
  }
}
