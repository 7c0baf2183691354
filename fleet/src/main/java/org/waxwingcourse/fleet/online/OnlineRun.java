package org.waxwingcourse.fleet.online;

import io.vavr.control.Option;
import java.io.ByteArrayOutputStream;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.waxwingcourse.fleet.coordinate.SlotListener;
import org.waxwingcourse.fleet.coordinate.SlotRequirements;
import org.waxwingcourse.fleet.engine.EngineAnswer;
import org.waxwingcourse.fleet.engine.EngineEntry;
import org.waxwingcourse.fleet.engine.EngineListener;
import org.waxwingcourse.fleet.engine.EngineRequest;
import org.waxwingcourse.fleet.engine.ServerSentEventParser;
import org.waxwingcourse.fleet.engine.SilenceWatch;
import org.waxwingcourse.fleet.engine.SoftwareId;
import org.waxwingcourse.fleet.engine.StreamEnd;
import org.waxwingcourse.fleet.plan.HomeRegions;
import org.waxwingcourse.fleet.plan.OrganisationPlan;
import org.waxwingcourse.fleet.plan.RequestKind;
import org.waxwingcourse.fleet.plan.Route;
import org.waxwingcourse.fleet.slot.RunEnd;
import org.waxwingcourse.fleet.stream.JoinedStream;
import org.waxwingcourse.fleet.stream.OutOfPlace;
import org.waxwingcourse.fleet.stream.StreamKey;
import org.waxwingcourse.fleet.stream.StreamNeeds;
import org.waxwingcourse.fleet.stream.StreamRun;
import org.waxwingcourse.http.CallFailure;
import org.waxwingcourse.http.ConnectionUse;
import org.waxwingcourse.http.StreamCall;
import org.waxwingcourse.model.event.Event;
import org.waxwingcourse.model.event.EventLog;
import org.waxwingcourse.model.id.OrganisationId;
import org.waxwingcourse.model.id.RequestFingerprint;
import org.waxwingcourse.model.id.ServiceName;
import org.waxwingcourse.model.id.UpstreamId;
import org.waxwingcourse.model.request.Call;
import org.waxwingcourse.model.request.Outcome;
import org.waxwingcourse.model.request.Refusal;
import org.waxwingcourse.model.request.RefusalCode;
import org.waxwingcourse.model.request.WorkClass;
import org.waxwingcourse.model.time.Deadline;

/**
 * Runs one request from its admission to its final answer. The request is sent again only if no
 * engine can have run it, or if it is repeatable and its route allows another attempt. A stream
 * that can be resumed is continued by another engine after its last complete event, within the same
 * answer.
 *
 * <p>All state is guarded by this object's lock.
 */
final class OnlineRun implements Call {
  private static final EventLog LOG = EventLog.of(OnlineRun.class);

  /**
   * Maximum number of times that one request is sent; bounds the work that a request causes when
   * all engines are full.
   */
  private static final int MAX_SENDS = 6;

  /**
   * Number of refused connections after each of which a slot is requested at once. A coordinator of
   * an earlier version may go on granting slots on engines that refuse connections.
   */
  private static final int MAX_IMMEDIATE_ASKS = 8;

  /** Time after which a caller may retry if every engine that was tried was full. */
  private static final Duration FULL_RETRY_DELAY = Duration.ofMillis(300);

  /**
   * Delay before a slot is requested again after slots on unusable engines were granted several
   * times.
   */
  private static final Duration GRANT_RETURN_DELAY = Duration.ofMillis(30);

  /**
   * Largest answer in bytes that is buffered until it is complete; larger answers are forwarded as
   * they arrive.
   */
  private static final int MAX_BUFFERED_BYTES = 1 << 20;

  /** Largest answer in bytes that is no stream; the engine is taken to send without end. */
  private static final long MAX_BODY_BYTES = 64L << 20;

