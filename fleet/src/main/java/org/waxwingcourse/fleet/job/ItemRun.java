package org.waxwingcourse.fleet.job;

import io.vavr.control.Option;
import java.time.Duration;
import java.time.Instant;
import java.util.HashSet;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.waxwingcourse.fleet.coordinate.SlotListener;
import org.waxwingcourse.fleet.coordinate.SlotRequirements;
import org.waxwingcourse.fleet.engine.EngineAnswer;
import org.waxwingcourse.fleet.engine.EngineEntry;
import org.waxwingcourse.fleet.engine.EngineListener;
import org.waxwingcourse.fleet.engine.ServerSentEventParser;
import org.waxwingcourse.fleet.engine.SilenceWatch;
import org.waxwingcourse.fleet.engine.SoftwareId;
import org.waxwingcourse.fleet.engine.StreamEnd;
import org.waxwingcourse.fleet.plan.HomeRegions;
import org.waxwingcourse.fleet.plan.Plan;
import org.waxwingcourse.fleet.plan.Route;
import org.waxwingcourse.fleet.slot.RunEnd;
import org.waxwingcourse.fleet.stream.JoinedStream;
import org.waxwingcourse.fleet.stream.OutOfPlace;
import org.waxwingcourse.fleet.stream.StreamRun;
import org.waxwingcourse.http.CallFailure;
import org.waxwingcourse.http.ConnectionUse;
import org.waxwingcourse.http.StreamCall;
import org.waxwingcourse.model.event.Event;
import org.waxwingcourse.model.event.EventLog;
import org.waxwingcourse.model.id.ServiceName;
import org.waxwingcourse.model.id.UpstreamId;
import org.waxwingcourse.model.request.RefusalCode;
import org.waxwingcourse.model.time.Deadline;
import org.waxwingcourse.wire.fleet.JobItem;

/**
 * Runs one item until it has a result. Events that an engine has already sent are kept when the
 * item loses its slot or engine, and the next engine continues after them.
 *
 * <p>All state is guarded by this object's lock; the listener is called outside it.
 */
final class ItemRun {
  private static final EventLog LOG = EventLog.of(ItemRun.class);

  /**
   * Silence after which the item moves to another engine; several times the pause between events of
   * a slow engine.
   */
  private static final Duration SILENCE_LIMIT = Duration.ofMillis(900);

  /** Maximum time that one engine may work on an item. */
  private static final Duration RUN_LIMIT = Duration.ofSeconds(30);

  /** Delay before an item is tried again after a failed or refused attempt. */
  private static final Duration RETRY_DELAY = Duration.ofMillis(150);

  /** Delay before an item is tried again for which no slot could be requested or used. */
  private static final Duration FAILURE_RETRY_DELAY = Duration.ofSeconds(3);

  /** Delay before an item is tried again on whose prompt engines crash. */
  private static final Duration QUARANTINE_RETRY_DELAY = Duration.ofSeconds(3);

  /**
   * Delay before an item is tried again whose last two runs broke off before an event, or sent one
   * out of place; it doubles with each further one, since the item itself may be the cause.
   */
  private static final Duration CRASH_RETRY_DELAY = Duration.ofSeconds(1);

  private static final int MAX_DOUBLINGS = 4;

  private static final int UNPROCESSABLE = 422;
  private static final int SERVER_ERROR = 500;

  /** Receives the result of an item, once. */
  @FunctionalInterface
  interface ResultListener {
    void onResult(ItemRun item, boolean completed, String text);
  }

  private final int index;
  private final JobItem item;
  private final RunningJob job;
  private final JobRunner.Ports ports;
  private final ResultListener listener;
  private final Set<UpstreamId> failedOn = new HashSet<>();
  private final ItemOutput output = new ItemOutput();
  private final JoinedStream joined = JoinedStream.empty();
  private final ItemRequests requests;
  private final ItemWait wait;
  private Attempt attempt;
  private long slotNumber;

  /** Whether the slot is granted and the item not sent yet. */
  private boolean slotUnused;

  private HomeRegions homes = HomeRegions.ANY;
  private long planVersion;
  private int failures;
  private int yields;
  private int moves;

  /** Runs in a row that lost their engine before an event, or sent one out of place. */
  private int losses;

  /** Those of them that the next engine may end in the same way, because of the item. */
  private int breaks;

  private Duration waited = Duration.ZERO;
  private boolean done;

