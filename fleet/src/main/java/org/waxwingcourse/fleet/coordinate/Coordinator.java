package org.waxwingcourse.fleet.coordinate;

import io.vavr.control.Option;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.stream.Collectors;
import org.waxwingcourse.fleet.engine.EngineEntry;
import org.waxwingcourse.fleet.plan.OrganisationTable;
import org.waxwingcourse.fleet.plan.Plan;
import org.waxwingcourse.fleet.plan.ServicePlan;
import org.waxwingcourse.fleet.slot.OrganisationRateLimiter;
import org.waxwingcourse.fleet.slot.PacedRequests;
import org.waxwingcourse.fleet.slot.RunEnd;
import org.waxwingcourse.fleet.slot.RunId;
import org.waxwingcourse.fleet.slot.SlotDecision;
import org.waxwingcourse.fleet.slot.SlotLoad;
import org.waxwingcourse.fleet.slot.SlotRequest;
import org.waxwingcourse.fleet.slot.SlotScheduler;
import org.waxwingcourse.model.event.Event;
import org.waxwingcourse.model.event.EventLog;
import org.waxwingcourse.model.id.DataCentreId;
import org.waxwingcourse.model.id.HostId;
import org.waxwingcourse.model.id.OrganisationId;
import org.waxwingcourse.model.id.RequestId;
import org.waxwingcourse.model.id.ServiceName;
import org.waxwingcourse.model.id.UpstreamId;
import org.waxwingcourse.model.request.WorkClass;
import org.waxwingcourse.model.time.Deadline;
import org.waxwingcourse.peer.Channel;
import org.waxwingcourse.peer.Peers;
import org.waxwingcourse.wire.fleet.FleetMessage;
import org.waxwingcourse.wire.fleet.Running;
import org.waxwingcourse.wire.fleet.RunningList;
import org.waxwingcourse.wire.fleet.SlotAsk;
import org.waxwingcourse.wire.fleet.SlotEnd;
import org.waxwingcourse.wire.fleet.SlotGrant;
import org.waxwingcourse.wire.fleet.SlotRefusal;
import org.waxwingcourse.wire.fleet.SlotYield;

/**
 * Hands out the slots of all engines to the hosts that have chosen this one as coordinator. It
 * keeps nothing that must last: what runs is told by each host when it attaches.
 */
public final class Coordinator {
  private static final EventLog LOG = EventLog.of(Coordinator.class);
  private static final int DEFAULT_SLOTS = 8;

  private final Peers peers;
  private final InstantSource clock;
  private final OrganisationRateLimiter rates =
      new OrganisationRateLimiter(OrganisationTable.of(List.of()));
  private final Map<ServiceName, SlotScheduler> services = new ConcurrentHashMap<>();
  private final PacedRequests paced = new PacedRequests();
  private volatile Option<Plan> plan = Option.none();
  private volatile double part;
  private volatile Map<ServiceName, List<EngineEntry>> engines = Map.of();

  /** Creates a coordinator that serves nobody yet. */
  public Coordinator(Peers peers, InstantSource clock) {
    this.peers = peers;
    this.clock = clock;
  }

  /** Takes a configuration into force. */
  public void plan(Plan next) {
    plan = Option.some(next);
    rates.update(next.organisations(), part, clock.instant());
  }

  /** Takes the engines that the store names. */
  public void engines(Collection<EngineEntry> entries) {
    engines = entries.stream().collect(Collectors.groupingBy(EngineEntry::service));
    Set<ServiceName> names = new HashSet<>(engines.keySet());
    names.addAll(services.keySet());
    for (ServiceName name : names) {
      List<EngineEntry> own = engines.getOrDefault(name, List.of());
      carryOut(slots(name).setEngines(own, defaultSlots(name), clock.instant()));
    }
  }

  /** Sets the part of the fleet that is served from here, in [0, 1]. */
  public void part(double newPart) {
    if (newPart == part) {
      return;
    }
    part = newPart;
    plan.forEach(p -> rates.update(p.organisations(), newPart, clock.instant()));
    services.values().forEach(s -> s.setFleetShare(newPart));
  }

  /** Begins with the bucket levels that the coordinator before told. */
  public void inherit(Map<OrganisationId, Long> levels) {
    rates.restoreLevels(levels);
    plan.forEach(p -> rates.update(p.organisations(), part, clock.instant()));
  }

  /** Returns what each organisation's bucket holds, billionths of a token. */
  public Map<OrganisationId, Long> levels() {
    return rates.levels(clock.instant());
  }

  /** Returns the load of a service. */
  public SlotLoad load(ServiceName service) {
    return slots(service).load(clock.instant());
  }

  /** Returns the services with engines or requests. */
  public Set<ServiceName> services() {
    return Set.copyOf(services.keySet());
  }

  /** A host takes its slots elsewhere or is gone. */
  public void hostGone(HostId host) {
    paced.removeIf(id -> id.host().equals(host));
    services.values().forEach(s -> carryOut(s.removeHost(host, clock.instant())));
  }

  /** Looks after what waits; called every few milliseconds. */
  public void tick() {
    Instant now = clock.instant();
    paced.removeDue(now).forEach(r -> carryOut(slots(r.service()).submit(r, now)));
    services.values().forEach(s -> carryOut(s.processQueues(clock.instant())));
  }

