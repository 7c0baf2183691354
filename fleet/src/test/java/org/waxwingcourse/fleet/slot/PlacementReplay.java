package org.waxwingcourse.fleet.slot;

import io.vavr.control.Option;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import org.waxwingcourse.fleet.engine.EngineEntry;
import org.waxwingcourse.fleet.estimate.RequestSize;
import org.waxwingcourse.model.id.DataCentreId;
import org.waxwingcourse.model.id.HostId;
import org.waxwingcourse.model.id.RequestId;
import org.waxwingcourse.model.id.UpstreamId;
import org.waxwingcourse.model.request.WorkClass;
import org.waxwingcourse.model.time.Deadline;

/**
 * Replays load that swings between 0.38 and 1.84 of its mean on 42 engines whose speeds are in the
 * ratio 0.7, 0.7 and 1.7 and that have slow spells, without a network. Arrivals, sizes and spells
 * of one seed are the same for all orders.
 */
final class PlacementReplay {
  private static final int ENGINES = 42;
  private static final int SLOTS = 8;
  private static final int DATA_CENTRES = 3;
  private static final double[] SPEEDS = {0.7, 0.7, 1.7};
  private static final double SLOW_PART = 0.15;
  private static final double SLOW_FACTOR = 2.5;
  private static final long SPELL_MILLIS = 600;
  private static final double GAP_MILLIS = 28;
  private static final double FIRST_EVENT_MILLIS = 60;
  private static final double ONLINE_EVENTS = 25;
  private static final double ONLINE_EVENTS_DEVIATION = 0.57 * ONLINE_EVENTS;
  private static final int MAX_ONLINE_EVENTS = 40;
  private static final double ITEM_EVENTS = 171;
  private static final double PERIOD_SECONDS = 6.6;
  private static final double PEAK_SECONDS = 2.8;
  private static final double PEAK = 1.84;
  private static final double LOW = 0.38;

  /** Slots that the mean load of 196 requests/s and 24 items/s needs. */
  private static final double NEEDED_SLOTS = 140 + 115;

  private static final Duration LENGTH = Duration.ofSeconds(46);
  private static final Duration OBJECTIVE = Duration.ofMillis(300);
  private static final Duration ITEM_DUE = Duration.ofSeconds(18);

  /** Number of runs whose median is the robust speed of an engine. */
  private static final int MEDIAN_RUNS = 9;

  /** One request or item. */
  static final class Work {
    final boolean online;
    final int events;
    final int dataCentre;
    final Instant arrivedAt;
    int doneEvents;
    boolean inTime;

    Work(boolean online, int events, int dataCentre, Instant arrivedAt) {
      this.online = online;
      this.events = events;
      this.dataCentre = dataCentre;
      this.arrivedAt = arrivedAt;
    }

    boolean isLong() {
      return events > ONLINE_EVENTS;
    }
  }

  private record Action(Instant at, long number, Runnable step) {}

  private record Running(Work work, UpstreamId engine, Instant startedAt) {}

  final List<Work> works = new ArrayList<>();

  private final Instant start = Instant.ofEpochSecond(1000);
  private final long seed;
  private final Random arrivals;
  private final double scale;
  private final SlotScheduler scheduler;
  private final PriorityQueue<Action> actions =
      new PriorityQueue<>(
          (a, b) -> a.at.equals(b.at) ? Long.compare(a.number, b.number) : a.at.compareTo(b.at));
  private final Map<RunId, Work> asked = new HashMap<>();
  private final Map<RunId, Running> running = new HashMap<>();
  private final Map<UpstreamId, Deque<Double>> gaps = new HashMap<>();
  private Instant now = start;
  private long lastNumber;