  ItemRun(int index, JobItem item, RunningJob job, JobRunner.Ports ports, ResultListener listener) {
    this.index = index;
    this.item = item;
    this.job = job;
    this.ports = ports;
    this.listener = listener;
    this.requests = new ItemRequests(item, job, ports);
    this.wait = new ItemWait(ports.clock().instant());
  }

  int index() {
    return index;
  }

  JobItem item() {
    return item;
  }

  /** Returns what the item waits for while it has no run. */
  ItemWait waitState() {
    return wait;
  }

  /**
   * Requests a slot, later if that fails: nothing else would ask for this item again, or for those
   * after it.
   */
  synchronized void requestSlot() {
    if (done) {
      return;
    }
    try {
      requestSlotNow();
    } catch (RuntimeException e) {
      retryFailedStep(e);
    }
  }

  private void retryFailedStep(RuntimeException failure) {
    LOG.write(Event.STEP_FAILED, "item " + item.getId() + " of job " + job.id() + ": " + failure);
    if (job.giveUpAt().isPast(ports.clock().instant())) {
      finish(false, "");
    } else {
      scheduleRetry(FAILURE_RETRY_DELAY, WaitReason.REQUEST_FAILED);
    }
  }

  private void requestSlotNow() {
    if (!joined.canGoOn()) {
      beginAnew("an event has no id");
    }
    Option<Plan> plan = ports.storeView().plan();
    if (plan.isEmpty()) {
      scheduleRetry(WaitReason.NO_CONFIGURATION);
      return;
    }
    Option<Route> route = job.route(plan.get());
    planVersion = plan.get().version();
    if (route.isEmpty()) {
      finish(false, "");
      return;
    }
    ServiceName service = route.get().selectService(ports.random().nextDouble());
    homes = plan.get().homes(route.get(), job.organisation());
    if (!ports.engines().mayServe(service, homes)) {
      scheduleRetry(WaitReason.NO_ENGINE);
      return;
    }
    SlotRequirements slotRequirements =
        requests.slotRequirements(
            route.get(), service, homes, output.eventCount(), failedOn, joined.software());
    PendingSlot pendingSlot = new PendingSlot(service);
    pendingSlot.requestNumber = ports.slots().requestSlot(slotRequirements, pendingSlot);
    wait.onSlotRequested();
    slotNumber = pendingSlot.requestNumber;
  }

  /** Stops the item without a result. Returns whether it was running on an engine. */
  synchronized boolean stop() {
    done = true;
    boolean onEngine = attempt != null;
    if (onEngine) {
      cancelAttempt(RunEnd.How.CANCELLED);
    } else if (slotUnused) {
      returnSlot(slotNumber);
    } else if (slotNumber != 0) {
      ports.slots().withdrawRequest(slotNumber);
    }
    return onEngine;
  }

  private void returnSlot(long number) {
    ports.slots().endRun(number, RunEnd.of(RunEnd.How.NOT_SENT));
  }

  /** Returns whether the slot is the first that is granted for its request. */
  private synchronized boolean handleGrant(
      PendingSlot pendingSlot, UpstreamId engine, Duration slotWait) {
    if (pendingSlot.granted) {
      LOG.write(Event.SLOT_GRANTED_TWICE, item.getId(), engine);
      return false;
    }
    pendingSlot.granted = true;
    waited = waited.plus(slotWait);
    slotUnused |= pendingSlot.requestNumber == slotNumber;
    if (slotUnused) {
      wait.onBlocked(WaitReason.RECORD_READ, Option.none(), ports.clock().instant());
    }
    return true;
  }

  /**
   * Sends the item to the engine of its slot. If that fails, the slot is returned: no answer and no
   * silence would end the attempt.
   */
  private synchronized void send(
      PendingSlot pendingSlot, UpstreamId engine, Option<SoftwareId> granted) {
    if (done || pendingSlot.requestNumber != slotNumber) {
      returnSlot(pendingSlot.requestNumber);
      return;
    }
    slotUnused = false;
    try {
      sendNow(pendingSlot, engine, granted);
    } catch (RuntimeException e) {
      if (attempt != null && attempt.call != null) {
        cancelAttempt(RunEnd.How.CANCELLED);
      } else {
        attempt = null;
        returnSlot(pendingSlot.requestNumber);
      }
      retryFailedStep(e);
    }
  }