  private final OnlineRequest request;
  private final AdmissionGate.Admitted admitted;
  private final OnlineService.Ports ports;
  private final AnswerSink sink;
  private final Runnable onDone;
  private final Route route;
  private final ServiceName service;
  private final RunLimits limits;
  private final RequestFingerprint fingerprint;
  private final Set<UpstreamId> triedEngines = new HashSet<>();

  /** What was sent to engines, in order. */
  private final List<SentRun> sentRuns = new ArrayList<>();

  private final JoinedStream joined;
  private ScheduledFuture<?> answerTimeout;
  private Attempt attempt;

  /** The request for a slot that is not decided yet. */
  private Option<PendingSlot> awaited = Option.none();

  private int sendCount;

  /** Sends that met a refused connection, so that no engine has seen them. */
  private int refusedConnections;

  private int runCount;
  private boolean headForwarded;

  /** The stream of the answer; none if it is no stream, or if its caller does not name it. */
  private final Option<StreamKey> stream;

  /** Whether the caller takes up a stream of which it has events. */
  private final boolean takesUp;

  /** The engine that sent the first event of the answer. */
  private Option<EngineEntry> begunBy = Option.none();

  private boolean done;

  /** Whether the caller has been sent the complete answer. */
  private boolean whole;

  private boolean rateCharged;
  private boolean grantReturned;
  private Instant firstEventAt;
  private Duration totalWait = Duration.ZERO;

  OnlineRun(
      OnlineRequest request,
      AdmissionGate.Admitted admitted,
      OnlineService.Ports ports,
      AnswerSink sink,
      Runnable onDone) {
    this.request = request;
    this.admitted = admitted;
    this.ports = ports;
    this.sink = sink;
    this.onDone = onDone;
    this.route = admitted.route();
    this.service = route.selectService(ports.random().nextDouble());
    this.limits = RunLimits.of(route, request.arrivedAt(), request.deadline());
    String organisation = admitted.organisation().map(o -> o.id().value()).getOrElse("");
    this.fingerprint = RequestFingerprint.of(organisation, request.target(), request.body());
    boolean isStream = route.kind() == RequestKind.STREAM;
    this.takesUp = isStream && request.resumeAfter().isDefined();
    Option<String> first = takesUp ? request.resumes() : Option.some(request.id().value());
    this.stream =
        first
            .filter(id -> isStream && id.length() <= StreamKey.MAX_ID_LENGTH)
            .map(id -> StreamKey.of(organisation, id));
    Option<SoftwareId> begunWith =
        stream.filter(k -> takesUp).flatMap(k -> ports.streams().find(k, request.arrivedAt()));
    this.joined = JoinedStream.after(request.resumeAfter(), begunWith);
  }

  synchronized void start() {
    Duration left = limits.answerBy().remaining(now());
    answerTimeout =
        ports.timer().schedule(this::handleTimeout, left.toNanos(), TimeUnit.NANOSECONDS);
    requestNextSlot();
  }

  @Override
  public synchronized void cancel() {
    if (!done) {
      cancelAttempt(RunEnd.How.CANCELLED);
      finish("the caller disconnected");
    }
  }

  private void requestNextSlot() {
    Option<Instant> refusedUntil = ports.crashingRequests().refusedUntil(fingerprint, now());
    if (refusedUntil.isDefined()) {
      endWithoutSlot(RefusalCode.QUARANTINED, refusedUntil.get(), "engines crash on this request");
      return;
    }
    HomeRegions homes = admitted.homes();
    if (!ports.engines().mayServe(service, homes)) {
      String reason = "no engine of " + service + " is listed in a home region " + homes.names();
      endWithoutSlot(RefusalCode.UNAVAILABLE, now().plus(FULL_RETRY_DELAY), reason);
      return;
    }
    Option<OrganisationId> chargedOrganisation =
        rateCharged ? Option.none() : admitted.organisation().map(OrganisationPlan::id);
    SlotRequirements requirements =
        new SlotRequirements(
            request.id(),
            service,
            WorkClass.ONLINE,
            admitted.rank(),
            chargedOrganisation,
            admitted.organisation().map(OrganisationPlan::id),
            startBy(),
            sendCount == 0 ? limits.giveUpAt() : limits.answerBy(),
            request.promptParts(),
            triedEngines,
            Option.none(),
            Option.some(fingerprint),
            streamNeeds(),
            homes,
            Option.none(),
            request.size());
    PendingSlot pendingSlot = new PendingSlot();
    pendingSlot.number = ports.slots().requestSlot(requirements, pendingSlot);
    awaited = Option.some(pendingSlot);
  }

