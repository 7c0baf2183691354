package org.waxwingcourse.fleet.slot;

import io.vavr.control.Option;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
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
 * Replays the load of a deployment of 55 hosts and 62 engines on a {@link SlotScheduler} without a
 * network. The 21 engines of one data centre break off their runs at one moment, refuse connections
 * for five seconds and then return. A host that meets a refused connection asks again at once.
 */
final class EngineLossReplay {
  static final int ENGINES = 62;
  static final int DATA_CENTRES = 3;
  static final int LOST_ENGINES = 21;
  static final int SLOTS = 8;
  static final Duration LOSS_AT = Duration.ofMillis(13200);
  static final Duration RETURN_AT = LOSS_AT.plusSeconds(5);

  /** All items that arrive in the four seconds after the loss are due before. */
  static final Duration END = RETURN_AT.plusSeconds(20);

  private static final int HOSTS = 55;
  private static final double ONLINE_PER_SECOND = 254;
  private static final double PEAK = 1.85;
  private static final double PERIOD_SECONDS = 6.6;
  private static final double PEAK_SECONDS = 2.8;
  private static final double ITEMS_PER_SECOND = 20;
  private static final double ONLINE_RUN_MILLIS = 700;
  private static final double ITEM_RUN_MILLIS = 4800;
  private static final Duration ITEM_DUE = Duration.ofSeconds(18);
  private static final Duration OBJECTIVE = Duration.ofMillis(216);
  private static final Duration GIVE_UP = Duration.ofSeconds(2);
  private static final Duration TIME_LIMIT = Duration.ofSeconds(5);

  /** From the grant until the coordinator learns of the refused connection or the first event. */
  private static final Duration REFUSAL_DELAY = Duration.ofMillis(4);

  private static final Duration FIRST_EVENT_DELAY = Duration.ofMillis(60);
  private static final Duration TICK = Duration.ofMillis(20);

  /** One request or item, with all its runs. */
  static final class Work {
    final boolean online;
    final HostId host;
    final Instant arrivedAt;
    final Set<UpstreamId> avoided = new HashSet<>();
    int asks;
    boolean refused;
    Option<Instant> answeredFrom = Option.none();

    Work(boolean online, HostId host, Instant arrivedAt) {
      this.online = online;
      this.host = host;
      this.arrivedAt = arrivedAt;
    }

    boolean isInTime() {
      Duration limit = online ? OBJECTIVE : ITEM_DUE;
      return answeredFrom.exists(at -> !at.isAfter(arrivedAt.plus(limit)));
    }
  }

  private record Action(Instant at, long number, Runnable step) {}

  final List<Work> works = new ArrayList<>();

  /** When each of the lost engines first had several runs at once after its return. */
  final Map<UpstreamId, Duration> shareRegained = new HashMap<>();

  int refusedConnections;
  int refusalsBesideBatchRuns;

  private final Random random;
  private final SlotScheduler scheduler = new SlotScheduler();
  private final Instant start = Instant.ofEpochSecond(1000);
  private final PriorityQueue<Action> actions =
      new PriorityQueue<>(
          (a, b) -> a.at.equals(b.at) ? Long.compare(a.number, b.number) : a.at.compareTo(b.at));
  private final Map<RunId, Work> asked = new HashMap<>();
  private final Map<RunId, UpstreamId> running = new HashMap<>();
  private Instant now = start;
  private long lastNumber;

  EngineLossReplay(long seed) {
    random = new Random(seed);
  }

  void run() {
    List<EngineEntry> engines = new ArrayList<>();
    for (int i = 0; i < ENGINES; i++) {
      engines.add(
          new EngineEntry(
              UpstreamId.of("engine-" + i),
              SlotSimulation.SERVICE,
              new InetSocketAddress("127.0.0.1", 1),
              DataCentreId.of("dc-" + i % DATA_CENTRES),
              SLOTS,
              false,
              1));
    }
    scheduler.setEngines(engines, SLOTS, now);
    schedule(Duration.ZERO, this::arriveOnline);
    schedule(Duration.ZERO, this::arriveItem);
    schedule(Duration.ZERO, this::tick);
    schedule(LOSS_AT, this::breakOffRuns);
    Instant end = start.plus(END);
    while (now.isBefore(end)) {
      Action next = actions.poll();
      now = next.at;
      next.step.run();
    }
  }

  /** Returns the online requests or the items that arrived in the four seconds after the loss. */
  List<Work> arrivedAfterLoss(boolean online) {
    Instant from = start.plus(LOSS_AT);
    return works.stream()
        .filter(w -> w.online == online && !w.arrivedAt.isBefore(from))
        .filter(w -> w.arrivedAt.isBefore(from.plusSeconds(4)))
        .toList();
  }

  private static boolean isOfLostDataCentre(UpstreamId engine) {
    return Integer.parseInt(engine.value().substring("engine-".length())) % DATA_CENTRES == 1;
  }

  private boolean isDown(UpstreamId engine) {
    return isOfLostDataCentre(engine)
        && !now.isBefore(start.plus(LOSS_AT))
        && now.isBefore(start.plus(RETURN_AT));
  }