  private void sendNow(PendingSlot pendingSlot, UpstreamId engine, Option<SoftwareId> granted) {
    Option<EngineEntry> entry =
        ports
            .engines()
            .findUsable(engine, pendingSlot.service)
            .filter(e -> homes.allow(e.condition().region()))
            .filter(e -> joined.eventCount() == 0 || granted.forAll(e.software()::equals));
    if (entry.isEmpty()) {
      returnSlot(pendingSlot.requestNumber);
      scheduleRetry(WaitReason.ENGINE_UNUSABLE);
      return;
    }
    if (joined.software().exists(s -> !s.equals(entry.get().software()))) {
      beginAnew(
          "engine %s of version %s goes on"
              .formatted(engine, entry.get().version().getOrElse("none")));
    }
    Deadline until = Deadline.after(ports.clock(), RUN_LIMIT).earlier(job.giveUpAt());
    attempt = new Attempt(pendingSlot.requestNumber, entry.get());
    Attempt sent = attempt;
    wait.onSent();
    sent.call =
        ports.calls().send(requests.engineRequest(sent.entry, sent.run.askedAfter(), until), sent);
    sent.silenceWatch.start(SILENCE_LIMIT);
  }

  /** Drops the events received so far, since no engine can go on with them. */
  private void beginAnew(String reason) {
    LOG.write(Event.ITEM_BEGINS_ANEW, item.getId(), job.id(), output.eventCount(), reason);
    output.clear();
    joined.clear();
  }

  private synchronized void handleRefusal(
      PendingSlot pendingSlot, RefusalCode code, Instant retryAt, String reason) {
    if (done || pendingSlot.requestNumber != slotNumber) {
      return;
    }
    if (job.giveUpAt().isPast(ports.clock().instant())) {
      finish(false, "");
      return;
    }
    wait.onRefusal(
        new ItemWait.LastRefusal(code, reason, ports.slots().coordinator(), Deadline.at(retryAt)));
    if (code == RefusalCode.QUARANTINED) {
      scheduleRetry(QUARANTINE_RETRY_DELAY, WaitReason.QUARANTINED);
    } else {
      scheduleRetry(WaitReason.SLOT_REFUSED);
    }
  }

  /**
   * Requests another slot after the present one was preempted. The yield may arrive before the
   * grant of the slot.
   */
  private synchronized void handleYield(PendingSlot pendingSlot) {
    if (done || pendingSlot.requestNumber != slotNumber) {
      return;
    }
    if (attempt != null) {
      cancelAttempt(RunEnd.How.CANCELLED);
    }
    yields++;
    slotUnused = false;
    requestSlot();
  }

  private void cancelAttempt(RunEnd.How outcomeKind) {
    Attempt cancelledAttempt = attempt;
    attempt = null;
    slotNumber = 0;
    cancelledAttempt.releaseSlot(outcomeKind);
    cancelledAttempt.call.cancel();
  }

  private void scheduleRetry(WaitReason reason) {
    scheduleRetry(RETRY_DELAY, reason);
  }

  private void scheduleRetry(Duration delay, WaitReason reason) {
    Instant now = ports.clock().instant();
    wait.onBlocked(reason, Option.some(Deadline.at(now.plus(delay))), now);
    slotNumber = 0;
    ports.timer().schedule(this::requestSlot, delay.toNanos(), TimeUnit.NANOSECONDS);
  }

  private void finish(boolean completed, String text) {
    done = true;
    slotNumber = 0;
    Instant now = ports.clock().instant();
    wait.onResult(now);
    if (job.due().isPast(now)) {
      LOG.write(
          Event.ITEM_LATE,
          item.getId(),
          job.id(),
          Duration.between(job.due().at(), now).toMillis(),
          waited.toMillis(),
          yields,
          moves,
          failures);
    }
    ports.timer().execute(() -> listener.onResult(this, completed, text));
  }

  private void recordFailure(String reason) {
    failures++;
    LOG.write(Event.ITEM_FAILED, item.getId(), job.id(), reason, failures, job.maxAttempts());
    if (failures >= job.maxAttempts()) {
      finish(false, "");
    } else {
      scheduleRetry(WaitReason.RUN_FAILED);
    }
  }

  /** Receives the decision about one request for a slot. */
  private final class PendingSlot implements SlotListener {
    private final ServiceName service;
    private volatile long requestNumber;
    private boolean granted;

    PendingSlot(ServiceName service) {
      this.service = service;
    }

