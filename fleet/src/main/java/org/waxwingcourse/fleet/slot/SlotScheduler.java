package org.waxwingcourse.fleet.slot;

import io.vavr.control.Option;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.function.Predicate;
import java.util.stream.Stream;
import org.waxwingcourse.fleet.engine.EngineEntry;
import org.waxwingcourse.model.id.HostId;
import org.waxwingcourse.model.id.UpstreamId;
import org.waxwingcourse.model.request.RefusalCode;

/**
 * Schedules requests onto the slots of one service's engines. Engines admit requests in order of
 * arrival and know no priorities, so an engine never gets more requests than it runs at once and
 * all queueing happens here.
 *
 * <ul>
 *   <li>Online requests take precedence over batch requests: an online request that finds no free
 *       slot preempts a batch run at once. Batch requests fill all free slots but a few, see {@link
 *       FreeSlotReserve}. This serves load that swings between a third and twice its mean within
 *       seconds.
 *   <li>Of the waiting batch requests those that can end in time start first, see {@link
 *       MooreHodgsonOrder}. This serves load that exceeds the slots for longer than the batch
 *       requests can wait.
 *   <li>Online requests that can still start in time are served earliest deadline first; requests
 *       whose deadline has passed are served after them. In a burst that exceeds the slots, a late
 *       answer is worth little, so no request that can be in time waits for one that cannot.
 *   <li>A request that would start late because of the queue ahead of it is refused on arrival,
 *       with the time at which the queue will have drained, so that the caller's next attempt can
 *       still be in time. This bounds the queue when engines are lost under full load. A request
 *       that finds a free slot starts, also if it comes late, as after a restart.
 * </ul>
 *
 * <p>Safe for use by several threads: one lock for each service.
 */
public final class SlotScheduler {
  /** Mean run time assumed before the first run has ended. */
  private static final Duration INITIAL_RUN_TIME = Duration.ofMillis(700);

  /** Weight of the newest run in the moving average of run times. */
  private static final double RUN_TIME_SMOOTHING = 0.05;

  /** Within this time a grant reaches its host and the host's next list of runs comes back. */
  public static final Duration GRANT_ROUND_TRIP = Duration.ofMillis(1000);

  /** Earliest retry after a refusal; runs that are overdue may end at any moment. */
  private static final Duration MIN_RETRY_DELAY = Duration.ofMillis(30);

  /**
   * Maximum number of batch requests that a smaller one may overtake while no engine has memory for
   * them; bounds the work of a decision.
   */
  private static final int MAX_OVERTAKEN = 8;

  /** Time after which a caller without an organisation may retry if no engine is usable. */
  private static final Duration NO_ENGINE_RETRY_DELAY = Duration.ofMillis(600);

  private final EnginePool engines = new EnginePool();
  private final EngineMemory memory = new EngineMemory();
  private final EnginePlacement placement;
  private final OnlineQueue onlineQueue = new OnlineQueue();
  private final BatchQueue batchQueue;
  private final BatchRunTimes batchRunTimes = new BatchRunTimes();
  private final BatchSlotAverage batchSlots = new BatchSlotAverage();
  private final FreeSlotReserve freeSlotReserve;
  private final ExpectedReturns expectedReturns = new ExpectedReturns();
  private final SilenceReports silenceReports = new SilenceReports(engines);
  private double meanRunMillis = INITIAL_RUN_TIME.toMillis();
  private double fleetShare = 1;

  /** Creates a scheduler that knows no engines yet. */
  public SlotScheduler() {
    this(FreeSlotReserve.createDefault(), new MooreHodgsonOrder());
  }

  SlotScheduler(FreeSlotReserve freeSlotReserve, BatchOrder batchOrder) {
    this(freeSlotReserve, batchOrder, LimitedPlacement.createDefault());
  }

  SlotScheduler(
      FreeSlotReserve freeSlotReserve, BatchOrder batchOrder, LimitedPlacement limitedPlacement) {
    this(freeSlotReserve, batchOrder, limitedPlacement, EnginePlacement::placementCost);
  }

