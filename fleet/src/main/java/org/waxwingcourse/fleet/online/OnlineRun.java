package org.waxwingcourse.fleet.online;

import io.vavr.control.Option;
import java.io.ByteArrayOutputStream;
import java.time.Duration;
import java.time.Instant;
import java.util.HashSet;
import java.util.Set;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import org.waxwingcourse.fleet.coordinate.SlotListener;
import org.waxwingcourse.fleet.coordinate.SlotRequirements;
import org.waxwingcourse.fleet.engine.EngineAnswer;
import org.waxwingcourse.fleet.engine.EngineEntry;
import org.waxwingcourse.fleet.engine.EngineListener;
import org.waxwingcourse.fleet.engine.EngineRequest;
import org.waxwingcourse.fleet.engine.ServerSentEventParser;
import org.waxwingcourse.fleet.plan.OrganisationPlan;
import org.waxwingcourse.fleet.plan.RequestKind;
import org.waxwingcourse.fleet.plan.Route;
import org.waxwingcourse.fleet.slot.RunEnd;
import org.waxwingcourse.http.CallFailure;
import org.waxwingcourse.http.StreamCall;
import org.waxwingcourse.model.event.Event;
import org.waxwingcourse.model.event.EventLog;
import org.waxwingcourse.model.id.OrganisationId;
import org.waxwingcourse.model.id.ServiceName;
import org.waxwingcourse.model.id.UpstreamId;
import org.waxwingcourse.model.request.Call;
import org.waxwingcourse.model.request.Outcome;
import org.waxwingcourse.model.request.Refusal;
import org.waxwingcourse.model.request.RefusalCode;
import org.waxwingcourse.model.request.WorkClass;
import org.waxwingcourse.model.time.Deadline;

/**
 * One request from its admission to its final answer. It is sent again only if no engine can have
 * run it, or if it may be repeated and its route allows another attempt. A stream that may be
 * resumed goes on at another engine after its last whole event, inside the same answer.
 *
 * <p>All state is guarded by this object's lock.
 */
final class OnlineRun implements Call {
  private static final EventLog LOG = EventLog.of(OnlineRun.class);

  /**
   * Sends that no engine ran, for one request; bounds the work that a fleet of full engines costs.
   */
  private static final int MAX_SENDS = 6;

  /** When a caller may come back if every engine that was tried was full. */
  private static final Duration FULL_RETRY = Duration.ofMillis(300);

  /** Largest answer that is held back until it is whole, bytes; larger ones are passed on. */
  private static final int MAX_HELD_BYTES = 1 << 20;

  private final OnlineRequest request;
  private final Gate.Admitted admitted;
  private final OnlineService.Ports ports;
  private final AnswerSink sink;
  private final Runnable onDone;
  private final Route route;
  private final ServiceName service;
  private final RunLimits limits;
  private final Set<UpstreamId> tried = new HashSet<>();
  private final StringBuilder path = new StringBuilder();
  private Option<Long> lastEvent;
  private ScheduledFuture<?> answerTimer;
  private Attempt attempt;
  private long waitingSlot;
  private int sends;
  private int runs;
  private int events;
  private boolean headPassed;
  private boolean done;
  private boolean charged;
  private Instant firstEventAt;
  private Duration waited = Duration.ZERO;

  OnlineRun(
      OnlineRequest request,
      Gate.Admitted admitted,
      OnlineService.Ports ports,
      AnswerSink sink,
      Runnable onDone) {
    this.request = request;
    this.admitted = admitted;
    this.ports = ports;
    this.sink = sink;
    this.onDone = onDone;
    this.route = admitted.route();
    this.service = route.pick(ports.random().nextDouble());
    Deadline unstated = Deadline.at(request.arrivedAt().plus(route.timeout()));
    this.limits = RunLimits.of(route, request.arrivedAt(), request.deadline().getOrElse(unstated));
    this.lastEvent = request.resumeAfter();
  }

  synchronized void begin() {
    Duration left = limits.answerBy().remaining(now());
    answerTimer = ports.timer().schedule(this::timedOut, left.toNanos(), TimeUnit.NANOSECONDS);
    askSlot();
  }

