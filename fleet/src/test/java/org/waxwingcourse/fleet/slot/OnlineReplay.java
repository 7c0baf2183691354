package org.waxwingcourse.fleet.slot;

import io.vavr.control.Option;
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
import java.util.TreeMap;
import java.util.function.Function;
import org.waxwingcourse.fleet.engine.EngineEntry;
import org.waxwingcourse.fleet.estimate.RequestSize;
import org.waxwingcourse.fleet.plan.HomeRegions;
import org.waxwingcourse.model.id.DataCentreId;
import org.waxwingcourse.model.id.HostId;
import org.waxwingcourse.model.id.OrganisationId;
import org.waxwingcourse.model.id.RequestId;
import org.waxwingcourse.model.id.UpstreamId;
import org.waxwingcourse.model.request.WorkClass;
import org.waxwingcourse.model.time.Deadline;

/**
 * Replays the load of Deployment B of docs/design/overload-and-recovery.md on a {@link
 * SlotScheduler} with a simulated clock: callers of several organisations who return once after a
 * refusal, at the stated time if it is within a third of the time they have left, and batch items.
 */
final class OnlineReplay {
  static final Instant START = Instant.ofEpochSecond(1000);
  static final int ENGINES = 34;
  static final int SLOTS = 8;
  private static final double[] WEIGHTS = {3, 3, 2, 2, 1, 1, 1, 1, 1, 1};
  static final int ORGANISATIONS = 10;
  private static final double USUAL_PER_SECOND = 139;
  private static final double BATCH_PER_SECOND = 14;
  private static final Duration PERIOD = Duration.ofMillis(6600);
  private static final Duration PEAK = Duration.ofMillis(2800);
  private static final double PEAK_FACTOR = 1.84;
  private static final double TROUGH_FACTOR = 0.38;
  private static final Duration TIME_LIMIT = Duration.ofSeconds(5);

  /** A caller refused within a quarter of its objective may still be served in time. */
  private static final Duration REFUSED_SOON = Duration.ofMillis(75);

  private static final Duration TICK = Duration.ofMillis(20);

  /** An organisation sends more than usual for a time. */
  record Burst(int organisation, double factor, Duration from, Duration until) {}

  /** All engines are unlisted for a time. */
  record Outage(Duration from, Duration until) {}

  /** A caller's request over its attempts. */
  static final class Call {
    final int organisation;
    final int rank;
    final boolean isLong;
    final String dataCentre;
    final Instant sentAt;
    int attempts;
    int decisions;
    boolean inTime;
    boolean late;
    boolean refused;
    boolean refusedSoon;

    Call(int organisation, int rank, boolean isLong, String dataCentre, Instant sentAt) {
      this.organisation = organisation;
      this.rank = rank;
      this.isLong = isLong;
      this.dataCentre = dataCentre;
      this.sentAt = sentAt;
    }
  }

  private record Action(Instant at, long number, Runnable action) {}

  final List<Call> calls = new ArrayList<>();
  final SlotScheduler scheduler;
  final List<Duration> statedDelays = new ArrayList<>();
  int maxRuns;
  int idleWithWaiting;
  int itemsEnded;
  int itemsInTime;
  private final boolean organisationsKnown;
  private final Random random;
  private final PriorityQueue<Action> actions =
      new PriorityQueue<>(
          (a, b) -> a.at.equals(b.at) ? Long.compare(a.number, b.number) : a.at.compareTo(b.at));
  private final Map<RunId, Call> callById = new HashMap<>();
  private final Map<RunId, UpstreamId> running = new HashMap<>();
  private final Map<UpstreamId, Integer> runsByEngine = new HashMap<>();
  private final Map<RunId, Instant> itemsDue = new HashMap<>();
  private final Set<RunId> decided = new HashSet<>();
  private final List<Burst> bursts;
  private Instant now = START;
  private long lastNumber;
  private long lastAction;

  OnlineReplay(boolean organisationsKnown, List<Burst> bursts, long seed) {
    this.organisationsKnown = organisationsKnown;
    this.bursts = bursts;
    this.random = new Random(seed);
    scheduler =
        new SlotScheduler(
            FreeSlotReserve.createDefault(),
            new MooreHodgsonOrder(),
            LimitedPlacement.createDefault());
    listEngines(true);
  }

  OnlineReplay withOutage(Outage outage) {
    schedule(START.plus(outage.from), this::loseEngines);
    schedule(START.plus(outage.until), () -> listEngines(true));
    return this;
  }

