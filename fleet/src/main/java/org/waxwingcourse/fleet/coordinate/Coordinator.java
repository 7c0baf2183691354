package org.waxwingcourse.fleet.coordinate;

import io.vavr.control.Either;
import io.vavr.control.Option;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import org.waxwingcourse.fleet.engine.EngineEntry;
import org.waxwingcourse.fleet.engine.SoftwareId;
import org.waxwingcourse.fleet.estimate.RequestSize;
import org.waxwingcourse.fleet.plan.HomeRegions;
import org.waxwingcourse.fleet.plan.OrganisationTable;
import org.waxwingcourse.fleet.plan.Plan;
import org.waxwingcourse.fleet.plan.ServicePlan;
import org.waxwingcourse.fleet.quarantine.CrashRecordCodec;
import org.waxwingcourse.fleet.quarantine.CrashingRequests;
import org.waxwingcourse.fleet.quarantine.PromptQuarantine;
import org.waxwingcourse.fleet.slot.BatchWork;
import org.waxwingcourse.fleet.slot.ExistingRun;
import org.waxwingcourse.fleet.slot.GrantedRun;
import org.waxwingcourse.fleet.slot.OrganisationRateLimiter;
import org.waxwingcourse.fleet.slot.PacedRequests;
import org.waxwingcourse.fleet.slot.RunEnd;
import org.waxwingcourse.fleet.slot.RunId;
import org.waxwingcourse.fleet.slot.SlotDecision;
import org.waxwingcourse.fleet.slot.SlotLoad;
import org.waxwingcourse.fleet.slot.SlotRequest;
import org.waxwingcourse.fleet.slot.SlotScheduler;
import org.waxwingcourse.fleet.stream.SoftwareHistory;
import org.waxwingcourse.fleet.stream.StreamKey;
import org.waxwingcourse.fleet.stream.StreamOrigins;
import org.waxwingcourse.model.event.Event;
import org.waxwingcourse.model.event.EventLog;
import org.waxwingcourse.model.id.DataCentreId;
import org.waxwingcourse.model.id.HostId;
import org.waxwingcourse.model.id.OrganisationId;
import org.waxwingcourse.model.id.RequestFingerprint;
import org.waxwingcourse.model.id.RequestId;
import org.waxwingcourse.model.id.ServiceName;
import org.waxwingcourse.model.id.UpstreamId;
import org.waxwingcourse.model.request.RefusalCode;
import org.waxwingcourse.model.request.WorkClass;
import org.waxwingcourse.model.time.Deadline;
import org.waxwingcourse.peer.PeerChannel;
import org.waxwingcourse.peer.PeerTransport;
import org.waxwingcourse.wire.fleet.Fingerprint;
import org.waxwingcourse.wire.fleet.FleetMessage;
import org.waxwingcourse.wire.fleet.Running;
import org.waxwingcourse.wire.fleet.RunningList;
import org.waxwingcourse.wire.fleet.SlotAsk;
import org.waxwingcourse.wire.fleet.SlotEnd;
import org.waxwingcourse.wire.fleet.SlotGrant;
import org.waxwingcourse.wire.fleet.SlotRefusal;
import org.waxwingcourse.wire.fleet.SlotYield;

/**
 * Grants the slots of all engines to the hosts that have chosen this host as coordinator. It keeps
 * no durable state: each host reports its runs when it attaches.
 *
 * <p>Safe for use by several threads. The configuration and the share of the fleet are passed on to
 * rates and queues under this object's lock, so that all end with the latest.
 */
public final class Coordinator {
  private static final EventLog LOG = EventLog.of(Coordinator.class);
  private static final int DEFAULT_SLOTS = 8;

  /** Within this time after an engine was listed, hosts may not have received its entry. */
  private static final Duration LISTING_SPREAD = Duration.ofSeconds(5);

  /**
   * A coordinator that has just been chosen reads the engines within this time; requests that come
   * earlier wait for them instead of being refused.
   */
  private static final Duration ENGINES_PATIENCE = Duration.ofMillis(200);

  private static final Duration ENGINES_CHECK_INTERVAL = Duration.ofMillis(10);

  /**
   * Time after the last message of a host in which queues may change with the time: hosts report
   * their runs every second while they have any.
   */
  private static final Duration ACTIVE_TIME = Duration.ofMillis(2500);