  @Override
  public synchronized void cancel() {
    if (!done) {
      dropAttempt(RunEnd.How.CANCELLED);
      finish("caller left");
    }
  }

  private void askSlot() {
    Option<OrganisationId> payer =
        charged ? Option.none() : admitted.organisation().map(OrganisationPlan::id);
    SlotRequirements requirements =
        new SlotRequirements(
            request.id(),
            service,
            WorkClass.ONLINE,
            admitted.rank(),
            payer,
            sends == 0 ? limits.startBy() : limits.giveUpAt(),
            sends == 0 ? limits.giveUpAt() : limits.answerBy(),
            request.promptParts(),
            tried);
    Waiting waiting = new Waiting();
    waiting.number = ports.slots().requestSlot(requirements, waiting);
    waitingSlot = waiting.number;
  }

  private synchronized void granted(Waiting waiting, UpstreamId engine, Duration waitedThere) {
    if (done) {
      ports.slots().endRun(waiting.number, RunEnd.of(RunEnd.How.CANCELLED));
      return;
    }
    charged = true;
    waitingSlot = 0;
    waited = waited.plus(waitedThere);
    Option<EngineEntry> entry = ports.engines().get(engine).filter(e -> !e.leaving());
    if (entry.isEmpty()) {
      sends++;
      tried.add(engine);
      ports.slots().endRun(waiting.number, RunEnd.of(RunEnd.How.CANCELLED));
      tryAgain("engine " + engine + " is not listed here");
      return;
    }
    if (!ports.gate().stillAllows(admitted, request.key())) {
      ports.slots().endRun(waiting.number, RunEnd.of(RunEnd.How.CANCELLED));
      refuse(RefusalCode.UNAVAILABLE, "the key could not be confirmed", now().plus(FULL_RETRY));
      return;
    }
    send(waiting.number, entry.get());
  }

  private void send(long slot, EngineEntry engine) {
    sends++;
    tried.add(engine.id());
    path.append(path.isEmpty() ? "" : ",").append(engine.id());
    attempt = new Attempt(slot, engine);
    EngineRequest call =
        new EngineRequest(
            request.id(),
            engine,
            request.method(),
            request.target(),
            request.headers(),
            request.body(),
            admitted.organisation().map(OrganisationPlan::id),
            lastEvent,
            limits.answerBy(),
            route.isRepeatable());
    Attempt sent = attempt;
    sent.call = ports.calls().send(call, sent);
    sent.watch(limits.firstEventLimit());
  }

  private synchronized void refused(Waiting waiting, boolean overRate, Instant at, String why) {
    if (done || waiting.number != waitingSlot) {
      return;
    }
    waitingSlot = 0;
    if (headPassed) {
      fail(new Outcome.Unknown("no engine could go on with the stream: " + why));
    } else if (runs > 0) {
      fail(new Outcome.Unknown("the engine's answer was lost and no other could run it: " + why));
    } else {
      refuse(overRate ? RefusalCode.RATE_LIMITED : RefusalCode.OVERLOADED, why, at);
    }
  }

  private void refuse(RefusalCode code, String why, Instant retryAt) {
    fail(new Outcome.Refused(new Refusal(code, why, retryAt)));
  }

  private void fail(Outcome outcome) {
    sink.onEnd(outcome);
    finish(outcome.toString());
  }

  private synchronized void timedOut() {
    if (done) {
      return;
    }
    boolean sent = attempt != null || runs > 0;
    dropAttempt(RunEnd.How.CANCELLED);
    if (sent) {
      fail(new Outcome.Failed(504, "no whole answer came in time"));
    } else {
      refuse(RefusalCode.OVERLOADED, "no slot came in time", now().plus(FULL_RETRY));
    }
  }

  private void dropAttempt(RunEnd.How how) {
    if (waitingSlot != 0) {
      ports.slots().withdrawRequest(waitingSlot);
      waitingSlot = 0;
    }
    if (attempt != null) {
      Attempt dropped = attempt;
      attempt = null;
      dropped.close(how);
      dropped.call.cancel();
    }
  }

