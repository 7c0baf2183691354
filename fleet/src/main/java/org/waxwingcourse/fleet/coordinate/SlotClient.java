package org.waxwingcourse.fleet.coordinate;

import io.vavr.control.Option;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicLong;
import org.waxwingcourse.fleet.engine.EngineBoot;
import org.waxwingcourse.fleet.engine.SoftwareId;
import org.waxwingcourse.fleet.quarantine.CrashRecordCodec;
import org.waxwingcourse.fleet.slot.BatchWork;
import org.waxwingcourse.fleet.slot.RunEnd;
import org.waxwingcourse.fleet.slot.SlotScheduler;
import org.waxwingcourse.fleet.stream.StreamNeeds;
import org.waxwingcourse.model.event.Event;
import org.waxwingcourse.model.event.EventLog;
import org.waxwingcourse.model.id.DataCentreId;
import org.waxwingcourse.model.id.HostId;
import org.waxwingcourse.model.id.OrganisationId;
import org.waxwingcourse.model.id.UpstreamId;
import org.waxwingcourse.model.request.RefusalCode;
import org.waxwingcourse.model.request.WorkClass;
import org.waxwingcourse.peer.PeerChannel;
import org.waxwingcourse.peer.PeerTransport;
import org.waxwingcourse.wire.fleet.FleetMessage;
import org.waxwingcourse.wire.fleet.Running;
import org.waxwingcourse.wire.fleet.RunningList;
import org.waxwingcourse.wire.fleet.SlotAsk;
import org.waxwingcourse.wire.fleet.SlotEnd;
import org.waxwingcourse.wire.fleet.SlotGrant;
import org.waxwingcourse.wire.fleet.SlotRefusal;
import org.waxwingcourse.wire.fleet.SlotSilence;
import org.waxwingcourse.wire.fleet.SlotWithdraw;

/**
 * Requests slots from the coordinator. Until a coordinator is known, requests wait here. When
 * another host becomes coordinator, it receives the list of the runs of this host and all requests
 * that are still waiting.
 *
 * <p>Listeners are called on network threads, never from within a method of this class. Messages of
 * several coordinators may arrive on different threads at the same time; a request is granted or
 * refused once.
 */
public final class SlotClient implements SlotSource {
  private static final EventLog LOG = EventLog.of(SlotClient.class);

  /** Interval at which a request for a slot that is not decided is sent again. */
  private static final Duration RESEND_INTERVAL = Duration.ofMillis(300);

  private static final long MAX_FIRST_NUMBER = 1L << 62;

  /** Maximum number of engines that a request names for their idle connections. */
  private static final int MAX_CONNECTED_ENGINES = 24;

  /** Interval at which all runs of this host are reported to the coordinator. */
  private static final Duration RUN_REPORT_INTERVAL = Duration.ofSeconds(1);

  /**
   * Time after the last run for which a host reports that it has none. A coordinator keeps a run
   * that it granted lately though a report lacks it, so one report more is needed.
   */
  private static final Duration LAST_REPORTS =
      SlotScheduler.GRANT_ROUND_TRIP.plus(RUN_REPORT_INTERVAL.multipliedBy(2));

  private final PeerTransport peers;
  private final InstantSource clock;
  private final DataCentreId dataCentre;
  private final HostEngines engines;

  /**
   * Starts at a random number, so that a request has no number that the process before on this host
   * has used: the coordinator may still know its runs.
   */
  private final AtomicLong lastNumber =
      new AtomicLong(ThreadLocalRandom.current().nextLong(MAX_FIRST_NUMBER));

  private final Map<Long, PendingRequest> pending = new ConcurrentHashMap<>();
  private volatile Option<HostId> coordinator = Option.none();
  private volatile Instant runsReportedAt = Instant.MIN;

  /** When this host last had a run, or may have had one at the coordinator. */
  private volatile Instant lastRunAt = Instant.MIN;

  /**
   * Creates a client for a host in {@code dataCentre}; no coordinator is known yet.
   *
   * @param engines what this host knows of the engines
   */
  public SlotClient(
      PeerTransport peers, InstantSource clock, DataCentreId dataCentre, HostEngines engines) {
    this.peers = peers;
    this.clock = clock;
    this.dataCentre = dataCentre;
    this.engines = engines;
  }