  private final PeerTransport peers;
  private final InstantSource clock;
  private final OrganisationRateLimiter rates =
      new OrganisationRateLimiter(OrganisationTable.of(List.of()));
  private final Map<ServiceName, SlotScheduler> services = new ConcurrentHashMap<>();
  private final PacedRequests pacedRequests = new PacedRequests();
  private final CrashScreening screening = new CrashScreening();
  private final StreamOrigins streams = new StreamOrigins();
  private final GrantedStreams granted = new GrantedStreams(streams);
  private final SoftwareHistory softwareHistory = new SoftwareHistory();
  private volatile Option<Plan> plan = Option.none();
  private volatile double fleetShare;
  private volatile Map<UpstreamId, ListedEngine> listed = Map.of();
  private volatile Instant firstAskAt = Instant.MAX;
  private volatile Instant lastMessageAt = Instant.MIN;
  private volatile Runnable onMessage = () -> {};

  /** Hosts that reach no engine; what their runs meet says nothing about engines. */
  private final Set<HostId> outOfReach = ConcurrentHashMap.newKeySet();

  /** An engine and the time at which this coordinator learned of it. */
  private record ListedEngine(EngineEntry entry, Instant since) {}

  /** Creates a coordinator that serves no hosts yet. */
  public Coordinator(PeerTransport peers, InstantSource clock) {
    this.peers = peers;
    this.clock = clock;
  }

  /** Sets the configuration in force. */
  public synchronized void setPlan(Plan next) {
    plan = Option.some(next);
    rates.update(next.organisations(), fleetShare, clock.instant());
  }

  /** Replaces the engines by those listed in the store. */
  public void setEngines(Collection<EngineEntry> entries) {
    softwareHistory.update(entries, clock.instant());
    Set<UpstreamId> before = listed.keySet();
    Set<ServiceName> names = entries.stream().map(EngineEntry::service).collect(Collectors.toSet());
    synchronized (this) {
      listed = listEngines(entries);
      names.addAll(services.keySet());
    }
    before.stream().filter(e -> !listed.containsKey(e)).forEach(screening::removeEngine);
    for (ServiceName name : names) {
      scheduler(name).setEngineMemory(engineMemory(name));
      execute(scheduler(name).setEngines(enginesOf(name), defaultSlots(name), clock.instant()));
    }
  }

  private List<EngineEntry> enginesOf(ServiceName service) {
    return listed.values().stream()
        .map(ListedEngine::entry)
        .filter(e -> e.service().equals(service))
        .toList();
  }

  /** Returns the prompts on which engines crash, as this host knows them. */
  public PromptQuarantine quarantine() {
    return screening.prompts();
  }

  /** Returns the software that began the streams of all hosts, as this host knows it. */
  StreamOrigins streams() {
    return streams;
  }

  /** Returns which software has been listed, as this host knows it. */
  public SoftwareHistory softwareHistory() {
    return softwareHistory;
  }

  /** Returns the requests under which engines have ended, as this host knows them. */
  public CrashingRequests crashingRequests() {
    return screening.requests();
  }

  private Map<UpstreamId, ListedEngine> listEngines(Collection<EngineEntry> entries) {
    Instant now = clock.instant();
    Map<UpstreamId, ListedEngine> next = new HashMap<>();
    for (EngineEntry entry : entries) {
      ListedEngine known = listed.get(entry.id());
      next.put(entry.id(), new ListedEngine(entry, known == null ? now : known.since));
    }
    return next;
  }

  /** Sets the share of the fleet that is attached here, in [0, 1]. */
  public synchronized void setFleetShare(double newFleetShare) {
    if (newFleetShare == fleetShare) {
      return;
    }
    fleetShare = newFleetShare;
    plan.forEach(p -> rates.update(p.organisations(), newFleetShare, clock.instant()));
    services.values().forEach(s -> s.setFleetShare(newFleetShare, clock.instant()));
  }

  /** Restores the levels of the token buckets that the previous coordinator reported. */
  public synchronized void restoreRateLevels(Map<OrganisationId, Long> levels) {
    rates.restoreLevels(levels);
    plan.forEach(p -> rates.update(p.organisations(), fleetShare, clock.instant()));
  }

  /** Returns the level of each organisation's token bucket in billionths of a token. */
  public Map<OrganisationId, Long> rateLevels() {
    return rates.levels(clock.instant());
  }