  private void schedule(Duration later, Runnable step) {
    actions.add(new Action(now.plus(later), ++lastNumber, step));
  }

  private void tick() {
    execute(scheduler.processQueues(now));
    schedule(TICK, this::tick);
  }

  private void arriveOnline() {
    double second = Duration.between(start, now).toNanos() / 1e9 % PERIOD_SECONDS;
    double low = (PERIOD_SECONDS - PEAK * PEAK_SECONDS) / (PERIOD_SECONDS - PEAK_SECONDS);
    double rate = ONLINE_PER_SECOND * (second < PEAK_SECONDS ? PEAK : low);
    arrive(true);
    schedule(exponential(rate), this::arriveOnline);
  }

  private void arriveItem() {
    arrive(false);
    schedule(exponential(ITEMS_PER_SECOND), this::arriveItem);
  }

  private Duration exponential(double perSecond) {
    return Duration.ofNanos((long) (-Math.log(1 - random.nextDouble()) / perSecond * 1e9));
  }

  private void arrive(boolean online) {
    Work work = new Work(online, HostId.of("host-" + random.nextInt(HOSTS)), now);
    works.add(work);
    ask(work);
  }

  private void ask(Work work) {
    boolean first = work.asks++ == 0;
    RunId id = new RunId(work.host, ++lastNumber);
    Instant dueAt = work.arrivedAt.plus(ITEM_DUE);
    Instant startBy = work.arrivedAt.plus(first ? OBJECTIVE : GIVE_UP);
    Instant giveUpAt = work.arrivedAt.plus(first ? GIVE_UP : TIME_LIMIT);
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
            Deadline.at(work.online ? startBy : dueAt.minusMillis((long) ITEM_RUN_MILLIS)),
            Deadline.at(work.online ? giveUpAt : dueAt.plusSeconds(60)),
            List.of(),
            DataCentreId.of("dc-" + Math.floorMod(work.host.hashCode(), DATA_CENTRES)),
            work.avoided,
            Set.of(),
            Option.when(!work.online, () -> new BatchWork(Deadline.at(dueAt), 0)),
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
        running.remove(yield.run());
        Work preempted = asked.remove(yield.run());
        schedule(REFUSAL_DELAY, () -> ask(preempted));
      } else if (decision instanceof SlotDecision.Refuse refuse) {
        asked.remove(refuse.request().id()).refused = true;
        boolean batchRuns =
            running.entrySet().stream()
                .anyMatch(e -> !isOfLostDataCentre(e.getValue()) && !asked.get(e.getKey()).online);
        refusalsBesideBatchRuns += batchRuns ? 1 : 0;
      }
    }
  }

  private void startRun(RunId id, UpstreamId engine) {
    running.put(id, engine);
    if (isDown(engine)) {
      schedule(REFUSAL_DELAY, () -> refuseConnection(id, engine));
      return;
    }
    Duration sinceReturn = Duration.between(start.plus(RETURN_AT), now);
    boolean several = running.values().stream().filter(engine::equals).count() > 1;
    if (isOfLostDataCentre(engine) && !sinceReturn.isNegative() && several) {
      shareRegained.putIfAbsent(engine, sinceReturn);
    }
    boolean online = asked.get(id).online;
    double mean = online ? ONLINE_RUN_MILLIS : ITEM_RUN_MILLIS;
    Duration time = Duration.ofMillis((long) (mean * (0.5 + random.nextDouble())));
    schedule(time, () -> complete(id, time));
    schedule(FIRST_EVENT_DELAY, () -> scheduler.recordAnswer(id, engine));
  }

  private void refuseConnection(RunId id, UpstreamId engine) {
    Work work = asked.remove(id);
    if (work == null) {
      return;
    }
    refusedConnections++;
    running.remove(id);
    work.avoided.add(engine);
    execute(scheduler.endRun(id, RunEnd.of(RunEnd.How.CONNECTION_REFUSED), now));
    ask(work);
  }

  private void complete(RunId id, Duration time) {
    if (running.remove(id) == null) {
      return;
    }
    Work work = asked.remove(id);
    work.answeredFrom = Option.some(work.online ? now.minus(time) : now);
    Duration gap = Duration.ofMillis(20);
    execute(scheduler.endRun(id, new RunEnd(RunEnd.How.WHOLE, FIRST_EVENT_DELAY, gap, 240), now));
  }

  private void breakOffRuns() {
    List<RunId> broken =
        running.entrySet().stream()
            .filter(e -> isOfLostDataCentre(e.getValue()))
            .map(Map.Entry::getKey)
            .toList();
    for (RunId id : broken) {
      Work work = asked.remove(id);
      work.avoided.add(running.remove(id));
      RunEnd end = new RunEnd(RunEnd.How.ENGINE_BROKE_OFF, FIRST_EVENT_DELAY, Duration.ZERO, 0);
      execute(scheduler.endRun(id, end, now));
      schedule(REFUSAL_DELAY, () -> ask(work));
    }
  }
}