  /** Creates a replay of a load in relation to what all engines can do. */
  PlacementReplay(long seed, double load, Order order) {
    this.seed = seed;
    this.arrivals = new Random(seed);
    double speed = Arrays.stream(SPEEDS).map(s -> 1 / s).average().orElseThrow();
    double spells = 1 - SLOW_PART + SLOW_PART / SLOW_FACTOR;
    this.scale = load * ENGINES * SLOTS * speed * spells / NEEDED_SLOTS;
    this.scheduler =
        new SlotScheduler(
            FreeSlotReserve.createDefault(),
            new MooreHodgsonOrder(),
            LimitedPlacement.createDefault(),
            (engine, request, fastest) -> order.cost(engine, request, fastest, this));
  }

  /** The orders that are compared. */
  enum Order {
    PRESENT,
    JOIN_SHORTEST_QUEUE,
    SHORTEST_EXPECTED_DELAY,
    EARLIEST_END_BY_MEDIAN,
    PRESENT_BY_MEDIAN;

    private double cost(
        EngineSlots engine, SlotRequest request, double fastest, PlacementReplay replay) {
      double gap = replay.medianGap(engine.entry().id());
      return switch (this) {
        case PRESENT -> EnginePlacement.placementCost(engine, request, fastest);
        case JOIN_SHORTEST_QUEUE -> engine.runs().size();
        case SHORTEST_EXPECTED_DELAY ->
            (engine.runs().size() + 1)
                * (engine.health().meanGapMillis() > 0 ? engine.health().meanGapMillis() : 1);
        case EARLIEST_END_BY_MEDIAN -> gap;
        case PRESENT_BY_MEDIAN ->
            gap / GAP_MILLIS * (engine.runs().size() + engine.slots())
                - (engine.entry().dataCentre().equals(request.dataCentre()) ? 0.5 : 0);
      };
    }
  }

  void run() {
    List<EngineEntry> engines = new ArrayList<>();
    for (int i = 0; i < ENGINES; i++) {
      engines.add(
          new EngineEntry(
              UpstreamId.of("engine-" + i),
              SlotSimulation.SERVICE,
              new InetSocketAddress("127.0.0.1", 1),
              DataCentreId.of("dc-" + i / SPEEDS.length % DATA_CENTRES),
              SLOTS,
              false,
              1));
    }
    scheduler.setEngines(engines, SLOTS, now);
    schedule(Duration.ZERO, () -> arrive(true));
    schedule(Duration.ZERO, () -> arrive(false));
    schedule(Duration.ZERO, this::tick);
    Instant end = start.plus(LENGTH).plus(ITEM_DUE);
    while (now.isBefore(end)) {
      Action next = actions.poll();
      now = next.at;
      next.step.run();
    }
  }

  private double medianGap(UpstreamId engine) {
    Deque<Double> last = gaps.getOrDefault(engine, new ArrayDeque<>());
    return last.isEmpty()
        ? GAP_MILLIS
        : last.stream().sorted().skip(last.size() / 2).findFirst().orElseThrow();
  }

  private void schedule(Duration later, Runnable step) {
    actions.add(new Action(now.plus(later), ++lastNumber, step));
  }

  private void tick() {
    execute(scheduler.processQueues(now));
    schedule(Duration.ofMillis(20), this::tick);
  }

  private void arrive(boolean online) {
    if (now.isAfter(start.plus(LENGTH))) {
      return;
    }
    double second = Duration.between(start, now).toNanos() / 1e9 % PERIOD_SECONDS;
    double rate = online ? 196 * (second < PEAK_SECONDS ? PEAK : LOW) : 24;
    double events =
        online
            ? ONLINE_EVENTS + ONLINE_EVENTS_DEVIATION * arrivals.nextGaussian()
            : ITEM_EVENTS * (0.5 + arrivals.nextDouble());
    int bounded = (int) Math.max(2, online ? Math.min(MAX_ONLINE_EVENTS, events) : events);
    Work work = new Work(online, bounded, arrivals.nextInt(DATA_CENTRES), now);
    double wait = -Math.log(1 - arrivals.nextDouble()) / (rate * scale);
    works.add(work);
    ask(work);
    schedule(Duration.ofNanos((long) (wait * 1e9)), () -> arrive(online));
  }