  void onAsk(HostId from, SlotAsk ask) {
    Instant now = clock.instant();
    SlotRequest request = request(from, ask, now);
    if (paced.contains(request.id())) {
      return;
    }
    Duration patience = request.startBy().remaining(now);
    Duration wait =
        request.chargedTo().map(o -> rates.acquireToken(o, patience, now)).getOrElse(Duration.ZERO);
    if (wait.compareTo(patience) > 0) {
      String reason = "organisation \"" + ask.getOrganisation() + "\" is over its rate";
      refuse(new SlotDecision.Refuse(request, true, now.plus(wait), reason));
    } else if (wait.isZero()) {
      carryOut(slots(request.service()).submit(request, now));
    } else {
      paced.add(request, now.plus(wait));
    }
  }

  void onEnd(HostId from, SlotEnd end) {
    RunEnd runEnd =
        new RunEnd(
            RunEnd.How.valueOf(end.getHow().name()),
            Duration.ofNanos(end.getFirstEventNanos()),
            Duration.ofNanos(end.getGapNanos()));
    RunId id = new RunId(from, end.getNumber());
    services.values().forEach(s -> carryOut(s.endRun(id, runEnd, clock.instant())));
  }

  void onWithdraw(HostId from, long number) {
    paced.removeIf(id -> id.equals(new RunId(from, number)));
    services.values().forEach(s -> s.withdraw(new RunId(from, number)));
  }

  void onSilence(HostId from, long number) {
    services.values().forEach(s -> s.recordSilence(new RunId(from, number), clock.instant()));
  }

  /** A host tells all that it runs; what it no longer runs has ended, though no message came. */
  void onRunning(HostId from, RunningList list) {
    Instant now = clock.instant();
    Set<RunId> listed =
        list.getRunsList().stream()
            .map(r -> new RunId(from, r.getNumber()))
            .collect(Collectors.toSet());
    for (Running run : list.getRunsList()) {
      RunId id = new RunId(from, run.getNumber());
      UpstreamId engine = UpstreamId.of(run.getEngine());
      slots(ServiceName.of(run.getService())).addExistingRun(id, engine, !run.getBatch(), now);
    }
    services.values().forEach(s -> carryOut(s.retainListedRuns(from, listed, now)));
  }

  private SlotRequest request(HostId from, SlotAsk ask, Instant now) {
    return new SlotRequest(
        new RunId(from, ask.getNumber()),
        RequestId.of(ask.getRequest()),
        ServiceName.of(ask.getService()),
        ask.getBatch() ? WorkClass.BATCH : WorkClass.ONLINE,
        ask.getRank(),
        Option.when(ask.getCharge(), () -> OrganisationId.of(ask.getOrganisation())),
        now,
        Deadline.at(now.plusNanos(ask.getStartWithinNanos())),
        Deadline.at(now.plusNanos(ask.getGiveUpWithinNanos())),
        ask.getPromptPartsList(),
        DataCentreId.of(ask.getDataCentre()),
        ask.getAvoidList().stream().map(UpstreamId::of).collect(Collectors.toSet()));
  }

  private SlotScheduler slots(ServiceName service) {
    return services.computeIfAbsent(
        service,
        name -> {
          SlotScheduler slots = new SlotScheduler();
          slots.setFleetShare(part);
          slots.setEngines(
              engines.getOrDefault(name, List.of()), defaultSlots(name), clock.instant());
          return slots;
        });
  }

  private int defaultSlots(ServiceName service) {
    return plan.flatMap(p -> Option.of(p.services().get(service)))
        .map(ServicePlan::slots)
        .filter(s -> s > 0)
        .getOrElse(DEFAULT_SLOTS);
  }

  private void carryOut(List<SlotDecision> decisions) {
    for (SlotDecision decision : decisions) {
      if (decision instanceof SlotDecision.Grant grant) {
        grant(grant);
      } else if (decision instanceof SlotDecision.Refuse refuse) {
        refuse.request().chargedTo().forEach(o -> rates.returnToken(o, clock.instant()));
        refuse(refuse);
      } else if (decision instanceof SlotDecision.Yield yield) {
        giveWay(yield);
      }
    }
  }

  private void giveWay(SlotDecision.Yield yield) {
    RunId run = yield.run();
    SlotRequest taker = yield.successor();
    SlotLoad load = load(taker.service());
    LOG.write(
        Event.SLOT_YIELDED,
        run.number(),
        run.host(),
        yield.engine(),
        taker.requestId(),
        part,
        load);
    SlotYield.Builder message = SlotYield.newBuilder().setNumber(run.number());
    send(run.host(), FleetMessage.newBuilder().setYield(message));
  }

  private void grant(SlotDecision.Grant grant) {
    SlotRequest request = grant.request();
    Duration waited = Duration.between(request.receivedAt(), clock.instant());
    SlotGrant.Builder message =
        SlotGrant.newBuilder()
            .setNumber(request.id().number())
            .setEngine(grant.engine().value())
            .setWaitedNanos(waited.toNanos());
    send(request.id().host(), FleetMessage.newBuilder().setGrant(message));
  }

  private void refuse(SlotDecision.Refuse refuse) {
    SlotRequest request = refuse.request();
    Duration retryAfter = Duration.between(clock.instant(), refuse.retryAt());
    LOG.write(
        Event.SLOT_REFUSED,
        request.requestId(),
        request.id().host(),
        refuse.reason(),
        retryAfter.toMillis(),
        part,
        load(request.service()));
    SlotRefusal.Builder message =
        SlotRefusal.newBuilder()
            .setNumber(request.id().number())
            .setOverRate(refuse.overRate())
            .setRetryAfterNanos(Math.max(0, retryAfter.toNanos()))
            .setReason(refuse.reason());
    send(request.id().host(), FleetMessage.newBuilder().setRefusal(message));
  }

  private void send(HostId to, FleetMessage.Builder message) {
    peers.send(to, Channel.FLEET, message.build().toByteArray());
  }
}
