package org.waxwingcourse.fleet.slot;

import io.vavr.control.Option;
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
import org.waxwingcourse.fleet.plan.HomeRegions;
import org.waxwingcourse.model.id.DataCentreId;
import org.waxwingcourse.model.id.HostId;
import org.waxwingcourse.model.id.RequestId;
import org.waxwingcourse.model.id.UpstreamId;
import org.waxwingcourse.model.request.WorkClass;
import org.waxwingcourse.model.time.Deadline;

/**
 * Simulates jobs of ten items beside online load that swings, on a {@link SlotScheduler} with a
 * simulated clock. Items keep the events that they have when they lose their slot, as in {@code
 * ItemRun}.
 */
final class BatchOverloadSimulation {
  static final Duration DUE_AFTER = Duration.ofSeconds(18);
  static final Duration EVENT_GAP = Duration.ofMillis(20);

  private static final HostId HOST = HostId.of("host");
  private static final int MEAN_EVENTS = 245;
  private static final double EVENTS_SPREAD = 0.25;
  private static final int ITEMS_PER_JOB = 10;
  private static final Duration RESUME_COST = Duration.ofMillis(50);
  private static final Duration ABANDON_AFTER = Duration.ofSeconds(60);

  /** Online load swings between these multiples of its mean; see the pattern of the test. */
  private static final double LOW = 0.38;

  private static final double HIGH = 1.84;
  private static final Duration PERIOD = Duration.ofMillis(6600);
  private static final Duration HIGH_TIME = Duration.ofMillis(2800);

  private final SlotScheduler scheduler;
  private final Random random;
  private final int slots;
  private final PriorityQueue<ScheduledAction> events =
      new PriorityQueue<>((a, b) -> a.at.compareTo(b.at));
  private final Map<RunId, Item> items = new HashMap<>();
  private final Map<RunId, Instant> startTimes = new HashMap<>();
  private final Map<RunId, UpstreamId> onlineRuns = new HashMap<>();
  private Instant now = Instant.ofEpochSecond(1000);
  private long lastNumber;
  private int owed;
  private int inTime;
  private int late;
  private int cuts;
  private long sequence;

  private record ScheduledAction(Instant at, long order, Runnable action) {}

  /** What became of the items that were due before the end of the simulation. */
  record Result(int owed, int inTime, int late, int cuts) {
    double shareInTime() {
      return (double) inTime / owed;
    }
  }

  private static final class Item {
    private final Instant dueAt;
    private final Instant abandonAt;
    private final int totalEvents;
    private int receivedEvents;

    Item(Instant now, int totalEvents) {
      this.dueAt = now.plus(DUE_AFTER);
      this.abandonAt = now.plus(ABANDON_AFTER);
      this.totalEvents = totalEvents;
    }
  }

  BatchOverloadSimulation(int engines, int slotsEach, BatchOrder order, long seed) {
    scheduler = new SlotScheduler(FreeSlotReserve.createDefault(), order);
    random = new Random(seed);
    slots = engines * slotsEach;
    List<EngineEntry> entries = new ArrayList<>();
    for (int i = 0; i < engines; i++) {
      entries.add(SlotSimulation.engine("engine-" + i, slotsEach, false));
    }
    scheduler.setEngines(entries, slotsEach, now);
  }

  /**
   * Runs online load that takes {@code onlineShare} of the slots on average, and batch load that
   * needs {@code batchLoad} times what online leaves.
   */
  Result run(double onlineShare, double batchLoad, Duration span) {
    double onlineSeconds = SlotSimulation.ONLINE_RUN.toNanos() / 1e9;
    double onlineRate = onlineShare * slots / onlineSeconds;
    double itemSeconds = MEAN_EVENTS * EVENT_GAP.toNanos() / 1e9;
    double jobRate = batchLoad * (1 - onlineShare) * slots / itemSeconds / ITEMS_PER_JOB;
    Instant end = now.plus(span);
    Instant lastSubmission = end.minus(DUE_AFTER);
    for (Instant at = now; at.isBefore(end); at = at.plus(PERIOD)) {
      Instant high = at.plus(PERIOD).minus(HIGH_TIME);
      scheduleArrivals(at, high, onlineRate * LOW, this::submitOnline);
      scheduleArrivals(high, at.plus(PERIOD), onlineRate * HIGH, this::submitOnline);
    }
    Duration jobInterval = Duration.ofNanos((long) (1e9 / jobRate));
    for (Instant at = now; at.isBefore(lastSubmission); at = at.plus(jobInterval)) {
      schedule(at, this::submitJob);
    }
    Instant nextTick = now;
    while (now.isBefore(end)) {
      if (!events.isEmpty() && !events.peek().at.isAfter(nextTick)) {
        ScheduledAction scheduled = events.poll();
        now = scheduled.at;
        scheduled.action.run();
      } else {
        now = nextTick;
        nextTick = nextTick.plusMillis(20);
        execute(scheduler.processQueues(now));
      }
    }
    return new Result(owed, inTime, late, cuts);
  }