  SlotScheduler(
      FreeSlotReserve freeSlotReserve,
      BatchOrder batchOrder,
      LimitedPlacement limitedPlacement,
      EnginePlacement.Cost cost) {
    this.freeSlotReserve = freeSlotReserve;
    this.placement = new EnginePlacement(engines, limitedPlacement, cost);
    this.batchQueue = new BatchQueue(batchOrder);
  }

  /**
   * Submits a request: it starts, waits or is refused. A request that is waiting already is not
   * submitted again; for one that is running the grant is repeated, since the first may have been
   * lost, unless the engine is leaving.
   */
  public synchronized List<SlotDecision> submit(SlotRequest request, Instant now) {
    List<SlotDecision> decisions = new ArrayList<>();
    Option<EngineSlots> runningOn = engines.findByRun(request.id());
    if (runningOn.exists(e -> !e.entry().leaving())) {
      decisions.add(grantOn(runningOn.get(), request));
      return decisions;
    }
    runningOn.forEach(e -> e.runs().remove(request.id()));
    if (isWaiting(request.id())) {
      return decisions;
    }
    if (request.isOnline()) {
      freeSlotReserve.recordArrival(now);
    }
    if (!memory.mayEverAdmit(request)) {
      decisions.add(
          refusal(
              request,
              now.plus(NO_ENGINE_RETRY_DELAY),
              request.size().memoryTokens() + " tokens exceed the memory of the engines"));
    } else if (!request.isOnline()) {
      batchQueue.add(request);
    } else if (!engines.hasUsable(now)) {
      decisions.add(
          refusal(
              request,
              ReturnAfterOutage.returnTime(request, now).getOrElse(now.plus(NO_ENGINE_RETRY_DELAY)),
              "no engine of the service is available"));
    } else if (!mayEverRun(request)) {
      decisions.add(
          new SlotDecision.Refuse(
              request,
              RefusalCode.UNAVAILABLE,
              now.plus(NO_ENGINE_RETRY_DELAY),
              request.describeRestriction()));
    } else {
      submitOnline(request, now, decisions);
    }
    startWaitingRequests(now, decisions);
    return decisions;
  }

  /**
   * Records the end of a run and frees its slot. Does nothing if the run has yielded its slot
   * before.
   */
  public synchronized List<SlotDecision> endRun(RunId id, RunEnd end, Instant now) {
    for (EngineSlots engine : engines.all()) {
      EngineSlots.Run run = engine.runs().remove(id);
      if (run != null) {
        updateRunTimes(run, end, now);
        if (end.how() == RunEnd.How.NOT_SENT) {
          engine.starts().returnStart(now);
        }
        boolean certain = !end.lostEngine() || end.how() == RunEnd.How.CONNECTION_REFUSED;
        if (certain || silenceReports.isCredible(id.host(), engine, now)) {
          engine.health().recordEnd(end, run.startedAt(), now);
          engine.starts().recordEnd(end, now);
        }
      }
    }
    return startWaitingRequests(now, new ArrayList<>());
  }

  /** Returns a run that occupies a slot, none if the run is not known. */
  public synchronized Option<GrantedRun> findRun(RunId id) {
    for (EngineSlots engine : engines.all()) {
      EngineSlots.Run run = engine.runs().get(id);
      if (run != null) {
        return Option.some(
            new GrantedRun(
                engine.entry().id(), run.request(), run.promptParts(), run.fingerprint()));
      }
    }
    return Option.none();
  }

  /** Records that a run has received data from its engine and goes on. */
  public synchronized void recordAnswer(RunId id, UpstreamId engine) {
    Option.of(engines.get(engine))
        .filter(e -> e.runs().containsKey(id))
        .forEach(e -> e.health().recordAnswer(e.runs().get(id).startedAt()));
  }

  /** Returns how many engines have refused connections and not answered since. */
  public synchronized int countRefusing() {
    return engines.countRefusing();
  }