  /** Returns the load of a service's engines. */
  public SlotLoad load(ServiceName service) {
    return scheduler(service).load(clock.instant());
  }

  /** Returns how many engines have refused connections and not answered since. */
  public int countRefusingEngines() {
    return services.values().stream().mapToInt(SlotScheduler::countRefusing).sum();
  }

  /** Returns the services that have had engines or requests. */
  public Set<ServiceName> services() {
    return Set.copyOf(services.keySet());
  }

  /** Removes the requests and runs of a host that has attached elsewhere or is gone. */
  public void removeHost(HostId host) {
    pacedRequests.removeIf(id -> id.host().equals(host));
    screening.removeHost(host, clock.instant());
    granted.removeHost(host);
    outOfReach.remove(host);
    services.values().forEach(s -> execute(s.removeHost(host, clock.instant())));
  }

  /** Sets what is called after a message of a host has come, before it is handled. */
  public void setMessageListener(Runnable listener) {
    onMessage = listener;
  }

  private void recordMessage(Instant now) {
    lastMessageAt = now;
    onMessage.run();
  }

  /** Returns whether queues may change with the time. */
  public boolean hasWork() {
    return clock.instant().isBefore(lastMessageAt.plus(ACTIVE_TIME))
        || !pacedRequests.isEmpty()
        || services.values().stream().anyMatch(SlotScheduler::isWaitedFor);
  }

  /**
   * Starts or refuses waiting requests that are due. Called every few milliseconds while there is
   * work, and at intervals of a tenth of a second otherwise.
   */
  public void processQueues() {
    Instant now = clock.instant();
    if (screening.update(now)) {
      refuseWaiting(now);
    }
    pacedRequests.removeDue(now).forEach(r -> submit(r, now));
    services.values().forEach(s -> execute(s.processQueues(clock.instant())));
  }

  void onAsk(HostId from, SlotAsk ask) {
    Instant now = clock.instant();
    recordMessage(now);
    SlotRequest request = toSlotRequest(from, ask, now);
    if (pacedRequests.contains(request.id())) {
      return;
    }
    if (ask.getStreamBegun() && request.software().isEmpty()) {
      refuseUnknownStream(request, ask, now);
      return;
    }
    Option<SlotDecision.Refuse> screened = screening.screen(request, now);
    if (screened.isDefined()) {
      sendRefusal(screened.get());
      return;
    }
    Duration patience = request.startBy().remaining(now);
    Duration wait =
        request.chargedTo().map(o -> rates.acquireToken(o, patience, now)).getOrElse(Duration.ZERO);
    if (wait.compareTo(patience) > 0) {
      String reason = "organisation \"" + ask.getOrganisation() + "\" is over its rate";
      sendRefusal(
          new SlotDecision.Refuse(
              request, RefusalCode.RATE_LIMITED, rates.returnTime(wait, now), reason));
    } else if (wait.isZero()) {
      submit(request, now);
    } else {
      pacedRequests.add(request, now.plus(wait));
    }
  }

  private void refuseUnknownStream(SlotRequest request, SlotAsk ask, Instant now) {
    String named = ask.getStream() == 0 ? "not named" : "not known here";
    String reason = "the request that began its stream is " + named;
    sendRefusal(new SlotDecision.Refuse(request, RefusalCode.STREAM_UNKNOWN, now, reason));
  }

  /** Returns the only software that may run a request, or that is preferred for an item. */
  private Option<SoftwareId> requiredSoftware(SlotAsk ask, Instant now) {
    if (ask.getSoftware() != 0 || !ask.getStreamBegun()) {
      return Option.when(ask.getSoftware() != 0, () -> new SoftwareId(ask.getSoftware()));
    }
    return streamOf(ask.getStream())
        .flatMap(k -> streams.find(k, now))
        .orElse(() -> softwareHistory.only(ServiceName.of(ask.getService()), now));
  }

  private static Option<StreamKey> streamOf(long hash) {
    return Option.when(hash != 0, () -> new StreamKey(hash));
  }

  /** Refuses the requests that wait although engines crash under them. */
  private void refuseWaiting(Instant now) {
    Predicate<SlotRequest> refused = r -> screening.screenWaiting(r, now).isDefined();
    List<SlotRequest> waiting = new ArrayList<>(pacedRequests.removeWaiting(refused));
    services.values().forEach(s -> waiting.addAll(s.removeWaiting(refused)));
    for (SlotRequest request : waiting) {
      request.chargedTo().forEach(o -> rates.returnToken(o, now));
      screening.screenWaiting(request, now).forEach(this::sendRefusal);
    }
  }