  /** Returns the latest start. A refusal would cut an answer of which the caller has a part. */
  private Deadline startBy() {
    if (headForwarded) {
      return limits.answerBy();
    }
    return sendCount == 0 ? limits.startBy() : limits.giveUpAt();
  }

  private Option<StreamNeeds> streamNeeds() {
    boolean begun = takesUp || begunBy.isDefined();
    return Option.when(
        begun || stream.isDefined(), () -> new StreamNeeds(stream, begun, joined.software()));
  }

  private synchronized void handleGrant(
      PendingSlot pendingSlot,
      UpstreamId engine,
      Option<SoftwareId> granted,
      Duration coordinatorWait) {
    if (done) {
      ports.slots().endRun(pendingSlot.number, RunEnd.of(RunEnd.How.NOT_SENT));
      return;
    }
    if (!awaited.contains(pendingSlot)) {
      LOG.write(Event.SLOT_GRANTED_TWICE, request.id(), engine);
      return;
    }
    rateCharged = true;
    awaited = Option.none();
    totalWait = totalWait.plus(coordinatorWait);
    Option<EngineEntry> leaving = ports.engines().findEngine(engine).filter(EngineEntry::leaving);
    if (leaving.isDefined()) {
      returnGrant(pendingSlot, leaving.get());
      return;
    }
    Option<EngineEntry> entry = ports.engines().findUsable(engine, service);
    if (entry.isEmpty()) {
      giveBack(pendingSlot, engine, "is not listed for " + service + " on this host");
      return;
    }
    if (!admitted.homes().allow(entry.get().condition().region())) {
      giveBack(pendingSlot, engine, "is in no home region of the request");
      return;
    }
    boolean isCertain = granted.forAll(entry.get().software()::equals);
    if (!mayGoOnAt(entry.get(), isCertain)) {
      giveBack(pendingSlot, engine, "has another version than the one that began the stream");
      return;
    }
    if (!ports.gate().isStillAdmitted(admitted, request.key())) {
      ports.slots().endRun(pendingSlot.number, RunEnd.of(RunEnd.How.NOT_SENT));
      refuse(
          RefusalCode.UNAVAILABLE, "the key could not be confirmed", now().plus(FULL_RETRY_DELAY));
      return;
    }
    send(
        pendingSlot.number,
        entry.get(),
        isCertain ? entry.get().software() : entry.get().uncertainSoftware());
  }

  /**
   * Returns whether the engine may send the next event. What this host knows of the engine may
   * differ from what the coordinator knew as it granted the slot; only the coordinator may know
   * which software began the stream.
   */
  private boolean mayGoOnAt(EngineEntry engine, boolean isCertain) {
    boolean begun = takesUp || begunBy.isDefined();
    return !begun || isCertain && joined.software().forAll(engine.software()::equals);
  }

  /** Returns a slot on an engine that cannot be used from here, which counts as a send. */
  private void giveBack(PendingSlot pendingSlot, UpstreamId engine, String reason) {
    sendCount++;
    triedEngines.add(engine);
    ports.slots().endRun(pendingSlot.number, RunEnd.of(RunEnd.How.NOT_SENT));
    retryOrEnd("engine " + engine + " " + reason);
  }