  private void ask(Work work) {
    RunId id = new RunId(HostId.of("host"), ++lastNumber);
    Instant dueAt = work.arrivedAt.plus(ITEM_DUE);
    asked.put(id, work);
    SlotRequest request =
        new SlotRequest(
            id,
            RequestId.of("r" + id.number()),
            SlotSimulation.SERVICE,
            work.online ? WorkClass.ONLINE : WorkClass.BATCH,
            0,
            Option.none(),
            now,
            Deadline.at(work.online ? work.arrivedAt.plusMillis(216) : dueAt.minusMillis(4800)),
            Deadline.at(work.online ? work.arrivedAt.plusSeconds(2) : dueAt.plusSeconds(60)),
            List.of(),
            DataCentreId.of("dc-" + work.dataCentre),
            Set.of(),
            Set.of(),
            Option.when(!work.online, () -> new BatchWork(Deadline.at(dueAt), work.doneEvents)),
            Option.none(),
            Option.none(),
            Option.none(),
            RequestSize.UNKNOWN);
    execute(scheduler.submit(request, now));
  }

  private void execute(List<SlotDecision> decisions) {
    for (SlotDecision decision : decisions) {
      if (decision instanceof SlotDecision.Grant grant) {
        startRun(grant.request().id(), grant.engine());
      } else if (decision instanceof SlotDecision.Yield yield) {
        Running run = running.remove(yield.run());
        run.work.doneEvents += eventsUntil(run, now);
        schedule(Duration.ofMillis(4), () -> ask(run.work));
      } else if (decision instanceof SlotDecision.Refuse refuse) {
        asked.remove(refuse.request().id());
      }
    }
  }

  private void startRun(RunId id, UpstreamId engine) {
    Running run = new Running(asked.remove(id), engine, now);
    running.put(id, run);
    Instant first = now.plusNanos((long) (FIRST_EVENT_MILLIS * factor(engine, now) * 1e6));
    Instant end = first;
    for (int i = run.work.doneEvents + 1; i < run.work.events; i++) {
      end = end.plusNanos((long) (GAP_MILLIS * factor(engine, end) * 1e6));
    }
    if (run.work.online) {
      run.work.inTime = !first.isAfter(run.work.arrivedAt.plus(OBJECTIVE));
    }
    Duration gap =
        Duration.between(first, end)
            .dividedBy(Math.max(1, run.work.events - run.work.doneEvents - 1));
    Duration firstDelay = Duration.between(now, first);
    schedule(Duration.between(now, end), () -> complete(id, firstDelay, gap));
  }

  private double factor(UpstreamId engine, Instant at) {
    int index = Integer.parseInt(engine.value().substring("engine-".length()));
    long spell = Duration.between(start, at).toMillis() / SPELL_MILLIS;
    boolean slow = new Random(seed * 31 + index * 100_003L + spell * 7919).nextDouble() < SLOW_PART;
    return SPEEDS[index % SPEEDS.length] * (slow ? SLOW_FACTOR : 1);
  }

  private int eventsUntil(Running run, Instant end) {
    Instant at =
        run.startedAt.plusNanos(
            (long) (FIRST_EVENT_MILLIS * factor(run.engine, run.startedAt) * 1e6));
    int events = 0;
    while (!at.isAfter(end)) {
      events++;
      at = at.plusNanos((long) (GAP_MILLIS * factor(run.engine, at) * 1e6));
    }
    return events;
  }

  private void complete(RunId id, Duration first, Duration gap) {
    Running run = running.remove(id);
    if (run == null) {
      return;
    }
    if (!run.work.online) {
      run.work.inTime = !now.isAfter(run.work.arrivedAt.plus(ITEM_DUE));
    }
    Deque<Double> last = gaps.computeIfAbsent(run.engine, e -> new ArrayDeque<>());
    last.addLast(gap.toNanos() / 1e6);
    if (last.size() > MEDIAN_RUNS) {
      last.removeFirst();
    }
    execute(scheduler.endRun(id, new RunEnd(RunEnd.How.WHOLE, first, gap, run.work.events), now));
  }
}
