package org.waxwingcourse.fleet.slot;

import io.vavr.control.Option;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Predicate;
import org.waxwingcourse.fleet.engine.EngineEntry;
import org.waxwingcourse.model.id.HostId;
import org.waxwingcourse.model.id.UpstreamId;
import org.waxwingcourse.model.time.Deadline;

/**
 * Shares out the slots of one service's engines. Engines admit what comes in order of arrival and
 * know no priority, so they are given no more than they run at once and all waiting is done here.
 *
 * <ul>
 *   <li>Online before batch, always: an online request that finds no free slot takes one from a
 *       batch run at once. Batch fills what is free but for a few slots, see {@link YieldReserve}.
 *       Answers load that swings between a third and twice its mean within seconds.
 *   <li>Earliest deadline first among online requests that can still start in time; one whose
 *       deadline has passed waits behind all that can. Answers a burst that exceeds the slots: a
 *       late answer is worth little, so nobody who can be in time waits for one who cannot.
 *   <li>A request that the queue ahead of it would make late is refused when it comes, with the
 *       time at which the queue will have drained, so that its caller's next attempt can still be
 *       in time. Answers the loss of engines under full load.
 * </ul>
 *
 * <p>Safe for use by several threads: one lock for each service.
 */
public final class ServiceSlots {
  /** Run time assumed before the first run has ended. */
  private static final Duration FIRST_RUN_TIME = Duration.ofMillis(700);

  /** Weight of the newest run in the mean run time. */
  private static final double RUN_WEIGHT = 0.05;

  /** Deadline advantage of one step of rank. */
  private static final Duration RANK_STEP = Duration.ofMillis(100);

  /** A grant reaches its host, and the host's word comes back, within this time. */
  private static final Duration GRANT_TRAVEL = Duration.ofMillis(1000);

  /** When a caller may come back if no engine of the service is known to work. */
  private static final Duration NO_ENGINE_RETRY = Duration.ofMillis(600);

  /** Score of a shared prompt part that need not be read again, in units of one busy slot. */
  private static final double CACHED_PART_GAIN = 1.0;

  /** Score of an engine in the asker's data centre, in units of one busy slot. */
  private static final double NEAR_GAIN = 0.5;

  private static final Comparator<SlotRequest> EARLIEST_FIRST =
      Comparator.comparing(ServiceSlots::urgency)
          .thenComparing(r -> r.id().host())
          .thenComparing(r -> r.id().number());

  private final Map<UpstreamId, EngineSlots> engines = new HashMap<>();
  private final TreeSet<SlotRequest> online = new TreeSet<>(EARLIEST_FIRST);
  private final TreeSet<SlotRequest> batch = new TreeSet<>(EARLIEST_FIRST);
  private final YieldReserve reserve;
  private double runMillis = FIRST_RUN_TIME.toMillis();
  private double share = 1;

  /** Creates a scheduler without engines. */
  public ServiceSlots() {
    this(YieldReserve.usual());
  }

  ServiceSlots(YieldReserve reserve) {
    this.reserve = reserve;
  }

  /**
   * Takes a request in: it starts, waits or is refused. A request that is known already is decided
   * no second time; if it runs, its grant is given again, since the first may have been lost.
   */
  public synchronized List<Decision> offer(SlotRequest request, Instant now) {
    List<Decision> decisions = new ArrayList<>();
    Option<UpstreamId> place = placeOf(request.id());
    if (place.isDefined()) {
      decisions.add(new Decision.Grant(request, place.get()));
      return decisions;
    }
    if (isWaiting(request.id())) {
      return decisions;
    }
    if (request.isOnline()) {
      reserve.arrived(now);
    }
    if (!request.isOnline()) {
      batch.add(request);
    } else if (!hasUsable(now)) {
      decisions.add(refuse(request, now.plus(NO_ENGINE_RETRY), "no engine of the service works"));
    } else {
      offerOnline(request, now, decisions);
    }
    fill(now, decisions);
    return decisions;
  }

  /** A run has ended and its slot is free; nothing if it has yielded before. */
  public synchronized List<Decision> end(RunId id, RunEnd end, Instant now) {
    for (EngineSlots engine : engines.values()) {
      EngineSlots.Run run = engine.runs().remove(id);
      if (run != null) {
        learn(run, end, now);
        engine.condition().ended(end, now);
      }
    }
    return fill(now, new ArrayList<>());
  }

  /** A run has had no byte for longer than a sound engine takes. */
  public synchronized void silent(RunId id, Instant now) {
    engines.values().stream()
        .filter(e -> e.runs().containsKey(id))
        .forEach(e -> e.condition().silent(now));
  }

  /** A request that waits is no longer wanted. */
  public synchronized void withdraw(RunId id) {
    online.removeIf(r -> r.id().equals(id));
    batch.removeIf(r -> r.id().equals(id));
  }