  private void scheduleArrivals(Instant from, Instant until, double perSecond, Runnable arrival) {
    Instant at = from;
    while (true) {
      at = at.plusNanos((long) (-Math.log(1 - random.nextDouble()) / perSecond * 1e9));
      if (!at.isBefore(until)) {
        return;
      }
      schedule(at, arrival);
    }
  }

  private void schedule(Instant at, Runnable action) {
    events.add(new ScheduledAction(at, sequence++, action));
  }

  private void submitOnline() {
    RunId id = new RunId(HOST, ++lastNumber);
    Instant startBy = now.plus(SlotSimulation.OBJECTIVE_WAIT);
    submit(id, WorkClass.ONLINE, startBy, now.plusSeconds(2), Option.none());
  }

  private void submitJob() {
    for (int i = 0; i < ITEMS_PER_JOB; i++) {
      double spread = Math.exp(EVENTS_SPREAD * random.nextGaussian());
      owed++;
      submitItem(new Item(now, (int) Math.max(10, MEAN_EVENTS * spread)));
    }
  }

  private void submitItem(Item item) {
    RunId id = new RunId(HOST, ++lastNumber);
    items.put(id, item);
    BatchWork work = new BatchWork(Deadline.at(item.dueAt), item.receivedEvents);
    Duration estimate = EVENT_GAP.multipliedBy(Math.max(0, MEAN_EVENTS - item.receivedEvents));
    submit(id, WorkClass.BATCH, item.dueAt.minus(estimate), item.abandonAt, Option.some(work));
  }

  private void submit(
      RunId id, WorkClass workClass, Instant startBy, Instant giveUpAt, Option<BatchWork> work) {
    SlotRequest request =
        new SlotRequest(
            id,
            RequestId.of("r" + id.number()),
            SlotSimulation.SERVICE,
            workClass,
            0,
            Option.none(),
            now,
            Deadline.at(startBy),
            Deadline.at(giveUpAt),
            List.of(),
            DataCentreId.of("a"),
            Set.of(),
            Set.of(),
            work,
            Option.none(),
            Option.none(),
            Option.none(),
            HomeRegions.ANY);
    execute(scheduler.submit(request, now));
  }

  private void execute(List<SlotDecision> decisions) {
    for (SlotDecision decision : decisions) {
      if (decision instanceof SlotDecision.Grant grant) {
        start(grant);
      } else if (decision instanceof SlotDecision.Yield yield) {
        preempt(yield.run());
      }
    }
  }

  private void start(SlotDecision.Grant grant) {
    RunId id = grant.request().id();
    if (grant.request().isOnline()) {
      onlineRuns.put(id, grant.engine());
      schedule(now.plus(SlotSimulation.ONLINE_RUN), () -> endOnline(id));
    } else {
      Item item = items.get(id);
      startTimes.put(id, now);
      Duration run = EVENT_GAP.multipliedBy(item.totalEvents - item.receivedEvents);
      schedule(now.plus(RESUME_COST).plus(run), () -> endItem(id));
    }
  }

  private void endOnline(RunId id) {
    execute(scheduler.endRun(id, RunEnd.of(RunEnd.How.WHOLE), now));
  }

  private void endItem(RunId id) {
    Item item = items.get(id);
    if (startTimes.remove(id) != null) {
      inTime += now.isAfter(item.dueAt) ? 0 : 1;
      late += now.isAfter(item.dueAt) ? 1 : 0;
      RunEnd end = new RunEnd(RunEnd.How.WHOLE, RESUME_COST, EVENT_GAP, item.totalEvents);
      execute(scheduler.endRun(id, end, now));
    }
  }

  private void preempt(RunId id) {
    cuts++;
    Item item = items.get(id);
    Duration ran = Duration.between(startTimes.remove(id), now).minus(RESUME_COST);
    if (!ran.isNegative()) {
      item.receivedEvents += (int) (ran.toNanos() / EVENT_GAP.toNanos());
    }
    submitItem(item);
  }
}