  private void submit(SlotRequest request, Instant now) {
    if (awaitsEngines(now) && !request.startBy().isPast(now)) {
      pacedRequests.add(request, now.plus(ENGINES_CHECK_INTERVAL));
    } else {
      execute(scheduler(request.service()).submit(request, now));
    }
  }

  /** Returns whether the engines are about to be known, as a coordinator has just been chosen. */
  private boolean awaitsEngines(Instant now) {
    if (!listed.isEmpty()) {
      return false;
    }
    if (firstAskAt.equals(Instant.MAX)) {
      firstAskAt = now;
    }
    return now.isBefore(firstAskAt.plus(ENGINES_PATIENCE));
  }

  void onEnd(HostId from, SlotEnd end) {
    RunEnd runEnd =
        new RunEnd(
            howOf(end),
            Duration.ofNanos(end.getFirstEventNanos()),
            Duration.ofNanos(end.getGapNanos()),
            end.getEvents());
    RunId id = new RunId(from, end.getNumber());
    Instant now = clock.instant();
    recordMessage(now);
    granted.recordEnd(id, runEnd.how() == RunEnd.How.NOT_SENT);
    boolean refusesMore = false;
    boolean known = false;
    if (end.getEngineBoot() != 0) {
      Option<RequestFingerprint> request =
          toFingerprint(end.hasFingerprint(), end.getFingerprint());
      refusesMore = screening.recordBreak(request, end.getEngineBoot(), now);
    }
    for (SlotScheduler slots : services.values()) {
      for (GrantedRun run : slots.findRun(id)) {
        known = true;
        refusesMore |= screening.recordEnd(id, run, runEnd, end.getEngineBoot(), now);
        if (runEnd.how() == RunEnd.How.CONNECTION_REFUSED) {
          LOG.write(Event.CONNECTION_REFUSED, run.engine(), run.request(), from);
        }
      }
    }
    if (!known) {
      screening.recordLateEnd(id, runEnd, now);
    }
    if (refusesMore) {
      refuseWaiting(now);
    }
    RunEnd weighed = weigh(from, runEnd);
    services.values().forEach(s -> execute(s.endRun(id, weighed, clock.instant())));
  }

  /**
   * Sets whether a host reaches no engine. What it has reported of engines lately is then revoked.
   */
  public void setOutOfReach(HostId host, boolean isOutOfReach) {
    if (!isOutOfReach) {
      if (outOfReach.remove(host)) {
        LOG.write(Event.HOST_REACHES_ENGINES, host);
      }
    } else if (outOfReach.add(host)) {
      LOG.write(Event.HOST_OUT_OF_REACH, host);
      services.values().forEach(s -> execute(s.revokeReports(host, clock.instant())));
    }
  }

  /** Returns an end without what a host that reaches no engine says of its engine. */
  private RunEnd weigh(HostId from, RunEnd end) {
    boolean isWitness = end.how() == RunEnd.How.CONNECTION_REFUSED || !outOfReach.contains(from);
    return isWitness || !end.lostEngine() ? end : RunEnd.of(RunEnd.How.CANCELLED);
  }

  private static RunEnd.How howOf(SlotEnd end) {
    if (end.getBrokenOff()) {
      return RunEnd.How.ENGINE_BROKE_OFF;
    }
    if (end.getRefused()) {
      return RunEnd.How.CONNECTION_REFUSED;
    }
    return end.getUnsent() ? RunEnd.How.NOT_SENT : RunEnd.How.valueOf(end.getHow().name());
  }

  void onWithdraw(HostId from, long number) {
    pacedRequests.removeIf(id -> id.equals(new RunId(from, number)));
    services.values().forEach(s -> s.withdrawRequest(new RunId(from, number)));
  }

  void onSilence(HostId from, long number) {
    recordMessage(clock.instant());
    if (!outOfReach.contains(from)) {
      services.values().forEach(s -> s.recordSilence(new RunId(from, number), clock.instant()));
    }
  }

