package org.waxwingcourse.policy.queue;

import io.vavr.control.Option;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.waxwingcourse.model.id.OrganisationId;
import org.waxwingcourse.model.id.RequestId;
import org.waxwingcourse.model.request.Refusal;
import org.waxwingcourse.model.request.RefusalCode;

/**
 * The queue of one engine, kept by the engine's owner. Engines accept all requests and support no
 * priorities, so requests are queued here and the engine runs no more streams than it has slots.
 * Online requests always start before batch requests, and an online request that finds no free slot
 * preempts a batch stream immediately. Within each class organisations are served by deficit round
 * robin. A request that cannot start before its deadline is rejected on arrival with a retry time.
 *
 * <p>Thread-safe; each queue has one lock. The caller performs the returned actions outside the
 * lock.
 */
public final class EngineQueue {
  private final InstantSource clock;
  private final FairTicketQueue online = new FairTicketQueue();
  private final FairTicketQueue batch = new FairTicketQueue();
  private final Map<RequestId, Running> running = new LinkedHashMap<>();
  private final Map<RequestId, Ticket> stopping = new HashMap<>();
  private final DrainRate drainRate = new DrainRate();
  private final SlotShares shares = new SlotShares();
  private final Headroom headroom;
  private final Option<Integer> fixedStreamLimit;
  private QueueLimits limits;
  private int onlineRunning;

  private EngineQueue(QueueLimits limits, InstantSource clock, Option<Integer> fixedStreamLimit) {
    this.limits = limits;
    this.clock = clock;
    this.fixedStreamLimit = fixedStreamLimit;
    this.headroom = new Headroom(limits.slots(), clock.instant());
  }

  /** Returns an empty queue. */
  public static EngineQueue of(QueueLimits limits, InstantSource clock) {
    return new EngineQueue(limits, clock, Option.none());
  }

  /**
   * Returns a queue in which batch streams start only while fewer than a fixed number of streams
   * run, if online streams are among them.
   */
  static EngineQueue withFixedStreamLimit(QueueLimits limits, InstantSource clock, int streams) {
    return new EngineQueue(limits, clock, Option.some(streams));
  }

  /** Enqueues a request or rejects it. */
  public synchronized Actions offer(Ticket ticket) {
    Actions.Builder actions = new Actions.Builder();
    if (accepts(ticket)) {
      queueOf(ticket).add(ticket);
    } else {
      actions.refuse(ticket.id(), overloadRefusal(ticket));
    }
    return startWaiting(actions);
  }

  /**
   * Records the final end of a request, whether it was running, waiting or being preempted.
   *
   * @param tokens number of tokens that it received
   */
  public synchronized Actions end(RequestId id, int tokens) {
    Running ended = running.get(id);
    if (ended != null) {
      release(ended);
      recordOccupancy(ended);
      queueOf(ended.ticket).correctCharge(ended.ticket.organisation(), tokens);
    }
    stopping.remove(id);
    online.remove(id);
    batch.remove(id);
    return startWaiting(new Actions.Builder());
  }

  /**
   * Records that a preempted batch stream has stopped, and puts it at the head of its
   * organisation's queue.
   */
  public synchronized Actions stopped(RequestId id) {
    Ticket ticket = stopping.remove(id);
    if (ticket != null) {
      batch.addFirst(ticket);
    }
    return startWaiting(new Actions.Builder());
  }

  /**
   * Rejects requests whose deadline for starting has passed. Must be called every few milliseconds.
   */
  public synchronized Actions tick() {
    Instant now = clock.instant();
    Actions.Builder actions = new Actions.Builder();
    for (FairTicketQueue queue : List.of(online, batch)) {
      queue
          .removeIf(ticket -> ticket.startBy().isPast(now))
          .forEach(ticket -> actions.refuse(ticket.id(), overloadRefusal(ticket)));
    }
    return startWaiting(actions);
  }

  /**
   * Records that a token of a running stream was received {@code millis} after the previous one.
   */
  public synchronized void observe(double millis) {
    headroom.observe(running.size() + stopping.size(), millis);
  }