  /** Returns the slot on an engine that is leaving or evacuated and requests another one. */
  private void returnGrant(PendingSlot pendingSlot, EngineEntry engine) {
    boolean first = !grantReturned;
    grantReturned = true;
    triedEngines.add(engine.id());
    ports.slots().endRun(pendingSlot.number, RunEnd.of(RunEnd.How.NOT_SENT));
    boolean evacuated = engine.condition().evacuated();
    logMove("engine " + engine.id() + (evacuated ? " is evacuated" : " is leaving"));
    if (first) {
      requestNextSlot();
    } else {
      // The coordinator does not know yet that the engine is leaving.
      requestSlotLater();
    }
  }

  private synchronized void requestSlotAgain() {
    if (!done) {
      requestNextSlot();
    }
  }

  private void send(long slot, EngineEntry engine, SoftwareId engineSoftware) {
    sendCount++;
    attempt = new Attempt(slot, engine, engineSoftware, triedEngines.add(engine.id()));
    sentRuns.add(attempt.sentRun);
    logContinuation(engine);
    EngineRequest call =
        new EngineRequest(
            request.id(),
            engine,
            request.method(),
            request.target(),
            request.headers(),
            request.body(),
            admitted.organisation().map(OrganisationPlan::id),
            attempt.run.askedAfter(),
            limits.answerBy());
    Attempt sent = attempt;
    sent.call = ports.calls().send(call, sent);
    sent.watchSilence();
  }

  private void logContinuation(EngineEntry engine) {
    for (long last : joined.lastEventId()) {
      LOG.write(
          Event.STREAM_CONTINUED,
          request.id(),
          last,
          engine.id(),
          engine.version().getOrElse("none"),
          begunBy.isEmpty()
              ? "unknown, request " + request.resumes().getOrElse("not named")
              : begunBy.flatMap(EngineEntry::version).getOrElse("none"));
    }
  }

  private synchronized void handleRefusal(
      PendingSlot pendingSlot, RefusalCode code, Instant retryTime, String reason) {
    if (done || !awaited.contains(pendingSlot)) {
      return;
    }
    awaited = Option.none();
    if (headForwarded && code == RefusalCode.OVERLOADED) {
      requestSlotAt(retryTime);
    } else {
      endWithoutSlot(code, retryTime, reason);
    }
  }

  private void endWithoutSlot(RefusalCode code, Instant retryTime, String reason) {
    if (headForwarded) {
      fail(new Outcome.Unknown("no other engine could continue the stream: " + reason));
    } else if (runCount > 0) {
      fail(
          new Outcome.Unknown(
              "the engine's answer was lost and the request could not run on another engine: "
                  + reason));
    } else {
      refuse(code, reason, retryTime);
    }
  }

  private void refuse(RefusalCode code, String reason, Instant retryAt) {
    fail(new Outcome.Refused(new Refusal(code, reason, retryAt)));
  }

  private void fail(Outcome outcome) {
    sink.onEnd(outcome);
    finish(outcome.toString());
  }

  private synchronized void handleTimeout() {
    if (done) {
      return;
    }
    boolean sent = attempt != null || runCount > 0;
    boolean endless = attempt != null && attempt.isEndless();
    cancelAttempt(endless ? RunEnd.How.ENGINE_LOST : RunEnd.How.CANCELLED);
    if (sent) {
      fail(new Outcome.Failed(504, "the answer was not complete in time"));
    } else {
      refuse(RefusalCode.OVERLOADED, "no slot became free in time", now().plus(FULL_RETRY_DELAY));
    }
  }

  private void cancelAttempt(RunEnd.How outcomeKind) {
    awaited.forEach(pendingSlot -> ports.slots().withdrawRequest(pendingSlot.number));
    awaited = Option.none();
    if (attempt != null) {
      Attempt cancelledAttempt = attempt;
      attempt = null;
      cancelledAttempt.releaseSlot(outcomeKind);
      cancelledAttempt.call.cancel();
    }
  }

  private boolean mayRunAgain() {
    return route.isRepeatable() && joined.canGoOn();
  }