  /**
   * Synchronises the runs with the list that a host reports: runs that are missing here are added,
   * and those that the host no longer lists have ended although no message was received.
   */
  void onRunning(HostId from, RunningList list) {
    Instant now = clock.instant();
    recordMessage(now);
    Set<RunId> listed =
        list.getRunsList().stream()
            .map(r -> new RunId(from, r.getNumber()))
            .collect(Collectors.toSet());
    for (Running run : list.getRunsList()) {
      RunId id = new RunId(from, run.getNumber());
      UpstreamId engine = UpstreamId.of(run.getEngine());
      Option<BatchWork> work = batchWork(run.getDueWithinNanos(), run.getReceivedEvents(), now);
      ExistingRun existing =
          new ExistingRun(
              RequestId.of(run.getRequest()),
              run.getPromptPartsList(),
              toFingerprint(run.hasFingerprint(), run.getFingerprint()),
              !run.getBatch(),
              work,
              now.minusNanos(run.getElapsedNanos()),
              run.getTokens());
      scheduler(ServiceName.of(run.getService())).addExistingRun(id, engine, existing);
      screening.recordExisting(id, engine, existing);
      if (run.getAnswered()) {
        scheduler(ServiceName.of(run.getService())).recordAnswer(id, engine);
      }
    }
    screening.retainListedRuns(from, listed, now.minus(SlotScheduler.GRANT_ROUND_TRIP), now);
    services.values().forEach(s -> execute(s.retainListedRuns(from, listed, now)));
  }

  private SlotRequest toSlotRequest(HostId from, SlotAsk ask, Instant now) {
    return new SlotRequest(
        new RunId(from, ask.getNumber()),
        RequestId.of(ask.getRequest()),
        ServiceName.of(ask.getService()),
        ask.getBatch() ? WorkClass.BATCH : WorkClass.ONLINE,
        ask.getRank(),
        Option.when(ask.getCharge(), () -> OrganisationId.of(ask.getOrganisation())),
        Option.when(
            !ask.getOrganisation().isEmpty(), () -> OrganisationId.of(ask.getOrganisation())),
        now,
        Deadline.at(now.plusNanos(ask.getStartWithinNanos())),
        Deadline.at(now.plusNanos(ask.getGiveUpWithinNanos())),
        ask.getPromptPartsList(),
        DataCentreId.of(ask.getDataCentre()),
        ask.getAvoidList().stream().map(UpstreamId::of).collect(Collectors.toSet()),
        ask.getConnectedList().stream().map(UpstreamId::of).collect(Collectors.toSet()),
        ask.getBatch()
            ? batchWork(ask.getDueWithinNanos(), ask.getReceivedEvents(), now)
            : Option.none(),
        toFingerprint(ask.hasFingerprint(), ask.getFingerprint()),
        streamOf(ask.getStream()),
        requiredSoftware(ask, now),
        HomeRegions.of(ask.getHomeRegionsList()),
        new RequestSize(ask.getPromptTokens(), ask.getMaxOutputTokens(), ask.getHintedTokens()));
  }

  private static Option<RequestFingerprint> toFingerprint(boolean present, Fingerprint message) {
    return Option.when(present, () -> CrashRecordCodec.decode(message));
  }

  /** Returns the work of a batch request; none from a host of a version that does not send it. */
  private static Option<BatchWork> batchWork(long dueWithinNanos, int events, Instant now) {
    return Option.when(
        dueWithinNanos != 0,
        () -> new BatchWork(Deadline.at(now.plusNanos(dueWithinNanos)), events));
  }

  private SlotScheduler scheduler(ServiceName service) {
    SlotScheduler known = services.get(service);
    return known == null ? addScheduler(service) : known;
  }

  /** Holds the lock, so that no change of the share or of the engines misses the new scheduler. */
  private synchronized SlotScheduler addScheduler(ServiceName service) {
    return services.computeIfAbsent(
        service,
        name -> {
          SlotScheduler slots = new SlotScheduler();
          slots.setFleetShare(fleetShare, clock.instant());
          slots.setEngineMemory(engineMemory(name));
          slots.setEngines(enginesOf(name), defaultSlots(name), clock.instant());
          return slots;
        });
  }

  private int defaultSlots(ServiceName service) {
    return plan.flatMap(p -> Option.of(p.services().get(service)))
        .map(ServicePlan::slots)
        .filter(s -> s > 0)
        .getOrElse(DEFAULT_SLOTS);
  }

  private int engineMemory(ServiceName service) {
    return plan.flatMap(p -> Option.of(p.services().get(service)))
        .map(ServicePlan::engineMemoryTokens)
        .getOrElse(0);
  }