  /** Records that a run received no byte for longer than a healthy engine takes. */
  public synchronized void recordSilence(RunId id, Instant now) {
    engines.all().stream()
        .filter(e -> e.runs().containsKey(id))
        .filter(e -> silenceReports.isCredible(id.host(), e, now))
        .forEach(e -> e.health().recordSilence(now));
  }

  /** Revokes the recent reports of a host that reaches no engine. */
  public synchronized List<SlotDecision> revokeReports(HostId host, Instant now) {
    silenceReports.revoke(host, now);
    return startWaitingRequests(now, new ArrayList<>());
  }

  /** Removes a waiting request that is no longer wanted. */
  public synchronized void withdrawRequest(RunId id) {
    onlineQueue.remove(id);
    batchQueue.remove(id);
  }

  /** Removes and returns the waiting requests that match. */
  public synchronized List<SlotRequest> removeWaiting(Predicate<SlotRequest> filter) {
    List<SlotRequest> removed = findWaiting(filter);
    removed.forEach(r -> withdrawRequest(r.id()));
    return removed;
  }

  /** Removes the requests and runs of a host that is gone or has detached. */
  public synchronized List<SlotDecision> removeHost(HostId host, Instant now) {
    onlineQueue.removeIf(r -> r.id().host().equals(host));
    batchQueue.removeIf(r -> r.id().host().equals(host));
    silenceReports.removeHost(host);
    engines.all().forEach(e -> e.runs().keySet().removeIf(id -> id.host().equals(host)));
    return startWaitingRequests(now, new ArrayList<>());
  }

  /**
   * Frees the slots of a host's runs that are missing from the list of runs it reports. Runs that
   * were granted recently are kept, since the host may not have received the grant when it sent the
   * list.
   */
  public synchronized List<SlotDecision> retainListedRuns(
      HostId host, Set<RunId> listed, Instant now) {
    Instant knownUntil = now.minus(GRANT_ROUND_TRIP);
    for (EngineSlots engine : engines.all()) {
      engine
          .runs()
          .entrySet()
          .removeIf(
              e ->
                  e.getKey().host().equals(host)
                      && !listed.contains(e.getKey())
                      && e.getValue().startedAt().isBefore(knownUntil));
    }
    return startWaitingRequests(now, new ArrayList<>());
  }

  /** Adds a run that another coordinator has granted. */
  public synchronized void addExistingRun(RunId id, UpstreamId engine, ExistingRun run) {
    EngineSlots slots = engines.get(engine);
    if (slots != null && engines.findByRun(id).isEmpty()) {
      slots.addExistingRun(id, run);
    }
  }

  /**
   * Replaces the engines by those listed in the store; {@code defaultSlots} applies to engines that
   * state no number of slots.
   */
  public synchronized List<SlotDecision> setEngines(
      Collection<EngineEntry> entries, int defaultSlots, Instant now) {
    Set<UpstreamId> listedIds = new HashSet<>();
    for (EngineEntry entry : entries) {
      listedIds.add(entry.id());
      int slots = entry.slots() > 0 ? entry.slots() : defaultSlots;
      EngineSlots present = engines.get(entry.id());
      if (present == null || present.entry().startedAtMillis() != entry.startedAtMillis()) {
        engines.put(new EngineSlots(entry, slots, fleetShare, now));
      } else {
        present.update(entry, slots, now);
      }
    }
    engines.retainAll(listedIds);
    return startWaitingRequests(now, new ArrayList<>());
  }

  /** Sets the memory of each engine in tokens, zero if it is not limited. */
  public synchronized void setEngineMemory(int tokens) {
    memory.setCapacity(tokens);
  }

  /**
   * Sets the share of all slots, and of engines' limits, that this scheduler may use, in [0, 1].
   */
  public synchronized void setFleetShare(double newFleetShare, Instant now) {
    fleetShare = newFleetShare;
    engines.all().forEach(e -> e.starts().setShare(newFleetShare, now));
  }