  /** Sends the request again if that is allowed, else ends it with the outcome that is known. */
  private void retryOrEnd(String reason) {
    logMove(reason);
    boolean attemptsExhausted = runCount >= route.maxAttempts() || !mayBeSentAgain();
    if (runCount > 0 && (!mayRunAgain() || attemptsExhausted)) {
      fail(new Outcome.Unknown(reason));
    } else if (attemptsExhausted || limits.answerBy().isPast(now())) {
      refuse(RefusalCode.OVERLOADED, reason, now().plus(FULL_RETRY_DELAY));
    } else {
      requestSlotForRetry();
    }
  }

  /** Refused connections do not count: the coordinator knows these engines as lost at once. */
  private boolean mayBeSentAgain() {
    return sendCount - refusedConnections < MAX_SENDS;
  }

  private void requestSlotForRetry() {
    if (refusedConnections <= MAX_IMMEDIATE_ASKS) {
      requestNextSlot();
    } else {
      requestSlotLater();
    }
  }

  private void requestSlotLater() {
    requestSlotAt(now());
  }

  /** Requests a slot at a given time, or after a short while if that is later. */
  private void requestSlotAt(Instant time) {
    Duration delay = Duration.between(now(), time);
    long nanos = Math.max(GRANT_RETURN_DELAY.toNanos(), delay.toNanos());
    ports.timer().schedule(this::requestSlotAgain, nanos, TimeUnit.NANOSECONDS);
  }

  private void logMove(String reason) {
    LOG.write(
        Event.REQUEST_MOVED,
        request.id(),
        reason,
        joined.lastEventId().map(Object::toString).getOrElse("none"),
        runCount,
        route.maxAttempts());
  }

  private void finish(String outcome) {
    if (done) {
      // The caller's connection failed as the end was written, and cancelled the run.
      return;
    }
    done = true;
    answerTimeout.cancel(false);
    updateOrigin();
    Duration total = Duration.between(request.arrivedAt(), now());
    LOG.write(
        Event.REQUEST_ENDED,
        request.id(),
        admitted.organisation().map(o -> o.id().value()).getOrElse("none"),
        route.name(),
        route.kind(),
        describeSentRuns(r -> r.engine),
        describeSentRuns(r -> r.connection),
        describeSentRuns(r -> r.run),
        totalWait.toMillis(),
        firstEventAt == null
            ? "none"
            : Duration.between(request.arrivedAt(), firstEventAt).toMillis(),
        total.toMillis(),
        joined.eventCount(),
        admitted.plan().version(),
        ports.slots().coordinator().map(Object::toString).getOrElse("none"),
        outcome);
    ports.metrics().timer("requests.total").update(total);
    ports.metrics().timer("requests.waited").update(totalWait);
    onDone.run();
  }

  private String describeSentRuns(Function<SentRun, Object> property) {
    return sentRuns.stream().map(property).map(Object::toString).collect(Collectors.joining(","));
  }

  /** Remembers which software began the stream if its caller may take it up from here on. */
  private void updateOrigin() {
    if (whole) {
      stream.forEach(ports.streams()::remove);
    } else if (begunBy.isDefined()) {
      recordOrigin();
    }
  }

  private void recordOrigin() {
    stream.forEach(k -> joined.software().forEach(s -> ports.streams().record(k, s, now())));
  }

  private Instant now() {
    return ports.clock().instant();
  }

  /** Receives the decision about one request for a slot. */
  private final class PendingSlot implements SlotListener {
    private long number;

    @Override
    public void onGrant(UpstreamId engine, Option<SoftwareId> granted, Duration coordinatorWait) {
      handleGrant(this, engine, granted, coordinatorWait);
    }

    @Override
    public void onRefusal(RefusalCode code, Instant retryAt, String reason) {
      handleRefusal(this, code, retryAt, reason);
    }

    @Override
    public void onYield() {
      // Online runs are never preempted.
    }
  }

  /** What the log tells of an attempt after its end. */
  private static final class SentRun {
    private final UpstreamId engine;
    private final StreamRun run;
    private String connection = "none";