    @Override
    public void onGrant(UpstreamId engine, Option<SoftwareId> software, Duration slotWait) {
      if (handleGrant(this, engine, slotWait)) {
        job.whenOpen(() -> send(this, engine, software));
      }
    }

    @Override
    public void onRefusal(RefusalCode code, Instant retryAt, String reason) {
      handleRefusal(this, code, retryAt, reason);
    }

    @Override
    public void onYield() {
      handleYield(this);
    }
  }

  /** One attempt to run the item on an engine. */
  private final class Attempt implements EngineListener {
    private final long requestNumber;
    private final Instant sentAt = ports.clock().instant();
    private final StreamRun run;
    private final ServerSentEventParser parser = new ServerSentEventParser();
    private final EngineEntry entry;
    private final UpstreamId engine;
    private StreamCall call;
    private EngineAnswer head;
    private Instant firstEventAt;
    private Instant lastActivityAt = sentAt;
    private int receivedEvents;
    private boolean endedOutOfPlace;
    private boolean slotReleased;
    private final SilenceWatch silenceWatch =
        new SilenceWatch(
            ports.clock(),
            ports.timer(),
            action -> call.afterPendingInput(action),
            this::onSilence);

    Attempt(long requestNumber, EngineEntry entry) {
      this.requestNumber = requestNumber;
      this.entry = entry;
      this.engine = entry.id();
      this.run = joined.beginRun(entry.software());
    }

    void releaseSlot(RunEnd.How outcomeKind) {
      if (slotReleased) {
        return;
      }
      slotReleased = true;
      wait.onAttemptEnded(outcomeKind, ports.clock().instant());
      silenceWatch.stop();
      LOG.write(
          Event.ITEM_RUN_ENDED,
          item.getId(),
          job.id(),
          engine,
          outcomeKind,
          connection(),
          Duration.between(sentAt, ports.clock().instant()).toMillis(),
          receivedEvents,
          planVersion,
          run);
      Duration first =
          firstEventAt == null ? Duration.ZERO : Duration.between(sentAt, firstEventAt);
      RunEnd end = new RunEnd(outcomeKind, first, meanGap(), output.eventCount());
      ports.slots().endRun(requestNumber, end, entry.boot());
    }

    private String connection() {
      return call.connection().map(ConnectionUse::toString).getOrElse("none");
    }

    private Duration meanGap() {
      return receivedEvents < 2
          ? Duration.ZERO
          : Duration.between(firstEventAt, lastActivityAt).dividedBy(receivedEvents - 1);
    }

    private void onSilence() {
      synchronized (ItemRun.this) {
        if (!slotReleased && attempt == this) {
          ports.calls().reportSilence(entry);
          moveToAnotherEngine(RunEnd.How.ENGINE_LOST, "silent");
        }
      }
    }

    private void moveToAnotherEngine(RunEnd.How outcomeKind, String reason) {
      boolean inVain = firstEventAt == null || endedOutOfPlace;
      boolean mayRecur = outcomeKind == RunEnd.How.ENGINE_BROKE_OFF || endedOutOfPlace;
      LOG.write(
          Event.ITEM_MOVED,
          item.getId(),
          job.id(),
          engine,
          reason,
          joined.lastEventId().getOrElse(0L));
      if (outcomeKind != RunEnd.How.NOT_SENT) {
        failedOn.add(engine);
      }
      moves++;
      losses = inVain ? losses + 1 : 0;
      breaks = inVain ? breaks + (mayRecur ? 1 : 0) : 0;
      cancelAttempt(outcomeKind);
      if (mayRecur && breaks >= 2) {
        int doublings = Math.min(breaks - 2, MAX_DOUBLINGS);
        scheduleRetry(CRASH_RETRY_DELAY.multipliedBy(1L << doublings), WaitReason.RUNS_BROKEN_OFF);
      } else if (losses >= 2) {
        scheduleRetry(WaitReason.RUNS_BROKEN_OFF);
      } else {
        requestSlot();
      }
    }

    @Override
    public void onHead(EngineAnswer answer) {
      synchronized (ItemRun.this) {
        if (slotReleased || attempt != this) {
          return;
        }
        head = answer;
        lastActivityAt = ports.clock().instant();
        silenceWatch.recordActivity(SILENCE_LIMIT);
        switch (answer.verdict()) {
          case FULL, REFUSED -> {
            cancelAttempt(RunEnd.How.ENGINE_FULL);
            scheduleRetry(WaitReason.ENGINE_REFUSED);
          }
          case OTHER_ENGINE -> {
            cancelAttempt(RunEnd.How.ENGINE_WRONG);
            scheduleRetry(WaitReason.ENGINE_REFUSED);
          }
          case MISMATCHED ->
              moveToAnotherEngine(RunEnd.How.ENGINE_LOST, "sent the answer to another request");
          default -> ports.slots().reportAnswer(requestNumber);
        }
      }
    }