  /** Sends the request again if that is allowed, else ends it with what is known. */
  private void tryAgain(String why) {
    LOG.write(
        Event.REQUEST_MOVED,
        request.id(),
        why,
        lastEvent.map(Object::toString).getOrElse("none"),
        runs,
        route.maxAttempts());
    boolean ranOut = runs >= route.maxAttempts() || sends >= MAX_SENDS;
    if (runs > 0 && (!route.isRepeatable() || ranOut)) {
      fail(new Outcome.Unknown(why));
    } else if (ranOut || limits.answerBy().isPast(now())) {
      refuse(RefusalCode.OVERLOADED, why, now().plus(FULL_RETRY));
    } else {
      askSlot();
    }
  }

  private void finish(String outcome) {
    done = true;
    answerTimer.cancel(false);
    Duration total = Duration.between(request.arrivedAt(), now());
    LOG.write(
        Event.REQUEST_ENDED,
        request.id(),
        admitted.organisation().map(o -> o.id().value()).getOrElse("none"),
        route.name(),
        path,
        waited.toMillis(),
        firstEventAt == null
            ? "none"
            : Duration.between(request.arrivedAt(), firstEventAt).toMillis(),
        total.toMillis(),
        events,
        admitted.plan().version(),
        ports.slots().coordinator().map(Object::toString).getOrElse("none"),
        outcome);
    ports.metrics().timer("requests.total").update(total);
    ports.metrics().timer("requests.waited").update(waited);
    onDone.run();
  }

  private Instant now() {
    return ports.clock().instant();
  }

  /** A request for a slot that has not been decided. */
  private final class Waiting implements SlotListener {
    private volatile long number;

    @Override
    public void onGrant(UpstreamId engine, Duration waitedThere) {
      granted(this, engine, waitedThere);
    }

    @Override
    public void onRefusal(boolean overRate, Instant retryAt, String reason) {
      refused(this, overRate, retryAt, reason);
    }

    @Override
    public void onYield() {
      // Online runs are not asked to yield.
    }
  }

  /** One send to an engine. */
  private final class Attempt implements EngineListener {
    private final long slot;
    private final EngineEntry engine;
    private final Instant sentAt = now();
    private final ServerSentEventParser parser = new ServerSentEventParser();
    private final ByteArrayOutputStream held = new ByteArrayOutputStream();
    private StreamCall call;
    private EngineAnswer head;
    private Instant firstAt;
    private Instant lastAt = sentAt;
    private int count;
    private boolean closed;
    private boolean doubted;

    Attempt(long slot, EngineEntry engine) {
      this.slot = slot;
      this.engine = engine;
    }

    /** Frees the slot and tells how the engine did. */
    void close(RunEnd.How how) {
      if (closed) {
        return;
      }
      closed = true;
      Duration first = firstAt == null ? Duration.ZERO : Duration.between(sentAt, firstAt);
      Duration gap =
          count < 2 ? Duration.ZERO : Duration.between(firstAt, lastAt).dividedBy(count - 1);
      ports.slots().endRun(slot, new RunEnd(how, first, gap));
    }

    void watch(Duration limit) {
      ports.timer().schedule(this::checkSilence, limit.toNanos(), TimeUnit.NANOSECONDS);
    }

    private void checkSilence() {
      synchronized (OnlineRun.this) {
        if (closed || done || attempt != this || !isStream()) {
          return;
        }
        Duration limit = count == 0 ? limits.firstEventLimit() : limits.gapLimit();
        Duration left = limit.minus(Duration.between(lastAt, now()));
        if (!left.isNegative() && !left.isZero()) {
          watch(left);
        } else if (!doubted) {
          doubt();
        }
      }
    }

    private void doubt() {
      doubted = true;
      ports.slots().reportSilence(slot);
      boolean another = runs + 1 < route.maxAttempts() && sends < MAX_SENDS;
      if (route.isRepeatable() && another && isStream()) {
        runs++;
        dropAttempt(RunEnd.How.ENGINE_LOST);
        tryAgain("engine " + engine.id() + " fell silent");
      }
    }