  private static final class PendingRequest {
    private final SlotRequirements requirements;
    private final SlotListener listener;
    private volatile Instant lastSentAt;
    private volatile boolean sentBefore;
    private boolean refused;
    private volatile UpstreamId engine;
    private volatile Instant grantedAt;

    /** Whether the coordinator waits for the first data of the run. */
    private volatile boolean probe;

    /** Whether the engine has sent data. */
    private volatile boolean answered;

    PendingRequest(SlotRequirements requirements, SlotListener listener, Instant lastSentAt) {
      this.requirements = requirements;
      this.listener = listener;
      this.lastSentAt = lastSentAt;
    }

    private boolean isDecided() {
      return refused || engine != null;
    }

    /** Records the grant of a slot; returns false if the request has been decided before. */
    synchronized boolean grant(UpstreamId grantedEngine, Instant at) {
      if (isDecided()) {
        return false;
      }
      grantedAt = at;
      engine = grantedEngine;
      return true;
    }

    /** Records a refusal or withdrawal; returns false if the request has been decided before. */
    synchronized boolean refuse() {
      if (isDecided()) {
        return false;
      }
      refused = true;
      return true;
    }
  }

  @Override
  public long requestSlot(SlotRequirements requirements, SlotListener listener) {
    long number = lastNumber.incrementAndGet();
    PendingRequest request = new PendingRequest(requirements, listener, clock.instant());
    pending.put(number, request);
    sendRequest(number, request);
    return number;
  }

  @Override
  public void endRun(long number, RunEnd end) {
    if (pending.remove(number) != null) {
      send(FleetMessage.newBuilder().setEnd(buildEnd(number, end)));
    }
  }

  @Override
  public void endRun(long number, RunEnd end, EngineBoot engine) {
    PendingRequest ended = pending.remove(number);
    if (ended == null) {
      return;
    }
    SlotEnd.Builder message = buildEnd(number, end);
    if (end.how() == RunEnd.How.ENGINE_BROKE_OFF) {
      message.setEngineBoot(engine.hash());
      ended
          .requirements
          .fingerprint()
          .forEach(f -> message.setFingerprint(CrashRecordCodec.encode(f)));
    }
    send(FleetMessage.newBuilder().setEnd(message));
  }

  private static SlotEnd.Builder buildEnd(long number, RunEnd end) {
    return SlotEnd.newBuilder()
        .setNumber(number)
        .setHow(toWire(end.how()))
        .setBrokenOff(end.how() == RunEnd.How.ENGINE_BROKE_OFF)
        .setUnsent(end.how() == RunEnd.How.NOT_SENT)
        .setRefused(end.how() == RunEnd.How.CONNECTION_REFUSED)
        .setFirstEventNanos(end.firstEventDelay().toNanos())
        .setGapNanos(end.meanGap().toNanos())
        .setEvents(end.events());
  }

  private static SlotEnd.How toWire(RunEnd.How how) {
    return switch (how) {
      case ENGINE_BROKE_OFF, CONNECTION_REFUSED -> SlotEnd.How.ENGINE_LOST;
      case NOT_SENT -> SlotEnd.How.CANCELLED;
      default -> SlotEnd.How.valueOf(how.name());
    };
  }

  @Override
  public void withdrawRequest(long number) {
    PendingRequest withdrawn = pending.remove(number);
    if (withdrawn == null) {
      return;
    }
    // The coordinator may have granted it by a message that was lost.
    lastRunAt = clock.instant();
    if (withdrawn.refuse()) {
      send(FleetMessage.newBuilder().setWithdraw(SlotWithdraw.newBuilder().setNumber(number)));
    } else if (withdrawn.engine != null) {
      // The grant has been taken, and its listener waits for the thread that withdraws.
      send(FleetMessage.newBuilder().setEnd(buildEnd(number, RunEnd.of(RunEnd.How.NOT_SENT))));
    }
  }

