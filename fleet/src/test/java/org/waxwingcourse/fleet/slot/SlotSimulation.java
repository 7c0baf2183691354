package org.waxwingcourse.fleet.slot;

import io.vavr.control.Option;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import org.waxwingcourse.fleet.engine.EngineEntry;
import org.waxwingcourse.fleet.engine.RequestRate;
import org.waxwingcourse.fleet.plan.HomeRegions;
import org.waxwingcourse.model.id.DataCentreId;
import org.waxwingcourse.model.id.HostId;
import org.waxwingcourse.model.id.RequestId;
import org.waxwingcourse.model.id.ServiceName;
import org.waxwingcourse.model.id.UpstreamId;
import org.waxwingcourse.model.request.WorkClass;
import org.waxwingcourse.model.time.Deadline;

/**
 * Simulates load on a {@link SlotScheduler} with a simulated clock; engines have fixed run times.
 */
final class SlotSimulation {
  static final ServiceName SERVICE = ServiceName.of("model");
  static final Duration OBJECTIVE_WAIT = Duration.ofMillis(216);
  static final Duration ONLINE_RUN = Duration.ofMillis(720);
  static final Duration BATCH_RUN = Duration.ofMillis(4900);

  /** Slot time that a batch run loses when it is preempted; see {@link FreeSlotReserve}. */
  private static final Duration PREEMPTION_COST = Duration.ofMillis(50);

  final SlotScheduler scheduler;
  final List<Duration> onlineWaitTimes = new ArrayList<>();
  final List<SlotDecision.Refuse> refusals = new ArrayList<>();
  final Map<UpstreamId, Integer> runsByEngine = new HashMap<>();
  final List<Long> startedNumbers = new ArrayList<>();
  int batchGrantCount;
  int startedInTime;
  int yieldCount;
  Duration batchWork = Duration.ZERO;
  int maxRunsPerEngine;
  Instant now = Instant.ofEpochSecond(1000);

  private final Random random;
  private final PriorityQueue<ScheduledAction> events =
      new PriorityQueue<>((a, b) -> a.at.equals(b.at) ? 0 : a.at.compareTo(b.at));
  private final Map<RunId, SlotRequest> running = new HashMap<>();
  private final Map<RunId, UpstreamId> engineByRun = new HashMap<>();
  private final Map<RunId, Instant> startTimes = new HashMap<>();
  private final List<EngineEntry> engines = new ArrayList<>();
  private long lastNumber;

  private record ScheduledAction(Instant at, Runnable action) {}

  SlotSimulation(int engineCount, int slotsEach, long seed) {
    this(engineCount, slotsEach, seed, FreeSlotReserve.createDefault());
  }

  SlotSimulation(int engineCount, int slotsEach, long seed, FreeSlotReserve reserve) {
    this(engineCount, slotsEach, seed, reserve, LimitedPlacement.createDefault());
  }

  SlotSimulation(
      int engineCount,
      int slotsEach,
      long seed,
      FreeSlotReserve reserve,
      LimitedPlacement limitedPlacement) {
    scheduler = new SlotScheduler(reserve, new MooreHodgsonOrder(), limitedPlacement);
    random = new Random(seed);
    for (int i = 0; i < engineCount; i++) {
      engines.add(engine("engine-" + i, slotsEach, false));
    }
    publishEngines();
  }

  static EngineEntry engine(String id, int slots, boolean leaving) {
    return new EngineEntry(
        UpstreamId.of(id),
        SERVICE,
        new InetSocketAddress("127.0.0.1", 1),
        DataCentreId.of("a"),
        slots,
        leaving,
        1);
  }

  /** Returns an online request that is in time if it starts within {@link #OBJECTIVE_WAIT}. */
  static SlotRequest onlineRequest(RunId id, Set<UpstreamId> connected, Instant now) {
    return new SlotRequest(
        id,
        RequestId.of("r" + id.number()),
        SERVICE,
        WorkClass.ONLINE,
        0,
        Option.none(),
        now,
        Deadline.at(now.plus(OBJECTIVE_WAIT)),
        Deadline.at(now.plusSeconds(2)),
        List.of(),
        DataCentreId.of("a"),
        Set.of(),
        connected,
        Option.none(),
        Option.none(),
        Option.none(),
        Option.none(),
        HomeRegions.ANY);
  }

  void publishEngines() {
    execute(scheduler.setEngines(engines, 8, now));
  }

  /** Lets the first engines name a limit in requests per second. */
  void limitEngines(int count, double limit) {
    for (int i = 0; i < count; i++) {
      engines.set(i, engines.get(i).withLimit(RequestRate.of(limit)));
    }
    publishEngines();
  }

