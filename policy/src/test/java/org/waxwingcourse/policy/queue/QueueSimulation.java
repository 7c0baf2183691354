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

/**
 * Simulation of one engine and its queue under online traffic and, optionally, unlimited batch
 * work.
 */
final class QueueSimulation {
  static final int SLOTS = 32;
  private static final double FIRST_TOKEN_OBJECTIVE_MILLIS = 1600;
  private static final Duration START_BY = Duration.ofMillis(1300);
  private static final Duration NO_DEADLINE = Duration.ofDays(1);
  private static final double NETWORK_HOP_MILLIS = 3;
  private static final double WARM_UP_MILLIS = 120_000;

  final SampleSet firstTokenMillis = new SampleSet();
  final SampleSet interTokenMillis = new SampleSet();
  final SampleSet rejectionMillis = new SampleSet();
  final Map<String, SampleSet> firstTokenByOrganisation = new TreeMap<>();
  final Map<String, Integer> servedByOrganisation = new TreeMap<>();
  int completedInTime;
  int rejected;
  int maxWaiting;
  long onlineTokens;
  long batchTokens;
  int preemptions;

  private final EventSimulation simulation = new EventSimulation();
  private final SimEngine engine = new SimEngine(simulation, this::onToken, this::onEnd);
  private final Map<String, SimRequest> requests = new HashMap<>();
  private final EngineQueue queue;
  private final boolean batch;
  private int sequence;
  private Duration startBy = START_BY;
  private boolean singleQueue;

  private QueueSimulation(boolean batch, Function<InstantSource, EngineQueue> queue) {
    this.batch = batch;
    this.queue = queue.apply(simulation.clock());
  }

  static QueueSimulation of(boolean batch) {
    return of(batch, QueueLimits.ofSlots(SLOTS));
  }

  static QueueSimulation of(boolean batch, QueueLimits limits) {
    return new QueueSimulation(batch, clock -> EngineQueue.of(limits, clock));
  }

  static QueueSimulation withFixedStreamLimit(int streams) {
    QueueLimits limits = QueueLimits.ofSlots(SLOTS);
    return new QueueSimulation(
        true, clock -> EngineQueue.withFixedStreamLimit(limits, clock, streams));
  }

  /**
   * Removes the deadline by which requests must start, so that they wait instead of being rejected.
   */
  QueueSimulation withoutRejections() {
    startBy = NO_DEADLINE;
    return this;
  }

  /** Serves the requests of all organisations from one queue in the order of arrival. */
  QueueSimulation withSingleQueue() {
    singleQueue = true;
    return this;
  }

  /**
   * Adds Poisson arrivals of an organisation at the rate that {@code perSecond} returns for the
   * current time.
   */
  QueueSimulation addTraffic(String organisation, ArrivalRate perSecond, long seed) {
    arrive(organisation, perSecond, new Random(seed));
    return this;
  }

  QueueSimulation run(double millis) {
    simulation.schedule(0, this::addBatchRequests);
    simulation.schedule(5, this::tick);
    simulation.runUntil(millis);
    return this;
  }

  private void arrive(String organisation, ArrivalRate perSecond, Random random) {
    double rate = perSecond.at(simulation.nowMillis() / 1000);
    double wait = -Math.log(1 - random.nextDouble()) * 1000 / rate;
    int promptTokens = 50 + random.nextInt(400);
    int completionTokens = 50 + random.nextInt(500);
    simulation.schedule(
        wait,
        () -> {
          offer(organisation, WorkClass.ONLINE, promptTokens, completionTokens);
          arrive(organisation, perSecond, random);
        });
  }

  private void offer(
      String organisation, WorkClass workClass, int promptTokens, int completionTokens) {
    String id = "r" + sequence++;
    SimRequest request =
        new SimRequest(
            id, organisation, workClass, promptTokens, completionTokens, simulation.nowMillis());
    requests.put(id, request);
    Duration wait = workClass == WorkClass.ONLINE ? startBy : NO_DEADLINE;
    Ticket ticket =
        new Ticket(
            RequestId.of(id),
            singleQueue ? OrganisationId.of("all") : request.organisation,
            workClass,
            Deadline.after(simulation.clock(), wait));
    apply(queue.offer(ticket));
  }

  private void addBatchRequests() {
    Random random = new Random(sequence);
    while (batch && queue.load().batchWaiting() < SLOTS) {
      offer(
          "b" + sequence % 3, WorkClass.BATCH, 50 + random.nextInt(400), 50 + random.nextInt(500));
    }
  }

  private void tick() {
    apply(queue.tick());
    simulation.schedule(5, this::tick);
  }

  private void apply(Actions actions) {
    actions.refuse().forEach(r -> onRejection(requests.remove(r.id().value())));
    for (RequestId id : actions.yield()) {
      preemptions++;
      simulation.schedule(NETWORK_HOP_MILLIS, () -> engine.cancel(id.value(), 0));
      simulation.schedule(2 * NETWORK_HOP_MILLIS, () -> apply(queue.stopped(id)));
    }
    for (RequestId id : actions.start()) {
      SimRequest request = requests.get(id.value());
      simulation.schedule(NETWORK_HOP_MILLIS, () -> engine.start(request));
    }
    maxWaiting = Math.max(maxWaiting, queue.load().onlineWaiting());
  }

  private void onRejection(SimRequest request) {
    rejected++;
    rejectionMillis.add(simulation.nowMillis() - request.arrivalMillis);
  }

  private void onToken(SimRequest request) {
    double gap = simulation.nowMillis() - request.lastTokenMillis;
    if (request.generatedTokens > 1) {
      queue.observe(gap);
    }
    request.lastTokenMillis = simulation.nowMillis();
    boolean isAfterWarmUp = request.arrivalMillis > WARM_UP_MILLIS;
    if (request.workClass == WorkClass.BATCH) {
      batchTokens += simulation.nowMillis() > WARM_UP_MILLIS ? 1 : 0;
      return;
    }
    onlineTokens += simulation.nowMillis() > WARM_UP_MILLIS ? 1 : 0;
    if (!isAfterWarmUp) {
      return;
    }
    String organisation = request.organisation.value();
    if (request.generatedTokens > 1) {
      interTokenMillis.add(gap);
    } else {
      double firstTokenDelay =
          simulation.nowMillis() - request.arrivalMillis + 2 * NETWORK_HOP_MILLIS;
      firstTokenMillis.add(firstTokenDelay);
      firstTokenByOrganisation
          .computeIfAbsent(organisation, o -> new SampleSet())
          .add(firstTokenDelay);
      request.missedObjective = firstTokenDelay > FIRST_TOKEN_OBJECTIVE_MILLIS;
    }
    if (request.generatedTokens == request.completionTokens && !request.missedObjective) {
      completedInTime++;
      servedByOrganisation.merge(organisation, 1, Integer::sum);
    }
  }

  private void onEnd(SimRequest request) {
    requests.remove(request.id);
    apply(queue.end(RequestId.of(request.id), request.generatedTokens));
    simulation.schedule(0, this::addBatchRequests);
  }

  /** Returns the arrival rate in requests per second at a time in seconds. */
  @FunctionalInterface
  interface ArrivalRate {
    double at(double seconds);
  }
}
