package org.waxwingcourse.policy.queue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.waxwingcourse.model.id.RequestId;
import org.waxwingcourse.model.id.UpstreamId;
import org.waxwingcourse.model.request.WorkClass;
import org.waxwingcourse.model.time.Deadline;
import org.waxwingcourse.policy.route.EngineView;

/**
 * Simulation of six engines with prefix caches and queues, one of which is slow for a part of the
 * time.
 */
final class RoutingSimulation {
  static final int ENGINES = 6;
  private static final int SLOTS = 16;
  private static final int PREFIXES = 40;
  private static final int CACHED_PREFIXES = 10;
  private static final int PREFIX_TOKENS = 600;
  private static final int UNCACHED_TOKENS = 40;
  private static final double SLOW_FROM_MILLIS = 120_000;
  private static final double SLOW_UNTIL_MILLIS = 240_000;
  private static final Duration START_BY = Duration.ofMillis(1600);

  final SampleSet firstTokenMillis = new SampleSet();
  int rejected;
  int cacheHits;
  int sent;

  private final EventSimulation simulation = new EventSimulation();
  private final List<SimEngine> engines = new ArrayList<>();
  private final List<EngineQueue> queues = new ArrayList<>();
  private final List<Map<Integer, Boolean>> caches = new ArrayList<>();
  private final Map<String, SimRequest> requests = new HashMap<>();
  private final Map<String, Integer> prefixes = new HashMap<>();
  private final double[] reportedLoad = new double[ENGINES];
  private final int[] sentSince = new int[ENGINES];
  private final EngineSelector selector;
  private final double reportIntervalMillis;
  private int sequence;

  RoutingSimulation(EngineSelector selector, double reportIntervalMillis) {
    this.selector = selector;
    this.reportIntervalMillis = reportIntervalMillis;
    for (int i = 0; i < ENGINES; i++) {
      int index = i;
      engines.add(new SimEngine(simulation, this::onToken, request -> onEnd(index, request)));
      queues.add(EngineQueue.of(QueueLimits.ofSlots(SLOTS), simulation.clock()));
      caches.add(newCache());
    }
  }

  /** Selects an engine and returns its index. */
  @FunctionalInterface
  interface EngineSelector {
    int pick(List<EngineView> views, String prompt);
  }

  RoutingSimulation run(double perSecond, double millis) {
    simulation.schedule(SLOW_FROM_MILLIS, () -> engines.get(0).setSlowdown(4));
    simulation.schedule(SLOW_UNTIL_MILLIS, () -> engines.get(0).setSlowdown(1));
    report();
    arrive(perSecond, new Random(11));
    tick();
    simulation.runUntil(millis);
    return this;
  }

  private void report() {
    for (int i = 0; i < ENGINES; i++) {
      reportedLoad[i] = queues.get(i).load().onlinePerSlot();
      sentSince[i] = 0;
    }
    simulation.schedule(reportIntervalMillis, this::report);
  }

  private void tick() {
    for (int i = 0; i < ENGINES; i++) {
      apply(i, queues.get(i).tick());
    }
    simulation.schedule(10, this::tick);
  }

  private void arrive(double perSecond, Random random) {
    simulation.schedule(
        -Math.log(1 - random.nextDouble()) * 1000 / perSecond,
        () -> {
          int prefix = (int) (PREFIXES * Math.pow(random.nextDouble(), 2));
          offer(prefix, 50 + random.nextInt(300));
          arrive(perSecond, random);
        });
  }

  private void offer(int prefix, int completionTokens) {
    List<EngineView> views = new ArrayList<>();
    for (int i = 0; i < ENGINES; i++) {
      double load = reportedLoad[i] + sentSince[i] / (double) SLOTS;
      views.add(new EngineView(UpstreamId.of("e" + i), load));
    }
    int engine = selector.pick(views, ("prefix " + prefix + " ").repeat(40));
    sentSince[engine]++;
    sent++;
    String id = "r" + sequence++;
    SimRequest request =
        new SimRequest(
            id,
            "o",
            WorkClass.ONLINE,
            PREFIX_TOKENS + UNCACHED_TOKENS,
            completionTokens,
            simulation.nowMillis());
    requests.put(id, request);
    prefixes.put(id, prefix);
    Deadline startBy = Deadline.after(simulation.clock(), START_BY);
    Ticket ticket = new Ticket(RequestId.of(id), request.organisation, request.workClass, startBy);
    apply(engine, queues.get(engine).offer(ticket));
  }

  private void apply(int engine, Actions actions) {
    rejected += actions.refuse().size();
    for (RequestId id : actions.start()) {
      SimRequest request = requests.get(id.value());
      if (caches.get(engine).put(prefixes.get(id.value()), true) != null) {
        request.promptTokensLeft = UNCACHED_TOKENS;
        cacheHits++;
      }
      engines.get(engine).start(request);
    }
  }

  private void onToken(SimRequest request) {
    if (request.generatedTokens == 1) {
      firstTokenMillis.add(simulation.nowMillis() - request.arrivalMillis);
    }
  }

  private void onEnd(int engine, SimRequest request) {
    requests.remove(request.id);
    apply(engine, queues.get(engine).end(RequestId.of(request.id), request.generatedTokens));
  }

  private static Map<Integer, Boolean> newCache() {
    return new LinkedHashMap<>(16, 0.75f, true) {
      @Override
      protected boolean removeEldestEntry(Map.Entry<Integer, Boolean> eldest) {
        return size() > CACHED_PREFIXES;
      }
    };
  }
}