  void failRunsOf(int index) {
    EngineEntry lost = engines.get(index);
    List<RunId> there =
        engineByRun.entrySet().stream()
            .filter(e -> e.getValue().equals(lost.id()))
            .map(Map.Entry::getKey)
            .toList();
    for (RunId id : there) {
      endRun(id, RunEnd.How.ENGINE_LOST);
    }
  }

  void schedule(Duration later, Runnable action) {
    events.add(new ScheduledAction(now.plus(later), action));
  }

  /**
   * Schedules online arrivals at a rate, with exponentially distributed intervals, over a time
   * span.
   */
  void addOnlineArrivals(Duration from, Duration until, double perSecond) {
    double at = from.toNanos() / 1e9;
    double end = until.toNanos() / 1e9;
    at += -Math.log(1 - random.nextDouble()) / perSecond;
    while (at < end) {
      schedule(Duration.ofNanos((long) (at * 1e9)), () -> submit(WorkClass.ONLINE, OBJECTIVE_WAIT));
      at += -Math.log(1 - random.nextDouble()) / perSecond;
    }
  }

  void submitBatch(int items) {
    for (int i = 0; i < items; i++) {
      submit(WorkClass.BATCH, Duration.ofSeconds(18));
    }
  }

  void submit(WorkClass workClass, Duration startWithin) {
    execute(scheduler.submit(request(workClass, startWithin), now));
  }

  SlotRequest request(WorkClass workClass, Duration startWithin) {
    return new SlotRequest(
        new RunId(HostId.of("host"), ++lastNumber),
        RequestId.of("r" + lastNumber),
        SERVICE,
        workClass,
        0,
        Option.none(),
        now,
        Deadline.at(now.plus(startWithin)),
        Deadline.at(now.plus(Duration.ofSeconds(workClass == WorkClass.BATCH ? 60 : 2))),
        List.of(),
        DataCentreId.of("a"),
        Set.of(),
        Set.of(),
        Option.when(
            workClass == WorkClass.BATCH,
            () -> new BatchWork(Deadline.at(now.plus(startWithin).plus(BATCH_RUN)), 0)),
        Option.none(),
        Option.none(),
        Option.none(),
        HomeRegions.ANY);
  }

  void run(Duration span) {
    Instant end = now.plus(span);
    Instant nextTick = now;
    while (now.isBefore(end)) {
      if (!events.isEmpty() && !events.peek().at.isAfter(nextTick)) {
        ScheduledAction scheduledAction = events.poll();
        now = scheduledAction.at;
        scheduledAction.action.run();
      } else {
        now = nextTick;
        nextTick = nextTick.plusMillis(20);
        execute(scheduler.processQueues(now));
      }
    }
  }

  private void execute(List<SlotDecision> decisions) {
    for (SlotDecision decision : decisions) {
      if (decision instanceof SlotDecision.Grant grant) {
        startRun(grant);
      } else if (decision instanceof SlotDecision.Yield yield) {
        yieldCount++;
        if (!engineByRun.containsKey(yield.run())) {
          continue;
        }
        removeRun(yield.run());
        running.remove(yield.run());
        submit(WorkClass.BATCH, Duration.ofSeconds(18));
      } else {
        refusals.add((SlotDecision.Refuse) decision);
      }
    }
  }

  private void startRun(SlotDecision.Grant grant) {
    SlotRequest request = grant.request();
    startedNumbers.add(request.id().number());
    running.put(request.id(), request);
    engineByRun.put(request.id(), grant.engine());
    startTimes.put(request.id(), now);
    maxRunsPerEngine =
        Math.max(maxRunsPerEngine, runsByEngine.merge(grant.engine(), 1, Integer::sum));
    if (request.isOnline()) {
      onlineWaitTimes.add(Duration.between(request.receivedAt(), now));
      startedInTime += request.startBy().isPast(now) ? 0 : 1;
    } else {
      batchGrantCount++;
    }
    Duration time = request.isOnline() ? ONLINE_RUN : BATCH_RUN;
    schedule(time, () -> endRun(request.id(), RunEnd.How.WHOLE));
  }

  private void endRun(RunId id, RunEnd.How how) {
    if (running.containsKey(id)) {
      removeRun(id);
      running.remove(id);
      Duration first = how == RunEnd.How.WHOLE ? Duration.ofMillis(50) : Duration.ZERO;
      execute(scheduler.endRun(id, new RunEnd(how, first, Duration.ofMillis(20), 245), now));
    }
  }

  private void removeRun(RunId id) {
    if (!running.get(id).isOnline()) {
      batchWork = batchWork.plus(Duration.between(startTimes.get(id), now)).minus(PREEMPTION_COST);
    }
    runsByEngine.merge(engineByRun.remove(id), -1, Integer::sum);
  }
}