    SentRun(UpstreamId engine, StreamRun run) {
      this.engine = engine;
      this.run = run;
    }
  }

  /** One attempt to run the request on an engine. */
  private final class Attempt implements EngineListener {
    private final long slot;
    private final EngineEntry engine;
    private final StreamRun run;
    private final SentRun sentRun;

    /** Whether the request was not sent to the engine before. */
    private final boolean isFirstOnEngine;

    private final Instant sentAt = now();
    private final ServerSentEventParser parser = new ServerSentEventParser();
    private final ByteArrayOutputStream buffered = new ByteArrayOutputStream();
    private StreamCall call;
    private EngineAnswer head;
    private Instant firstEventReceivedAt;
    private Instant lastActivityAt = sentAt;
    private int receivedEvents;
    private long bodyBytes;
    private final ReceiverWait receiverWait = new ReceiverWait(ports.clock());
    private boolean slotReleased;
    private final SilenceWatch silenceWatch =
        new SilenceWatch(
            ports.clock(),
            ports.timer(),
            action -> call.afterPendingInput(action),
            this::onSilence);

    Attempt(long slot, EngineEntry engine, SoftwareId engineSoftware, boolean isFirstOnEngine) {
      this.isFirstOnEngine = isFirstOnEngine;
      this.slot = slot;
      this.engine = engine;
      this.run = joined.beginRun(engineSoftware);
      this.sentRun = new SentRun(engine.id(), run);
    }

    /** Frees the slot and reports the speed of the engine. */
    void releaseSlot(RunEnd.How outcomeKind) {
      if (slotReleased) {
        return;
      }
      slotReleased = true;
      silenceWatch.stop();
      sentRun.connection = connection();
      Duration first =
          firstEventReceivedAt == null
              ? Duration.ZERO
              : Duration.between(sentAt, firstEventReceivedAt);
      Duration gap =
          receivedEvents < 2
              ? Duration.ZERO
              : Duration.between(firstEventReceivedAt, lastActivityAt)
                  .dividedBy(receivedEvents - 1);
      reportEnd(new RunEnd(outcomeKind, first, gap, 0));
    }

    private String connection() {
      return call.connection().map(ConnectionUse::toString).getOrElse("none");
    }

    private void reportEnd(RunEnd end) {
      if (end.how() == RunEnd.How.ENGINE_BROKE_OFF) {
        ports
            .crashingRequests()
            .recordCrash(fingerprint, engine.boot(), now())
            .forEach(r -> LOG.write(Event.CRASHING_REQUEST_REFUSED, r.request(), r.crashes()));
      } else if (end.isAnswered()) {
        ports.crashingRequests().recordWhole(fingerprint, now());
      }
      ports.slots().endRun(slot, end, engine.boot());
    }

    void watchSilence() {
      if (isStream()) {
        silenceWatch.start(limits.firstEventLimit());
      }
    }

    private void onSilence() {
      synchronized (OnlineRun.this) {
        if (!slotReleased && !done && attempt == this) {
          handleSilence();
        }
      }
    }

    private void handleSilence() {
      ports.slots().reportSilence(slot);
      ports.calls().reportSilence(engine);
      boolean anotherAllowed = runCount + 1 < route.maxAttempts() && mayBeSentAgain();
      if (mayRunAgain() && anotherAllowed && isStream()) {
        runCount++;
        cancelAttempt(RunEnd.How.ENGINE_LOST);
        retryOrEnd("engine " + engine.id() + " stopped sending");
      }
    }