  @Override
  public void reportSilence(long number) {
    send(FleetMessage.newBuilder().setSilence(SlotSilence.newBuilder().setNumber(number)));
  }

  @Override
  public void reportAnswer(long number) {
    PendingRequest answered = pending.get(number);
    if (answered != null) {
      boolean first = !answered.answered;
      answered.answered = true;
      if (first && answered.probe) {
        reportRuns();
      }
    }
  }

  @Override
  public Option<HostId> coordinator() {
    return coordinator;
  }

  /**
   * Attaches to another coordinator, which may have granted a slot to the process before on this
   * host and keeps it if that was just before the first report.
   */
  public void attachTo(HostId next) {
    coordinator = Option.some(next);
    lastRunAt = clock.instant();
    reportRuns();
    pending.forEach(this::resendRequest);
  }

  /**
   * Compensates for lost messages: sends requests that have not been decided again, and
   * periodically reports all runs. Called several times a second.
   */
  public void resendLostMessages() {
    Instant now = clock.instant();
    pending.forEach(
        (number, request) -> {
          if (now.isAfter(request.lastSentAt.plus(RESEND_INTERVAL))) {
            resendRequest(number, request);
          }
        });
    if (now.isBefore(lastRunAt.plus(LAST_REPORTS))
        && now.isAfter(runsReportedAt.plus(RUN_REPORT_INTERVAL))) {
      reportRuns();
    }
  }

  private void resendRequest(long number, PendingRequest request) {
    if (request.engine == null) {
      request.lastSentAt = clock.instant();
      sendRequest(number, request);
    }
  }

  /**
   * Sends a request for a slot. The organisation's rate is charged by the first message that leaves
   * this host.
   */
  private synchronized void sendRequest(long number, PendingRequest request) {
    if (coordinator.isDefined()) {
      boolean first = !request.sentBefore;
      request.sentBefore = true;
      send(FleetMessage.newBuilder().setAsk(buildAsk(number, request.requirements, first)));
    }
  }

  private void reportRuns() {
    Instant now = clock.instant();
    RunningList.Builder running = RunningList.newBuilder();
    pending.forEach(
        (number, request) -> {
          if (request.engine != null) {
            running.addRuns(buildRunning(number, request));
          }
        });
    if (running.getRunsCount() > 0) {
      lastRunAt = now;
    }
    runsReportedAt = now;
    send(FleetMessage.newBuilder().setRunning(running));
  }

  void onGrant(HostId from, SlotGrant grant) {
    PendingRequest request = pending.get(grant.getNumber());
    UpstreamId engine = UpstreamId.of(grant.getEngine());
    if (request == null || !request.grant(engine, clock.instant())) {
      returnSlot(from, grant);
      return;
    }
    request.probe = grant.getProbe();
    lastRunAt = clock.instant();
    if (grant.hasEntry()) {
      engines.learn(FleetMessageConverter.toEngine(grant));
    }
    Option<SoftwareId> software =
        Option.when(grant.getSoftware() != 0, () -> new SoftwareId(grant.getSoftware()));
    request.listener.onGrant(engine, software, Duration.ofNanos(grant.getWaitedNanos()));
  }

  /**
   * Returns a slot that was granted twice, or after its request was withdrawn, to the coordinator
   * that granted it.
   */
  private void returnSlot(HostId from, SlotGrant grant) {
    PendingRequest running = pending.get(grant.getNumber());
    if (running != null && running.engine != null) {
      if (UpstreamId.of(grant.getEngine()).equals(running.engine)) {
        return;
      }
      LOG.write(Event.SLOT_GRANTED_TWICE, running.requirements.requestId(), grant.getEngine());
    }
    SlotEnd.Builder end =
        SlotEnd.newBuilder()
            .setNumber(grant.getNumber())
            .setHow(SlotEnd.How.CANCELLED)
            .setUnsent(true);
    peers.send(
        from, PeerChannel.FLEET, FleetMessage.newBuilder().setEnd(end).build().toByteArray());
  }

  void onRefusal(SlotRefusal refusal) {
    PendingRequest request = pending.get(refusal.getNumber());
    if (request != null && request.refuse() && pending.remove(refusal.getNumber()) != null) {
      Instant retryAt = clock.instant().plusNanos(refusal.getRetryAfterNanos());
      request.listener.onRefusal(codeOf(refusal), retryAt, refusal.getReason());
    }
  }