  private void loseEngines() {
    List.copyOf(running.keySet()).forEach(id -> endRun(id, RunEnd.How.ENGINE_LOST));
    listEngines(false);
  }

  private void listEngines(boolean present) {
    List<EngineEntry> entries = new ArrayList<>();
    for (int i = 0; i < (present ? ENGINES : 0); i++) {
      entries.add(SlotSimulation.engine("engine-" + i, SLOTS, false));
    }
    execute(scheduler.setEngines(entries, SLOTS, now));
  }

  OnlineReplay run(Duration span) {
    Instant end = START.plus(span);
    for (int i = 0; i < ORGANISATIONS; i++) {
      scheduleCalls(i, end);
    }
    double at = 0;
    while (at < span.toMillis() / 1e3) {
      schedule(START.plusNanos((long) (at * 1e9)), this::submitNewItem);
      at -= Math.log(1 - random.nextDouble()) / BATCH_PER_SECOND;
    }
    for (Instant t = START; t.isBefore(end.plus(TIME_LIMIT)); t = t.plus(TICK)) {
      schedule(t, () -> execute(scheduler.processQueues(now)));
    }
    while (!actions.isEmpty()) {
      Action next = actions.poll();
      now = next.at;
      next.action.run();
      SlotLoad load = scheduler.load(now);
      maxRuns = Math.max(maxRuns, runsByEngine.values().stream().reduce(0, Math::max));
      idleWithWaiting += load.onlineWaiting() > 0 && load.online() < load.slots() ? 1 : 0;
    }
    return this;
  }

  private void scheduleCalls(int organisation, Instant end) {
    double sum = 0;
    for (double w : WEIGHTS) {
      sum += w;
    }
    double usual = USUAL_PER_SECOND * WEIGHTS[organisation] / sum;
    double most = usual * PEAK_FACTOR * 7;
    Instant at = START;
    while (at.isBefore(end)) {
      at = at.plusNanos((long) (-Math.log(1 - random.nextDouble()) / most * 1e9));
      boolean sent = random.nextDouble() * most < usual * factor(organisation, at);
      int rank = random.nextInt(2);
      boolean isLong = random.nextBoolean();
      String dataCentre = "dc-" + random.nextInt(3);
      if (sent && at.isBefore(end)) {
        Call call = new Call(organisation, rank, isLong, dataCentre, at);
        calls.add(call);
        schedule(at, () -> submit(call));
      }
    }
  }

  private double factor(int organisation, Instant at) {
    Duration since = Duration.between(START, at);
    boolean peak = since.toNanos() % PERIOD.toNanos() >= PERIOD.minus(PEAK).toNanos();
    double factor = peak ? PEAK_FACTOR : TROUGH_FACTOR;
    for (Burst b : bursts) {
      boolean inside = since.compareTo(b.from) >= 0 && since.compareTo(b.until) < 0;
      factor *= b.organisation == organisation && inside ? b.factor : 1;
    }
    return factor;
  }

  private void submit(Call call) {
    call.attempts++;
    RunId id = new RunId(HostId.of("host"), ++lastNumber);
    callById.put(id, call);
    Duration left = Duration.between(now, call.sentAt.plus(TIME_LIMIT));
    Option<OrganisationId> organisation =
        Option.when(organisationsKnown, () -> OrganisationId.of("org-" + call.organisation));
    Deadline giveUpAt = Deadline.at(now.plus(left.multipliedBy(2).dividedBy(5)));
    submit(
        id,
        WorkClass.ONLINE,
        call.rank,
        organisation,
        now.plus(SlotSimulation.OBJECTIVE_WAIT),
        giveUpAt,
        Option.none());
  }

  private void submitNewItem() {
    RunId id = new RunId(HostId.of("host"), ++lastNumber);
    itemsDue.put(id, now.plusSeconds(18));
    submitItem(id);
  }

  private void submitItem(RunId id) {
    Instant due = itemsDue.get(id);
    submit(
        id,
        WorkClass.BATCH,
        0,
        Option.none(),
        due.minus(SlotSimulation.BATCH_RUN),
        Deadline.at(due.plusSeconds(30)),
        Option.some(new BatchWork(Deadline.at(due), 0)));
  }