    @Override
    public void onHead(EngineAnswer answer) {
      synchronized (OnlineRun.this) {
        if (slotReleased || done || attempt != this) {
          return;
        }
        head = answer;
        switch (answer.verdict()) {
          case FULL ->
              retryAfterNoRun(RunEnd.How.ENGINE_FULL, "engine " + engine.id() + " is full");
          case OTHER_ENGINE ->
              retryAfterNoRun(
                  RunEnd.How.ENGINE_WRONG,
                  "engine " + engine.id() + " is no longer at its address");
          case MISMATCHED ->
              retryAfterLoss(
                  RunEnd.How.ENGINE_LOST,
                  "engine " + engine.id() + " sent the answer to another request");
          default -> {
            lastActivityAt = now();
            ports.slots().reportAnswer(slot);
          }
        }
      }
    }

    private void retryAfterNoRun(RunEnd.How outcomeKind, String reason) {
      cancelAttempt(outcomeKind);
      retryOrEnd(reason);
    }

    private void retryAfterLoss(RunEnd.How outcomeKind, String reason) {
      runCount++;
      cancelAttempt(outcomeKind);
      retryOrEnd(reason);
    }

    @Override
    public void onBytes(byte[] bytes) {
      synchronized (OnlineRun.this) {
        if (slotReleased || done) {
          return;
        }
        if (isEventStream()) {
          parser.parse(bytes).forEach(this::onEvent);
          parser.malformation().forEach(this::breakOff);
        } else {
          onBodyBytes(bytes);
        }
      }
    }

    private void onBodyBytes(byte[] bytes) {
      bodyBytes += bytes.length;
      if (bodyBytes > MAX_BODY_BYTES) {
        breakOff("a body of more than " + MAX_BODY_BYTES + " bytes");
        return;
      }
      buffered.writeBytes(bytes);
      boolean begun = headForwarded && !isStream();
      if (!begun && buffered.size() <= MAX_BUFFERED_BYTES) {
        return;
      }
      if (isStream()) {
        // Forwarded in part, it could be followed by events of another engine.
        breakOff("an error of more than " + MAX_BUFFERED_BYTES + " bytes");
      } else {
        forwardBuffered();
        waitForReceiver();
      }
    }

    /** Reads the engine's answer only as fast as the caller takes it. */
    private void waitForReceiver() {
      CompletableFuture<Void> drained = sink.drained();
      if (!drained.isDone() && receiverWait.begin()) {
        call.setReading(false);
        drained.thenRun(this::goOnReading);
      }
    }

    private void goOnReading() {
      synchronized (OnlineRun.this) {
        receiverWait.end();
        if (!slotReleased) {
          call.setReading(true);
        }
      }
    }

    /** Returns whether it is the engine, not the receiver, that holds up the end of the answer. */
    boolean isEndless() {
      Duration running = Duration.between(sentAt, now());
      return headForwarded
          && !isStream()
          && receiverWait.total().multipliedBy(2).compareTo(running) < 0;
    }

    /** Closes the connection of an answer that this host does not read any further. */
    private void breakOff(String sent) {
      if (!slotReleased && !done) {
        onFailure(new CallFailure(CallFailure.Kind.MALFORMED, "it sent " + sent));
      }
    }

    private boolean isStream() {
      return route.kind() == RequestKind.STREAM;
    }

    private boolean isEventStream() {
      return isStream() && head != null && head.isSuccess();
    }

    private void onEvent(ServerSentEventParser.ServerSentEvent event) {
      if (slotReleased || done) {
        return;
      }
      Instant receivedAt = now();
      firstEventReceivedAt = firstEventReceivedAt == null ? receivedAt : firstEventReceivedAt;
      lastActivityAt = receivedAt;
      receivedEvents++;
      silenceWatch.recordActivity(limits.gapLimit());
      Option<OutOfPlace> outOfPlace = run.append(event);
      if (outOfPlace.isDefined()) {
        onEventOutOfPlace(event, outOfPlace.get());
        return;
      }
      forwardHead();
      if (begunBy.isEmpty() && run.hasAppended()) {
        begunBy = Option.some(engine);
        recordOrigin();
      }
      sink.onBytes(event.bytes());
    }

