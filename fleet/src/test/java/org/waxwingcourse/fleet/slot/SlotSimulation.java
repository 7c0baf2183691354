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
import org.waxwingcourse.model.id.DataCentreId;
import org.waxwingcourse.model.id.HostId;
import org.waxwingcourse.model.id.RequestId;
import org.waxwingcourse.model.id.ServiceName;
import org.waxwingcourse.model.id.UpstreamId;
import org.waxwingcourse.model.request.WorkClass;
import org.waxwingcourse.model.time.Deadline;

/** Replays a load against {@link ServiceSlots} on a clock of its own; engines are ideal. */
final class SlotSimulation {
  static final ServiceName SERVICE = ServiceName.of("model");
  static final Duration OBJECTIVE_WAIT = Duration.ofMillis(216);
  static final Duration ONLINE_RUN = Duration.ofMillis(720);
  static final Duration BATCH_RUN = Duration.ofMillis(4900);

  /** Slot time that a batch run loses when it is cut; see {@link YieldReserve}. */
  private static final Duration CHANGE = Duration.ofMillis(50);

  final ServiceSlots slots;
  final List<Duration> waits = new ArrayList<>();
  final List<Decision.Refuse> refusals = new ArrayList<>();
  final Map<UpstreamId, Integer> load = new HashMap<>();
  final List<Long> started = new ArrayList<>();
  int grantedBatch;
  int startedInTime;
  int yields;
  Duration batchWork = Duration.ZERO;
  int fullestEngine;
  Instant now = Instant.ofEpochSecond(1000);

  private final Random random;
  private final PriorityQueue<Event> events =
      new PriorityQueue<>((a, b) -> a.at.equals(b.at) ? 0 : a.at.compareTo(b.at));
  private final Map<RunId, SlotRequest> running = new HashMap<>();
  private final Map<RunId, UpstreamId> places = new HashMap<>();
  private final Map<RunId, Instant> starts = new HashMap<>();
  private final List<EngineEntry> engines = new ArrayList<>();
  private long numbers;

  private record Event(Instant at, Runnable action) {}

  SlotSimulation(int engineCount, int slotsEach, long seed) {
    this(engineCount, slotsEach, seed, YieldReserve.usual());
  }

  SlotSimulation(int engineCount, int slotsEach, long seed, YieldReserve reserve) {
    slots = new ServiceSlots(reserve);
    random = new Random(seed);
    for (int i = 0; i < engineCount; i++) {
      engines.add(engine("engine-" + i, slotsEach, false));
    }
    publish();
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

  void publish() {
    carryOut(slots.engines(engines, 8, now));
  }

  void lose(int index) {
    EngineEntry lost = engines.get(index);
    List<RunId> there =
        places.entrySet().stream()
            .filter(e -> e.getValue().equals(lost.id()))
            .map(Map.Entry::getKey)
            .toList();
    for (RunId id : there) {
      end(id, RunEnd.How.ENGINE_LOST);
    }
  }

  void at(Duration later, Runnable action) {
    events.add(new Event(now.plus(later), action));
  }

  /** Schedules online arrivals at a rate, with exponential pauses, over a span. */
  void online(Duration from, Duration until, double perSecond) {
    double at = from.toNanos() / 1e9;
    double end = until.toNanos() / 1e9;
    at += -Math.log(1 - random.nextDouble()) / perSecond;
    while (at < end) {
      at(Duration.ofNanos((long) (at * 1e9)), () -> offer(WorkClass.ONLINE, OBJECTIVE_WAIT));
      at += -Math.log(1 - random.nextDouble()) / perSecond;
    }
  }

  void batch(int items) {
    for (int i = 0; i < items; i++) {
      offer(WorkClass.BATCH, Duration.ofSeconds(18));
    }
  }

  void offer(WorkClass workClass, Duration startWithin) {
    carryOut(slots.offer(request(workClass, startWithin), now));
  }

  SlotRequest request(WorkClass workClass, Duration startWithin) {
    return new SlotRequest(
        new RunId(HostId.of("host"), ++numbers),
        RequestId.of("r" + numbers),
        SERVICE,
        workClass,
        0,
        Option.none(),
        now,
        Deadline.at(now.plus(startWithin)),
        Deadline.at(now.plus(Duration.ofSeconds(workClass == WorkClass.BATCH ? 60 : 2))),
        List.of(),
        DataCentreId.of("a"),
        Set.of());
  }

  void run(Duration span) {
    Instant end = now.plus(span);
    Instant nextTick = now;
    while (now.isBefore(end)) {
      if (!events.isEmpty() && !events.peek().at.isAfter(nextTick)) {
        Event event = events.poll();
        now = event.at;
        event.action.run();
      } else {
        now = nextTick;
        nextTick = nextTick.plusMillis(20);
        carryOut(slots.tick(now));
      }
    }
  }

  private void carryOut(List<Decision> decisions) {
    for (Decision decision : decisions) {
      if (decision instanceof Decision.Grant grant) {
        start(grant);
      } else if (decision instanceof Decision.Yield yield) {
        yields++;
        if (!places.containsKey(yield.run())) {
          continue;
        }
        leave(yield.run());
        running.remove(yield.run());
        offer(WorkClass.BATCH, Duration.ofSeconds(18));
      } else {
        refusals.add((Decision.Refuse) decision);
      }
    }
  }

  private void start(Decision.Grant grant) {
    SlotRequest request = grant.request();
    started.add(request.id().number());
    running.put(request.id(), request);
    places.put(request.id(), grant.engine());
    starts.put(request.id(), now);
    fullestEngine = Math.max(fullestEngine, load.merge(grant.engine(), 1, Integer::sum));
    if (request.isOnline()) {
      waits.add(Duration.between(request.askedAt(), now));
      startedInTime += request.startBy().isPast(now) ? 0 : 1;
    } else {
      grantedBatch++;
    }
    Duration time = request.isOnline() ? ONLINE_RUN : BATCH_RUN;
    at(time, () -> end(request.id(), RunEnd.How.WHOLE));
  }

  private void end(RunId id, RunEnd.How how) {
    if (running.containsKey(id)) {
      leave(id);
      running.remove(id);
      Duration first = how == RunEnd.How.WHOLE ? Duration.ofMillis(50) : Duration.ZERO;
      carryOut(slots.end(id, new RunEnd(how, first, Duration.ofMillis(20)), now));
    }
  }

  private void leave(RunId id) {
    if (!running.get(id).isOnline()) {
      batchWork = batchWork.plus(Duration.between(starts.get(id), now)).minus(CHANGE);
    }
    load.merge(places.remove(id), -1, Integer::sum);
  }
}