  /** Starts waiting requests that a slot is free for and refuses those that have expired. */
  public synchronized List<SlotDecision> processQueues(Instant now) {
    List<SlotDecision> decisions = new ArrayList<>();
    refuseExpired(now, decisions);
    batchSlots.update(slotsLeftByOnline(now), now);
    return startWaitingRequests(now, decisions);
  }

  /** Returns whether requests wait for a slot. */
  public synchronized boolean isWaitedFor() {
    return onlineQueue.size() + batchQueue.size() > 0;
  }

  /** Returns the present load, without engines that are leaving or lost and the runs there. */
  public synchronized SlotLoad load(Instant now) {
    int slots = 0;
    int onlineRuns = 0;
    int batchRuns = 0;
    for (EngineSlots engine : engines.dependable(now).toList()) {
      slots += engine.slots();
      for (EngineSlots.Run run : engine.runs().values()) {
        onlineRuns += run.online() ? 1 : 0;
        batchRuns += run.online() ? 0 : 1;
      }
    }
    return new SlotLoad(slots, onlineRuns, batchRuns, onlineQueue.size(), batchQueue.size());
  }

  private void refuseExpired(Instant now, List<SlotDecision> decisions) {
    for (SlotRequest request : findWaiting(r -> r.giveUpAt().isPast(now))) {
      withdrawRequest(request.id());
      Instant retryAt = reserveReturn(onlineQueue.size(), now);
      decisions.add(refusal(request, retryAt, "no slot became free in time"));
    }
  }

  private List<SlotRequest> findWaiting(Predicate<SlotRequest> filter) {
    return Stream.concat(onlineQueue.requests().stream(), batchQueue.requests().stream())
        .filter(filter)
        .toList();
  }

  private void submitOnline(SlotRequest request, Instant now, List<SlotDecision> decisions) {
    int requestsAhead = onlineQueue.countAhead(request);
    boolean free = requestsAhead == 0 && selectEngine(request, now).isDefined();
    Instant start = free ? now : estimateFreeAt(requestsAhead + 1, request, now);
    if (!free && request.startBy().isPast(start)) {
      Instant retryAt = reserveReturn(requestsAhead, now);
      decisions.add(refusal(request, retryAt, describeLoad(requestsAhead, now)));
    } else {
      onlineQueue.add(request);
    }
  }

  /** Returns when a refused caller is to come back, behind those who were refused before it. */
  private Instant reserveReturn(int requestsAhead, Instant now) {
    Instant retryAt = estimateFreeAt(requestsAhead + expectedReturns.count(now) + 1, now);
    expectedReturns.add(retryAt);
    return retryAt;
  }

  private String describeLoad(int requestsAhead, Instant now) {
    String load =
        requestsAhead + " requests wait before it for " + engines.usableSlots(now) + " slots";
    List<EngineSlots> limited =
        engines.all().stream().filter(e -> e.starts().isLimiting(now)).toList();
    double rate = limited.stream().mapToDouble(e -> e.starts().rate(now)).sum();
    return limited.isEmpty()
        ? load
        : String.format(
            Locale.ROOT,
            "%s, %d of %d engines take %.1f requests/s",
            load,
            limited.size(),
            engines.size(),
            rate);
  }

  private boolean isWaiting(RunId id) {
    return onlineQueue.contains(id) || batchQueue.contains(id);
  }

