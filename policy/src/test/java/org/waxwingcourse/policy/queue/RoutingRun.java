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

/** Six engines with prefix caches behind their queues, one of them slow for a while. */
final class RoutingRun {
  static final int ENGINES = 6;
  private static final int SLOTS = 16;
  private static final int PREFIXES = 40;
  private static final int CACHED_PREFIXES = 10;
  private static final int PREFIX_TOKENS = 600;
  private static final int OWN_TOKENS = 40;
  private static final double SLOW_FROM = 120_000;
  private static final double SLOW_UNTIL = 240_000;
  private static final Duration START_BY = Duration.ofMillis(1600);

  final Figures firstToken = new Figures();
  int refused;
  int hits;
  int sent;

  private final Simulation simulation = new Simulation();
  private final List<SimEngine> engines = new ArrayList<>();
  private final List<EngineQueue> queues = new ArrayList<>();
  private final List<Map<Integer, Boolean>> caches = new ArrayList<>();
  private final Map<String, SimRequest> requests = new HashMap<>();
  private final Map<String, Integer> prefixes = new HashMap<>();
  private final double[] reported = new double[ENGINES];
  private final int[] sentSince = new int[ENGINES];
  private final Choice choice;
  private final double lagMillis;
  private int sequence;

  RoutingRun(Choice choice, double lagMillis) {
    this.choice = choice;
    this.lagMillis = lagMillis;
    for (int i = 0; i < ENGINES; i++) {
      int number = i;
      engines.add(new SimEngine(simulation, this::token, request -> ended(number, request)));
      queues.add(EngineQueue.of(QueueLimits.ofSlots(SLOTS), simulation.clock()));
      caches.add(cache());
    }
  }

  /** Chooses an engine by its number. */
  @FunctionalInterface
  interface Choice {
    int pick(List<EngineView> views, String prompt);
  }

  RoutingRun run(double perSecond, double millis) {
    simulation.after(SLOW_FROM, () -> engines.get(0).slowDown(4));
    simulation.after(SLOW_UNTIL, () -> engines.get(0).slowDown(1));
    report();
    arrive(perSecond, new Random(11));
    tick();
    simulation.runUntil(millis);
    return this;
  }

  private void report() {
    for (int i = 0; i < ENGINES; i++) {
      reported[i] = queues.get(i).load().onlinePerSlot();
      sentSince[i] = 0;
    }
    simulation.after(lagMillis, this::report);
  }

  private void tick() {
    for (int i = 0; i < ENGINES; i++) {
      apply(i, queues.get(i).tick());
    }
    simulation.after(10, this::tick);
  }

  private void arrive(double perSecond, Random random) {
    simulation.after(
        -Math.log(1 - random.nextDouble()) * 1000 / perSecond,
        () -> {
          int prefix = (int) (PREFIXES * Math.pow(random.nextDouble(), 2));
          offer(prefix, 50 + random.nextInt(300));
          arrive(perSecond, random);
        });
  }

  private void offer(int prefix, int wanted) {
    List<EngineView> views = new ArrayList<>();
    for (int i = 0; i < ENGINES; i++) {
      double load = reported[i] + sentSince[i] / (double) SLOTS;
      views.add(new EngineView(UpstreamId.of("e" + i), load));
    }
    int engine = choice.pick(views, ("prefix " + prefix + " ").repeat(40));
    sentSince[engine]++;
    sent++;
    String id = "r" + sequence++;
    SimRequest request =
        new SimRequest(
            id, "o", WorkClass.ONLINE, PREFIX_TOKENS + OWN_TOKENS, wanted, simulation.now());
    requests.put(id, request);
    prefixes.put(id, prefix);
    Deadline startBy = Deadline.after(simulation.clock(), START_BY);
    Ticket ticket = new Ticket(RequestId.of(id), request.organisation, request.workClass, startBy);
    apply(engine, queues.get(engine).offer(ticket));
  }

  private void apply(int engine, Actions actions) {
    refused += actions.refuse().size();
    for (RequestId id : actions.start()) {
      SimRequest request = requests.get(id.value());
      if (caches.get(engine).put(prefixes.get(id.value()), true) != null) {
        request.promptLeft = OWN_TOKENS;
        hits++;
      }
      engines.get(engine).start(request);
    }
  }

  private void token(SimRequest request) {
    if (request.tokens == 1) {
      firstToken.add(simulation.now() - request.arrived);
    }
  }

  private void ended(int engine, SimRequest request) {
    requests.remove(request.id);
    apply(engine, queues.get(engine).end(RequestId.of(request.id), request.tokens));
  }

  private static Map<Integer, Boolean> cache() {
    return new LinkedHashMap<>(16, 0.75f, true) {
      @Override
      protected boolean removeEldestEntry(Map.Entry<Integer, Boolean> eldest) {
        return size() > CACHED_PREFIXES;
      }
    };
  }
}