  /** A host is gone; its runs have ended with it. */
  public synchronized List<Decision> hostGone(HostId host, Instant now) {
    online.removeIf(r -> r.id().host().equals(host));
    batch.removeIf(r -> r.id().host().equals(host));
    engines.values().forEach(e -> e.runs().keySet().removeIf(id -> id.host().equals(host)));
    return fill(now, new ArrayList<>());
  }

  /**
   * Frees the slots of a host's runs that are not among those it says it has. Runs that have just
   * been granted are left, since the host may not have known of them.
   */
  public synchronized List<Decision> retain(HostId host, Set<RunId> listed, Instant now) {
    Instant known = now.minus(GRANT_TRAVEL);
    for (EngineSlots engine : engines.values()) {
      engine
          .runs()
          .entrySet()
          .removeIf(
              e ->
                  e.getKey().host().equals(host)
                      && !listed.contains(e.getKey())
                      && e.getValue().since().isBefore(known));
    }
    return fill(now, new ArrayList<>());
  }

  /** Takes in a run that began under another coordinator. */
  public synchronized void adopt(RunId id, UpstreamId engine, boolean isOnline, Instant now) {
    EngineSlots slots = engines.get(engine);
    if (slots != null && placeOf(id).isEmpty()) {
      slots.adopt(id, isOnline, now);
    }
  }

  /** Takes the engines that the store names; {@code defaultSlots} is for those that state none. */
  public synchronized List<Decision> engines(
      Collection<EngineEntry> entries, int defaultSlots, Instant now) {
    Set<UpstreamId> named = new HashSet<>();
    for (EngineEntry entry : entries) {
      named.add(entry.id());
      int slots = entry.slots() > 0 ? entry.slots() : defaultSlots;
      EngineSlots known = engines.get(entry.id());
      if (known == null || known.entry().born() != entry.born()) {
        engines.put(entry.id(), new EngineSlots(entry, slots));
      } else {
        known.update(entry, slots);
      }
    }
    engines.keySet().retainAll(named);
    return fill(now, new ArrayList<>());
  }

  /** Sets the part of all slots that this scheduler may fill, in (0, 1]. */
  public synchronized void share(double part) {
    share = part;
  }

  /** Starts what has found a slot by now and refuses what is no longer wanted. */
  public synchronized List<Decision> tick(Instant now) {
    List<Decision> decisions = new ArrayList<>();
    for (TreeSet<SlotRequest> queue : List.of(online, batch)) {
      List<SlotRequest> past = queue.stream().filter(r -> r.giveUpAt().isPast(now)).toList();
      for (SlotRequest request : past) {
        queue.remove(request);
        decisions.add(refuse(request, freeAt(online.size() + 1, now), "no slot came in time"));
      }
    }
    return fill(now, decisions);
  }

  /** Returns the load, for logs and metrics. */
  public synchronized SlotLoad load(Instant now) {
    int slots = 0;
    int onlineRuns = 0;
    int batchRuns = 0;
    for (EngineSlots engine : engines.values()) {
      slots += engine.isUsable(now) ? engine.slots() : 0;
      for (EngineSlots.Run run : engine.runs().values()) {
        onlineRuns += run.online() ? 1 : 0;
        batchRuns += run.online() ? 0 : 1;
      }
    }
    return new SlotLoad(slots, onlineRuns, batchRuns, online.size(), batch.size());
  }

  private void offerOnline(SlotRequest request, Instant now, List<Decision> decisions) {
    int ahead = online.headSet(request).size();
    boolean free = ahead == 0 && place(request, now).isDefined();
    Instant start = free ? now : freeAt(ahead + 1, now);
    if (request.startBy().isPast(start)) {
      String reason = ahead + " requests wait before it for " + usableSlots(now) + " slots";
      decisions.add(refuse(request, start, reason));
    } else {
      online.add(request);
    }
  }

  private Option<UpstreamId> placeOf(RunId id) {
    return Option.ofOptional(
        engines.values().stream()
            .filter(e -> e.runs().containsKey(id))
            .map(e -> e.entry().id())
            .findFirst());
  }

  private boolean isWaiting(RunId id) {
    return online.stream().anyMatch(r -> r.id().equals(id))
        || batch.stream().anyMatch(r -> r.id().equals(id));
  }

  private List<Decision> fill(Instant now, List<Decision> decisions) {
    while (!online.isEmpty()) {
      SlotRequest next = next(online, now);
      Option<EngineSlots> place = place(next, now);
      if (place.isEmpty()) {
        return decisions;
      }
      online.remove(next);
      if (!place.get().hasFree()) {
        RunId yielding = place.get().batchToYield().get();
        place.get().runs().remove(yielding);
        decisions.add(new Decision.Yield(yielding, place.get().entry().id(), next));
      }
      start(next, place.get(), now, decisions);
    }
    while (!batch.isEmpty() && isWithinShare(now) && freeSlots(now) > reserve.slots(now)) {
      SlotRequest next = next(batch, now);
      Option<EngineSlots> place = best(next, now, EngineSlots::hasFree);
      if (place.isEmpty()) {
        return decisions;
      }
      batch.remove(next);
      start(next, place.get(), now, decisions);
    }
    return decisions;
  }