  private List<SlotDecision> startWaitingRequests(Instant now, List<SlotDecision> decisions) {
    startProbes(now, decisions);
    // Requests that only some engines may run do not hold up those behind them.
    Set<SlotRequest> withoutEngine = new HashSet<>();
    while (onlineQueue.size() > withoutEngine.size()) {
      SlotRequest next = onlineQueue.next(withoutEngine, now);
      Option<EngineSlots> selected = selectEngine(next, now);
      if (selected.isEmpty()) {
        boolean slotsWithoutMemory = memory.isLimited() && engines.freeSlots(now) > 0;
        if (!next.isRestricted() && !slotsWithoutMemory) {
          return decisions;
        }
        withoutEngine.add(next);
        continue;
      }
      onlineQueue.remove(next.id());
      if (!selected.get().hasFreeSlot()) {
        RunId preempted = selected.get().batchRunToPreempt(batchRunTimes).get();
        selected.get().runs().remove(preempted);
        decisions.add(new SlotDecision.Yield(preempted, selected.get().entry().id(), next));
      }
      grantSlot(next, selected.get(), now, decisions);
    }
    startBatchRequests(now, decisions);
    return decisions;
  }

  /**
   * Tries engines that have refused connections with one batch request each, since it loses little
   * by another attempt. Without a fitting batch request an online request that finds no other slot
   * is the probe.
   */
  private void startProbes(Instant now, List<SlotDecision> decisions) {
    for (EngineSlots engine : batchQueue.isEmpty() ? List.<EngineSlots>of() : engines.all()) {
      if (engine.health().isRefusing()
          && engines.isUsable(engine, now)
          && engine.hasFreeSlot()
          && engine.starts().allowsStart(now)) {
        for (SlotRequest probe : findBatchProbe(engine.entry(), now)) {
          batchQueue.remove(probe.id());
          grantSlot(probe, engine, now, decisions);
        }
      }
    }
  }

  /**
   * Returns the batch request to try an engine with. One that has to begin anew there is taken only
   * if no other engine can run it: it would wait for a probe that nothing else sends.
   */
  private Option<SlotRequest> findBatchProbe(EngineEntry engine, Instant now) {
    return batchQueue
        .findProbe(engine, r -> r.continuesAt(engine))
        .orElse(() -> batchQueue.findProbe(engine, r -> !hasDependableEngine(r, now)));
  }

  private boolean hasDependableEngine(SlotRequest request, Instant now) {
    return engines.dependable(now).anyMatch(e -> request.accepts(e.entry()));
  }

  private void startBatchRequests(Instant now, List<SlotDecision> decisions) {
    Set<SlotRequest> overtaken = new HashSet<>();
    int withoutMemory = 0;
    while (batchQueue.size() > overtaken.size()
        && withoutMemory <= MAX_OVERTAKEN
        && isWithinShare(now)
        && engines.freeSlots(now) > freeSlotReserve.reservedSlots(now)) {
      batchQueue.updatePlan(() -> batchLoad(now), now);
      Option<SlotRequest> first = batchQueue.firstExcept(overtaken);
      if (first.isEmpty() && overtaken.stream().anyMatch(SlotRequest::isRestricted)) {
        first = batchQueue.firstWaitingExcept(overtaken);
      }
      if (first.isEmpty()) {
        return;
      }
      SlotRequest next = first.get();
      Option<EngineSlots> selected =
          placement.selectCheapest(
              next,
              now,
              e -> e.hasFreeSlot() && !e.health().isRefusing() && memory.admits(e, next));
      if (selected.isEmpty() && (next.isRestricted() || memory.isLimited())) {
        withoutMemory += next.isRestricted() ? 0 : 1;
        overtaken.add(next);
        continue;
      }
      if (selected.isEmpty()) {
        return;
      }
      batchQueue.remove(next.id());
      grantSlot(next, selected.get(), now, decisions);
    }
  }

  private BatchOrder.BatchLoad batchLoad(Instant now) {
    Duration backlog =
        engines
            .dependable(now)
            .flatMap(e -> e.runs().values().stream())
            .filter(r -> !r.online())
            .map(r -> Duration.between(now, r.expectedEnd(batchRunTimes)))
            .filter(d -> !d.isNegative())
            .reduce(Duration.ZERO, Duration::plus);
    return new BatchOrder.BatchLoad(batchSlots.slots(), backlog, this::remainingRunTime);
  }