  private void execute(List<SlotDecision> decisions) {
    for (SlotDecision decision : decisions) {
      if (decision instanceof SlotDecision.Grant grant) {
        screenGrant(grant);
      } else if (decision instanceof SlotDecision.Refuse refuse) {
        refuse.request().chargedTo().forEach(o -> rates.returnToken(o, clock.instant()));
        sendRefusal(refuse);
      } else if (decision instanceof SlotDecision.Yield yield) {
        sendYield(yield);
      }
    }
  }

  /** Sends a grant, unless engines crash on the request's prompt and another run tests it. */
  private void screenGrant(SlotDecision.Grant grant) {
    Instant now = clock.instant();
    SlotRequest request = grant.request();
    Either<SlotDecision.Refuse, Boolean> screened = screening.grant(request, grant.engine(), now);
    if (screened.isLeft()) {
      execute(List.of(screened.getLeft()));
      // Otherwise the next one would be granted and refused within this call, and so on.
      refuseWaiting(now);
      RunEnd unsent = RunEnd.of(RunEnd.How.NOT_SENT);
      execute(scheduler(request.service()).endRun(request.id(), unsent, now));
      return;
    }
    sendGrant(grant);
    if (screened.get()) {
      refuseWaiting(now);
    }
  }

  private void sendYield(SlotDecision.Yield yield) {
    RunId run = yield.run();
    screening.forgetRun(run, clock.instant());
    SlotRequest successor = yield.successor();
    SlotLoad load = load(successor.service());
    LOG.write(
        Event.SLOT_YIELDED,
        run.number(),
        run.host(),
        yield.engine(),
        successor.requestId(),
        fleetShare,
        load);
    SlotYield.Builder message = SlotYield.newBuilder().setNumber(run.number());
    send(run.host(), FleetMessage.newBuilder().setYield(message));
  }

  /** A request that may run on one software only continues a stream that this software began. */
  private void recordStream(SlotRequest request, SoftwareId software) {
    Instant now = clock.instant();
    for (StreamKey stream : request.stream()) {
      if (request.software().isDefined()) {
        streams.record(stream, software, now);
      } else {
        granted.recordGrant(request.id(), stream, software, now);
      }
    }
  }

  private void sendGrant(SlotDecision.Grant grant) {
    SlotRequest request = grant.request();
    Duration waited = Duration.between(request.receivedAt(), clock.instant());
    SlotGrant.Builder message =
        SlotGrant.newBuilder()
            .setNumber(request.id().number())
            .setEngine(grant.engine().value())
            .setProbe(grant.probe())
            .setWaitedNanos(waited.toNanos());
    ListedEngine engine = listed.get(grant.engine());
    if (engine != null) {
      message.setSoftware(engine.entry.software().hash());
      recordStream(request, engine.entry.software());
    }
    if (engine != null && clock.instant().isBefore(engine.since.plus(LISTING_SPREAD))) {
      message.setEntry(FleetMessageConverter.encodeEngine(engine.entry));
    }
    send(request.id().host(), FleetMessage.newBuilder().setGrant(message));
  }

  private void sendRefusal(SlotDecision.Refuse refuse) {
    SlotRequest request = refuse.request();
    Duration retryAfter = Duration.between(clock.instant(), refuse.retryAt());
    LOG.write(
        Event.SLOT_REFUSED,
        request.requestId(),
        request.id().host(),
        refuse.reason(),
        retryAfter.toMillis(),
        fleetShare,
        load(request.service()));
    SlotRefusal.Builder message =
        SlotRefusal.newBuilder()
            .setNumber(request.id().number())
            .setOverRate(refuse.code() == RefusalCode.RATE_LIMITED)
            .setQuarantined(refuse.code() == RefusalCode.QUARANTINED)
            .setStreamUnknown(refuse.code() == RefusalCode.STREAM_UNKNOWN)
            .setUnavailable(refuse.code() == RefusalCode.UNAVAILABLE)
            .setRetryAfterNanos(Math.max(0, retryAfter.toNanos()))
            .setReason(refuse.reason());
    send(request.id().host(), FleetMessage.newBuilder().setRefusal(message));
  }

  private void send(HostId to, FleetMessage.Builder message) {
    peers.send(to, PeerChannel.FLEET, message.build().toByteArray());
  }
}