  /** Returns the most urgent request that can be in time, else the most urgent one. */
  private static SlotRequest next(TreeSet<SlotRequest> queue, Instant now) {
    return queue.stream().filter(r -> !r.startBy().isPast(now)).findFirst().orElseGet(queue::first);
  }

  /** Returns the engine for an online request: one with a free slot, else one that runs batch. */
  private Option<EngineSlots> place(SlotRequest request, Instant now) {
    Option<EngineSlots> free =
        isWithinShare(now) ? best(request, now, EngineSlots::hasFree) : Option.none();
    return free.orElse(() -> best(request, now, e -> !e.condition().isOnProbe() && canYield(e)));
  }

  private static boolean canYield(EngineSlots engine) {
    return engine.batchToYield().isDefined();
  }

  private Option<EngineSlots> best(SlotRequest request, Instant now, Predicate<EngineSlots> fits) {
    List<EngineSlots> usable =
        engines.values().stream().filter(e -> e.isUsable(now) && fits.test(e)).toList();
    List<EngineSlots> untried =
        usable.stream().filter(e -> !request.avoid().contains(e.entry().id())).toList();
    List<EngineSlots> candidates = untried.isEmpty() ? usable : untried;
    double fastest =
        engines.values().stream()
            .mapToDouble(e -> e.condition().gapMillis())
            .filter(g -> g > 0)
            .min()
            .orElse(0);
    return Option.ofOptional(
        candidates.stream()
            .min(
                Comparator.comparingDouble((EngineSlots e) -> cost(e, request, fastest))
                    .thenComparing(e -> e.entry().id())));
  }

  private static double cost(EngineSlots engine, SlotRequest request, double fastest) {
    double gap = engine.condition().gapMillis();
    double slowness = gap > 0 && fastest > 0 ? gap / fastest : 1;
    double busy = engine.runs().size() + (engine.condition().isOnProbe() ? engine.slots() : 0);
    double cached = CACHED_PART_GAIN * engine.cached(request.promptParts());
    boolean near = engine.entry().dataCentre().equals(request.dataCentre());
    return slowness * (busy + engine.slots()) - cached - (near ? NEAR_GAIN : 0);
  }

  private void start(
      SlotRequest request, EngineSlots engine, Instant now, List<Decision> decisions) {
    engine.start(request, now);
    decisions.add(new Decision.Grant(request, engine.entry().id()));
  }

  private boolean isWithinShare(Instant now) {
    if (share >= 1) {
      return true;
    }
    int running = engines.values().stream().mapToInt(e -> e.runs().size()).sum();
    return running < Math.max(1, Math.floor(share * usableSlots(now)));
  }

  private boolean hasUsable(Instant now) {
    return engines.values().stream().anyMatch(e -> e.isUsable(now));
  }

  private int freeSlots(Instant now) {
    return engines.values().stream()
        .filter(e -> e.isUsable(now) && e.hasFree())
        .mapToInt(e -> e.slots() - e.runs().size())
        .sum();
  }

  private int usableSlots(Instant now) {
    return engines.values().stream()
        .filter(e -> e.isUsable(now))
        .mapToInt(EngineSlots::slots)
        .sum();
  }

  /**
   * Returns when the given number of slots will have come free, as far as the mean run time tells:
   * runs that began together end together, so the time is read off the starts of what runs.
   */
  private Instant freeAt(int count, Instant now) {
    Duration run = Duration.ofNanos((long) (runMillis * 1e6));
    List<Instant> ends =
        engines.values().stream()
            .flatMap(e -> e.runs().values().stream())
            .filter(EngineSlots.Run::online)
            .map(r -> r.since().plus(run))
            .map(end -> end.isBefore(now) ? now : end)
            .sorted()
            .toList();
    if (ends.isEmpty()) {
      return now.plus(run);
    }
    int rounds = (count - 1) / ends.size();
    return ends.get((count - 1) % ends.size()).plus(run.multipliedBy(rounds));
  }

  private void learn(EngineSlots.Run run, RunEnd end, Instant now) {
    if (run.online() && end.how() == RunEnd.How.WHOLE && run.request() != null) {
      double millis = Duration.between(run.since(), now).toNanos() / 1e6;
      runMillis += RUN_WEIGHT * (millis - runMillis);
    }
  }

  private static Deadline urgency(SlotRequest request) {
    return Deadline.at(request.startBy().at().plus(RANK_STEP.multipliedBy(request.rank())));
  }

  private static Decision refuse(SlotRequest request, Instant retryAt, String reason) {
    return new Decision.Refuse(request, false, retryAt, reason);
  }
}