  /** Estimates from the runs of all hosts, or before the first has ended as the host does. */
  private Duration remainingRunTime(SlotRequest request) {
    return request
        .batchWork()
        .map(
            w ->
                batchRunTimes.isKnown()
                    ? batchRunTimes.estimateRemaining(w.receivedEvents())
                    : Duration.between(request.startBy().at(), w.dueAt().at()))
        .getOrElse(Duration.ZERO);
  }

  /** Returns how many of the slots that this coordinator may fill are left to batch runs. */
  private int slotsLeftByOnline(Instant now) {
    SlotLoad load = load(now);
    int taken = load.online() + load.onlineWaiting() + freeSlotReserve.reservedSlots(now);
    return Math.max(0, (int) (fleetShare * load.slots()) - taken);
  }

  /**
   * Returns the engine for an online request: one with a free slot, else one with a batch run to
   * preempt.
   */
  private Option<EngineSlots> selectEngine(SlotRequest request, Instant now) {
    Option<EngineSlots> free =
        isWithinShare(now)
            ? placement.selectCheapest(
                request, now, e -> e.hasFreeSlot() && memory.admits(e, request))
            : Option.none();
    return free.orElse(
        () ->
            placement.selectCheapest(
                request, now, e -> !e.health().isProbing() && mayYieldTo(request, e)));
  }

  private boolean mayYieldTo(SlotRequest request, EngineSlots engine) {
    return engine
        .batchRunToPreempt(batchRunTimes)
        .exists(run -> memory.admitsInPlaceOf(engine, run, request));
  }

  /** Returns whether an engine that may run the request is listed on which it has not failed. */
  private boolean mayEverRun(SlotRequest request) {
    return !request.isRestricted()
        || engines
            .remaining()
            .filter(e -> request.accepts(e.entry()))
            .anyMatch(e -> !request.avoidedEngines().contains(e.entry().id()));
  }

  private void grantSlot(
      SlotRequest request, EngineSlots engine, Instant now, List<SlotDecision> decisions) {
    engine.startRun(request, now);
    decisions.add(grantOn(engine, request));
  }

  private static SlotDecision grantOn(EngineSlots engine, SlotRequest request) {
    return new SlotDecision.Grant(request, engine.entry().id(), engine.health().isProbing());
  }

  private boolean isWithinShare(Instant now) {
    if (fleetShare >= 1) {
      return true;
    }
    return engines.countRuns(now) < Math.max(1, Math.floor(fleetShare * engines.usableSlots(now)));
  }

  /** Estimates when the given number of waiting online requests can have started. */
  private Instant estimateFreeAt(int count, Instant now) {
    return estimateFreeAt(count, engines.dependable(now), now);
  }

  /** The same on the engines that may run a request. */
  private Instant estimateFreeAt(int count, SlotRequest request, Instant now) {
    return estimateFreeAt(
        count, engines.dependable(now).filter(e -> request.accepts(e.entry())), now);
  }

  private Instant estimateFreeAt(int count, Stream<EngineSlots> candidates, Instant now) {
    Duration run = Duration.ofNanos((long) (meanRunMillis * 1e6));
    StartEstimate estimate = new StartEstimate(run, now);
    candidates.forEach(estimate::add);
    Instant earliest = now.plus(MIN_RETRY_DELAY);
    Instant start = estimate.startTime(count);
    return start.isBefore(earliest) ? earliest : start;
  }

  private void updateRunTimes(EngineSlots.Run run, RunEnd end, Instant now) {
    if (end.how() != RunEnd.How.WHOLE) {
      return;
    }
    if (!run.online()) {
      batchRunTimes.recordCompleted(end.events(), end.meanGap());
    } else if (!run.adopted()) {
      double millis = Duration.between(run.startedAt(), now).toNanos() / 1e6;
      meanRunMillis += RUN_TIME_SMOOTHING * (millis - meanRunMillis);
    }
  }

  private static SlotDecision refusal(SlotRequest request, Instant retryAt, String reason) {
    return new SlotDecision.Refuse(request, RefusalCode.OVERLOADED, retryAt, reason);
  }
}