  /** Applies new limits; running streams continue. */
  public synchronized Actions resize(QueueLimits newLimits) {
    limits = newLimits;
    return startWaiting(new Actions.Builder());
  }

  /** Returns the exact load. */
  public synchronized EngineLoad load() {
    int batchRunning = running.size() - onlineRunning;
    return new EngineLoad(limits.slots(), onlineRunning, batchRunning, online.size(), batch.size());
  }

  private boolean accepts(Ticket ticket) {
    if (!ticket.isOnline()) {
      return limits.batchEnabled() && batch.size() < limits.maxWaitingBatch();
    }
    OrganisationId organisation = ticket.organisation();
    boolean withinShare = shares.allows(organisation, limits.slots());
    int servedBefore = online.maxServedBefore(organisation);
    if (withinShare && servedBefore == 0 && onlineRunning < limits.slots()) {
      return true;
    }
    int availableSlots = withinShare ? limits.slots() : Math.max(1, shares.running(organisation));
    Instant start = clock.instant().plus(drainRate.waitFor(servedBefore + 1, availableSlots));
    return online.size() < limits.maxWaitingOnline() && !ticket.startBy().isPast(start);
  }

  private Actions startWaiting(Actions.Builder actions) {
    Instant now = clock.instant();
    Option<Ticket> next = nextOnline();
    while (next.isDefined()) {
      start(next.get(), now, actions);
      next = nextOnline();
    }
    headroom.recordOnlineStreams(onlineRunning, now);
    int streamLimit =
        onlineRunning == 0 ? limits.slots() : Math.min(limits.slots(), mixedStreamLimit());
    while (running.size() > Math.max(streamLimit, onlineRunning)) {
      preemptNewestBatch(actions);
    }
    while (running.size() + stopping.size() < streamLimit && batch.size() > 0) {
      batch.poll(o -> true).forEach(ticket -> start(ticket, now, actions));
    }
    return actions.build();
  }

  private Option<Ticket> nextOnline() {
    boolean free = onlineRunning < limits.slots();
    return free ? online.poll(o -> shares.allows(o, limits.slots())) : Option.none();
  }

  private int mixedStreamLimit() {
    return fixedStreamLimit.getOrElse(headroom::streamLimit);
  }

  private void start(Ticket ticket, Instant now, Actions.Builder actions) {
    running.put(ticket.id(), new Running(ticket, now));
    if (ticket.isOnline()) {
      onlineRunning++;
      shares.onStart(ticket.organisation(), now);
    }
    actions.start(ticket.id());
  }

  private void preemptNewestBatch(Actions.Builder actions) {
    Running newest =
        running.values().stream()
            .filter(r -> !r.ticket.isOnline())
            .max(Comparator.comparing(r -> r.startedAt))
            .orElseThrow();
    release(newest);
    stopping.put(newest.ticket.id(), newest.ticket);
    actions.yield(newest.ticket.id());
  }

  private void release(Running ended) {
    running.remove(ended.ticket.id());
    if (ended.ticket.isOnline()) {
      onlineRunning--;
      shares.onEnd(ended.ticket.organisation(), clock.instant());
    }
  }

  private void recordOccupancy(Running ended) {
    if (ended.ticket.isOnline()) {
      drainRate.recordFinished(Duration.between(ended.startedAt, clock.instant()));
    }
  }

  private FairTicketQueue queueOf(Ticket ticket) {
    return ticket.isOnline() ? online : batch;
  }

  private Refusal overloadRefusal(Ticket ticket) {
    OrganisationId organisation = ticket.organisation();
    String message =
        "the queue of the engine cannot start a request of organisation \""
            + organisation
            + "\" before its deadline";
    int servedBefore = queueOf(ticket).maxServedBefore(organisation);
    Instant retryAt = drainRate.retryAt(servedBefore, limits.slots(), clock.instant());
    return new Refusal(RefusalCode.OVERLOADED, message, retryAt);
  }

  /** A request that runs on the engine. */
  private record Running(Ticket ticket, Instant startedAt) {}
}