  private void submit(
      RunId id,
      WorkClass workClass,
      int rank,
      Option<OrganisationId> organisation,
      Instant startBy,
      Deadline giveUpAt,
      Option<BatchWork> work) {
    String dataCentre = work.isEmpty() ? callById.get(id).dataCentre : "a";
    SlotRequest request =
        new SlotRequest(
            id,
            RequestId.of("r" + id.number()),
            SlotSimulation.SERVICE,
            workClass,
            rank,
            Option.none(),
            organisation,
            now,
            Deadline.at(startBy),
            giveUpAt,
            List.of(),
            DataCentreId.of(dataCentre),
            Set.of(),
            Set.of(),
            work,
            Option.none(),
            Option.none(),
            Option.none(),
            HomeRegions.ANY,
            RequestSize.UNKNOWN);
    execute(scheduler.submit(request, now));
  }

  private void execute(List<SlotDecision> decisions) {
    for (SlotDecision decision : decisions) {
      if (decision instanceof SlotDecision.Grant grant) {
        start(grant);
      } else if (decision instanceof SlotDecision.Yield yield) {
        removeRun(yield.run());
        submitLater(yield.run());
      } else {
        refuse((SlotDecision.Refuse) decision);
      }
    }
  }

  private void submitLater(RunId item) {
    RunId next = new RunId(item.host(), ++lastNumber);
    itemsDue.put(next, itemsDue.remove(item));
    schedule(now.plusMillis(1), () -> submitItem(next));
  }

  private void start(SlotDecision.Grant grant) {
    SlotRequest request = grant.request();
    running.put(request.id(), grant.engine());
    runsByEngine.merge(grant.engine(), 1, Integer::sum);
    Duration time = SlotSimulation.BATCH_RUN;
    if (request.isOnline()) {
      Call call = callById.get(request.id());
      recordDecision(request.id(), call);
      boolean late = request.startBy().isPast(now);
      call.inTime = !late && (call.attempts == 1 || call.refusedSoon);
      call.late = !call.inTime;
      time = Duration.ofMillis(call.isLong ? 1050 : 350);
    }
    schedule(now.plus(time), () -> endRun(request.id(), RunEnd.How.WHOLE));
  }

  private void recordDecision(RunId id, Call call) {
    call.decisions++;
    if (!decided.add(id)) {
      throw new AssertionError("request " + id + " was decided twice");
    }
  }

  private void refuse(SlotDecision.Refuse refuse) {
    SlotRequest request = refuse.request();
    if (!request.isOnline()) {
      itemsDue.remove(request.id());
      return;
    }
    Call call = callById.get(request.id());
    recordDecision(request.id(), call);
    Duration stated = Duration.between(now, refuse.retryAt());
    if (call.attempts > 1) {
      call.refused = true;
      return;
    }
    statedDelays.add(stated);
    Duration waited = Duration.between(request.receivedAt(), now);
    call.refusedSoon = waited.compareTo(REFUSED_SOON) <= 0;
    Duration left = Duration.between(now, call.sentAt.plus(TIME_LIMIT));
    boolean followed = stated.multipliedBy(3).compareTo(left) <= 0;
    Duration delay = followed ? stated : Duration.ofMillis(100);
    Duration connecting = Duration.ofMillis(1 + random.nextInt(30));
    schedule(now.plus(delay).plus(connecting), () -> submit(call));
  }

  private void endRun(RunId id, RunEnd.How how) {
    if (!running.containsKey(id)) {
      return;
    }
    removeRun(id);
    Instant due = itemsDue.remove(id);
    if (due != null && how == RunEnd.How.WHOLE) {
      itemsEnded++;
      itemsInTime += now.isAfter(due) ? 0 : 1;
    }
    Duration first = how == RunEnd.How.WHOLE ? Duration.ofMillis(50) : Duration.ZERO;
    execute(scheduler.endRun(id, new RunEnd(how, first, Duration.ofMillis(20), 245), now));
  }

  private void removeRun(RunId id) {
    UpstreamId engine = running.remove(id);
    if (engine != null) {
      runsByEngine.merge(engine, -1, Integer::sum);
    }
  }

  private void schedule(Instant at, Runnable action) {
    actions.add(new Action(at, ++lastAction, action));
  }

  /** Returns the part of calls that were served in time, by a property of the call. */
  <K extends Comparable<K>> Map<K, Double> partInTime(Function<Call, K> property) {
    Map<K, int[]> counts = new TreeMap<>();
    for (Call call : calls) {
      int[] count = counts.computeIfAbsent(property.apply(call), k -> new int[2]);
      count[0] += call.inTime ? 1 : 0;
      count[1]++;
    }
    Map<K, Double> parts = new TreeMap<>();
    counts.forEach((k, n) -> parts.put(k, (double) n[0] / n[1]));
    return parts;
  }
}