    @Override
    public void onHead(EngineAnswer answer) {
      synchronized (OnlineRun.this) {
        if (closed || done) {
          return;
        }
        head = answer;
        switch (answer.verdict()) {
          case FULL -> notRun(RunEnd.How.ENGINE_FULL, "engine " + engine.id() + " is full");
          case OTHER_ENGINE ->
              notRun(RunEnd.How.ENGINE_WRONG, "engine " + engine.id() + " has gone");
          case CROSSED -> lost("engine " + engine.id() + " answered another request");
          default -> lastAt = now();
        }
      }
    }

    private void notRun(RunEnd.How how, String why) {
      dropAttempt(how);
      tryAgain(why);
    }

    private void lost(String why) {
      runs++;
      dropAttempt(RunEnd.How.ENGINE_LOST);
      tryAgain(why);
    }

    @Override
    public void onBytes(byte[] bytes) {
      synchronized (OnlineRun.this) {
        if (closed || done) {
          return;
        }
        if (isEventStream()) {
          parser.parse(bytes).forEach(this::onEvent);
        } else {
          held.writeBytes(bytes);
          if (held.size() > MAX_HELD_BYTES) {
            passHeld();
          }
        }
      }
    }

    private boolean isStream() {
      return route.kind() == RequestKind.STREAM;
    }

    private boolean isEventStream() {
      return isStream() && head != null && head.isSuccess();
    }

    private void onEvent(ServerSentEventParser.ServerSentEvent event) {
      Instant at = now();
      firstAt = firstAt == null ? at : firstAt;
      lastAt = at;
      count++;
      boolean known =
          event.id() != ServerSentEventParser.NO_ID && lastEvent.exists(l -> event.id() <= l);
      if (known) {
        return;
      }
      passHead();
      if (event.id() != ServerSentEventParser.NO_ID) {
        lastEvent = Option.some(event.id());
      }
      if (count == 1) {
        watch(limits.gapLimit());
      }
      events++;
      sink.onBytes(event.bytes());
    }

    private void passHead() {
      if (!headPassed) {
        headPassed = true;
        firstEventAt = now();
        Duration first = Duration.between(request.arrivedAt(), firstEventAt);
        ports.metrics().timer("requests.first").update(first);
        sink.onHead(head);
      }
    }

    private void passHeld() {
      passHead();
      if (held.size() > 0) {
        sink.onBytes(held.toByteArray());
        held.reset();
      }
    }

    @Override
    public void onEnd(Option<CallFailure> failure) {
      synchronized (OnlineRun.this) {
        if (closed || done || attempt != this) {
          return;
        }
        if (failure.isDefined()) {
          onFailure(failure.get());
        } else {
          onWhole();
        }
      }
    }

    private void onFailure(CallFailure failure) {
      String why = "engine " + engine.id() + ": " + failure.message();
      if (failure.kind() == CallFailure.Kind.NOT_SENT) {
        notRun(RunEnd.How.ENGINE_LOST, why);
      } else if (headPassed && !isStream()) {
        runs++;
        dropAttempt(RunEnd.How.ENGINE_LOST);
        fail(new Outcome.Unknown(why));
      } else {
        lost(why);
      }
    }

    private void onWhole() {
      runs++;
      boolean failed = head.status() >= 500;
      if (failed && !headPassed && route.isRepeatable() && runs < route.maxAttempts()) {
        dropAttempt(RunEnd.How.ENGINE_FAILED);
        tryAgain("engine " + engine.id() + " answered " + head.status());
        return;
      }
      attempt = null;
      close(failed ? RunEnd.How.ENGINE_FAILED : RunEnd.How.WHOLE);
      if (headPassed && !head.isSuccess() && isStream()) {
        fail(new Outcome.Failed(head.status(), "the engine that was to go on failed"));
        return;
      }
      held.writeBytes(parser.unparsedBytes());
      passHeld();
      sink.onEnd(new Outcome.Done());
      finish("status " + head.status());
    }
  }
}