    @Override
    public void onBytes(byte[] bytes) {
      synchronized (ItemRun.this) {
        if (!slotReleased && head != null && head.isSuccess()) {
          parser.parse(bytes).forEach(this::onEvent);
          parser.malformation().forEach(this::onMalformation);
        }
      }
    }

    private void onEvent(ServerSentEventParser.ServerSentEvent event) {
      if (slotReleased) {
        return;
      }
      lastActivityAt = ports.clock().instant();
      firstEventAt = firstEventAt == null ? lastActivityAt : firstEventAt;
      receivedEvents++;
      silenceWatch.recordActivity(SILENCE_LIMIT);
      Option<OutOfPlace> outOfPlace = run.append(event);
      if (outOfPlace.isDefined()) {
        onEventOutOfPlace(event, outOfPlace.get());
      } else if (!event.isBlank()) {
        output.add(event.data());
        endIfTooLarge();
      }
    }

    /** Ends the item once its result can no longer be stored, be the engine's output endless. */
    private void endIfTooLarge() {
      int limit = ports.store().maxValueBytes();
      if (output.bytes() > limit) {
        LOG.write(Event.JOB_RESULT_TOO_LARGE, item.getId(), job.id(), output.bytes(), limit);
        cancelAttempt(RunEnd.How.CANCELLED);
        finish(false, "");
      }
    }

    private void onMalformation(String sent) {
      if (!slotReleased) {
        moveToAnotherEngine(RunEnd.How.ENGINE_LOST, "it sent " + sent);
      }
    }

    private void onEventOutOfPlace(
        ServerSentEventParser.ServerSentEvent event, OutOfPlace outOfPlace) {
      LOG.write(
          Event.EVENT_OUT_OF_PLACE,
          engine,
          event.id(),
          item.getId(),
          outOfPlace,
          connection(),
          run);
      if (attempt != this) {
        releaseSlot(RunEnd.How.CANCELLED);
        call.cancel();
        return;
      }
      if (!run.hasAppended()) {
        beginAnew("engine " + engine + " did not go on where it was asked to");
      }
      endedOutOfPlace = true;
      moveToAnotherEngine(RunEnd.How.ENGINE_LOST, "event out of place: " + outOfPlace);
    }

    private static RunEnd.How outcomeOf(CallFailure failure) {
      if (failure.connectionRefused()) {
        return RunEnd.How.CONNECTION_REFUSED;
      }
      return switch (failure.kind()) {
        case LOST -> RunEnd.How.ENGINE_BROKE_OFF;
        case OUT_OF_REACH -> RunEnd.How.NOT_SENT;
        case LINK_LOST -> RunEnd.How.CANCELLED;
        default -> RunEnd.How.ENGINE_LOST;
      };
    }

    @Override
    public void onEnd(Option<CallFailure> failure) {
      synchronized (ItemRun.this) {
        if (slotReleased || attempt != this) {
          return;
        }
        if (failure.isDefined()) {
          moveToAnotherEngine(outcomeOf(failure.get()), failure.get().message());
          return;
        }
        boolean success = head.isSuccess();
        Option<String> streamBreak = success ? StreamEnd.findBreak(head, parser) : Option.none();
        if (streamBreak.isDefined()) {
          moveToAnotherEngine(RunEnd.How.ENGINE_BROKE_OFF, streamBreak.get());
          return;
        }
        attempt = null;
        slotNumber = 0;
        releaseSlot(success ? RunEnd.How.WHOLE : RunEnd.How.ENGINE_FAILED);
        if (success) {
          ports.times().recordCompleted(output.eventCount(), meanGap());
          finish(true, output.text());
        } else if (head.status() == UNPROCESSABLE) {
          LOG.write(Event.ITEM_REFUSED, item.getId(), job.id(), engine);
          finish(false, "");
        } else if (head.status() == SERVER_ERROR) {
          failedOn.add(engine);
          recordFailure("engine " + engine + " answered with status " + head.status());
        } else {
          scheduleRetry(WaitReason.RUN_FAILED);
        }
      }
    }
  }
}