  private static RefusalCode codeOf(SlotRefusal refusal) {
    if (refusal.getQuarantined()) {
      return RefusalCode.QUARANTINED;
    }
    if (refusal.getStreamUnknown()) {
      return RefusalCode.STREAM_UNKNOWN;
    }
    if (refusal.getUnavailable()) {
      return RefusalCode.UNAVAILABLE;
    }
    return refusal.getOverRate() ? RefusalCode.RATE_LIMITED : RefusalCode.OVERLOADED;
  }

  void onYield(long number) {
    PendingRequest request = pending.remove(number);
    if (request != null) {
      request.listener.onYield();
    }
  }

  private SlotAsk buildAsk(long number, SlotRequirements requirements, boolean first) {
    Instant now = clock.instant();
    SlotAsk.Builder ask = SlotAsk.newBuilder();
    requirements
        .batchWork()
        .forEach(
            w ->
                ask.setDueWithinNanos(nanosUntilDue(w, now)).setReceivedEvents(w.receivedEvents()));
    requirements.preferred().forEach(p -> ask.setSoftware(p.hash()));
    for (StreamNeeds stream : requirements.stream()) {
      stream.key().forEach(k -> ask.setStream(k.hash()));
      stream.software().forEach(s -> ask.setSoftware(s.hash()));
      ask.setStreamBegun(stream.begun());
    }
    engines.connected().stream()
        .limit(MAX_CONNECTED_ENGINES)
        .map(UpstreamId::value)
        .forEach(ask::addConnected);
    requirements.fingerprint().forEach(f -> ask.setFingerprint(CrashRecordCodec.encode(f)));
    return ask.setNumber(number)
        .setRequest(requirements.requestId().value())
        .setService(requirements.service().value())
        .setBatch(requirements.workClass() == WorkClass.BATCH)
        .setRank(requirements.rank())
        .setOrganisation(requirements.organisation().map(OrganisationId::value).getOrElse(""))
        .setCharge(first && requirements.chargedTo().isDefined())
        .setStartWithinNanos(Duration.between(now, requirements.startBy().at()).toNanos())
        .setGiveUpWithinNanos(requirements.giveUpAt().remaining(now).toNanos())
        .addAllPromptParts(requirements.promptParts())
        .setDataCentre(dataCentre.value())
        .addAllHomeRegions(requirements.homes().names())
        .setPromptTokens(requirements.size().promptTokens())
        .setMaxOutputTokens(requirements.size().maxOutputTokens())
        .setHintedTokens(requirements.size().hintedTokens())
        .addAllAvoid(requirements.avoidedEngines().stream().map(UpstreamId::value).toList())
        .build();
  }

  private static long nanosUntilDue(BatchWork work, Instant now) {
    return Duration.between(now, work.dueAt().at()).toNanos();
  }

  private Running.Builder buildRunning(long number, PendingRequest request) {
    Instant now = clock.instant();
    Running.Builder running = Running.newBuilder();
    request
        .requirements
        .batchWork()
        .forEach(
            w ->
                running
                    .setDueWithinNanos(nanosUntilDue(w, now))
                    .setReceivedEvents(w.receivedEvents()));
    request
        .requirements
        .fingerprint()
        .forEach(f -> running.setFingerprint(CrashRecordCodec.encode(f)));
    return running
        .setElapsedNanos(Duration.between(request.grantedAt, now).toNanos())
        .setAnswered(request.answered)
        .setTokens(request.requirements.size().memoryTokens())
        .setNumber(number)
        .setEngine(request.engine.value())
        .setRequest(request.requirements.requestId().value())
        .addAllPromptParts(request.requirements.promptParts())
        .setService(request.requirements.service().value())
        .setBatch(request.requirements.workClass() == WorkClass.BATCH);
  }

  private void send(FleetMessage.Builder message) {
    coordinator.forEach(c -> peers.send(c, PeerChannel.FLEET, message.build().toByteArray()));
  }
}