    private void onEventOutOfPlace(
        ServerSentEventParser.ServerSentEvent event, OutOfPlace outOfPlace) {
      LOG.write(
          Event.EVENT_OUT_OF_PLACE,
          engine.id(),
          event.id(),
          request.id(),
          outOfPlace,
          connection(),
          run);
      if (attempt == this) {
        breakOff("event " + event.id() + " out of place: " + outOfPlace);
      } else {
        releaseSlot(RunEnd.How.CANCELLED);
        call.cancel();
      }
    }

    private void forwardHead() {
      if (!headForwarded) {
        headForwarded = true;
        firstEventAt = now();
        Duration first = Duration.between(request.arrivedAt(), firstEventAt);
        ports.metrics().timer("requests.first").update(first);
        sink.onHead(head);
      }
    }

    private void forwardBuffered() {
      forwardHead();
      if (buffered.size() > 0) {
        sink.onBytes(buffered.toByteArray());
        buffered.reset();
      }
    }

    @Override
    public void onEnd(Option<CallFailure> failure) {
      synchronized (OnlineRun.this) {
        if (slotReleased || done || attempt != this) {
          return;
        }
        if (failure.isDefined()) {
          onFailure(failure.get());
        } else {
          Option<String> streamBreak =
              isEventStream() ? StreamEnd.findBreak(head, parser) : Option.none();
          if (streamBreak.isDefined()) {
            retryAfterLoss(
                RunEnd.How.ENGINE_BROKE_OFF, "engine " + engine.id() + ": " + streamBreak.get());
          } else {
            onComplete();
          }
        }
      }
    }

    private void onFailure(CallFailure failure) {
      String reason = "engine " + engine.id() + ": " + failure.message();
      RunEnd.How lost = outcomeOf(failure.kind());
      if (failure.kind() == CallFailure.Kind.OUT_OF_REACH) {
        onOutOfReach(reason);
      } else if (failure.connectionRefused()) {
        refusedConnections++;
        retryAfterNoRun(RunEnd.How.CONNECTION_REFUSED, reason);
      } else if (failure.kind() == CallFailure.Kind.NOT_SENT) {
        retryAfterNoRun(RunEnd.How.ENGINE_LOST, reason);
      } else if (headForwarded && !isStream()) {
        runCount++;
        cancelAttempt(lost);
        fail(new Outcome.Unknown(reason));
      } else {
        retryAfterLoss(lost, reason);
      }
    }

    private static RunEnd.How outcomeOf(CallFailure.Kind kind) {
      return switch (kind) {
        case MALFORMED -> RunEnd.How.ENGINE_LOST;
        case LINK_LOST -> RunEnd.How.CANCELLED;
        default -> RunEnd.How.ENGINE_BROKE_OFF;
      };
    }

    /** The engine may be sound, and this host may soon know others that reach it. */
    private void onOutOfReach(String reason) {
      if (isFirstOnEngine) {
        triedEngines.remove(engine.id());
      }
      cancelAttempt(RunEnd.How.NOT_SENT);
      if (mayBeSentAgain() && !limits.answerBy().isPast(now())) {
        logMove(reason);
        requestSlotLater();
      } else {
        retryOrEnd(reason);
      }
    }

    private void onComplete() {
      runCount++;
      boolean failed = head.status() >= 500;
      if (failed && !headForwarded && route.isRepeatable() && runCount < route.maxAttempts()) {
        cancelAttempt(RunEnd.How.ENGINE_FAILED);
        retryOrEnd("engine " + engine.id() + " answered with status " + head.status());
        return;
      }
      attempt = null;
      releaseSlot(failed ? RunEnd.How.ENGINE_FAILED : RunEnd.How.WHOLE);
      if (headForwarded && !head.isSuccess() && isStream()) {
        fail(new Outcome.Failed(head.status(), "continuing the stream failed on the next engine"));
        return;
      }
      buffered.writeBytes(parser.unparsedBytes());
      forwardBuffered();
      if (done) {
        return;
      }
      whole = true;
      sink.onEnd(new Outcome.Done());
      finish("status " + head.status());
    }
  }
}
