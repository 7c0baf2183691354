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
 * The queue of one engine, held by its owner. Engines admit what comes and know no priority, so the
 * queue stands on this side and the engine is given no more streams than it has slots. Online
 * starts before batch, always; an online request that finds no slot takes one from batch at once.
 * Inside each class organisations share by deficit round robin. What cannot start in time is
 * refused when it comes, with a time to come back.
 *
 * <p>Safe for use by several threads: one lock for each queue. The actions returned are carried out
 * by the caller, outside the lock.
 */
public final class EngineQueue {
  private final InstantSource clock;
  private final DeficitRoundRobin online = new DeficitRoundRobin();
  private final DeficitRoundRobin batch = new DeficitRoundRobin();
  private final Map<RequestId, Running> running = new LinkedHashMap<>();
  private final Map<RequestId, Ticket> yielding = new HashMap<>();
  private final DrainRate drain = new DrainRate();
  private final SlotShares shares = new SlotShares();
  private final Headroom headroom;
  private final Option<Integer> fixedRoom;
  private QueueLimits limits;
  private int onlineRunning;

  private EngineQueue(QueueLimits limits, InstantSource clock, Option<Integer> fixedRoom) {
    this.limits = limits;
    this.clock = clock;
    this.fixedRoom = fixedRoom;
    this.headroom = new Headroom(limits.slots(), clock.instant());
  }

  /** Returns an empty queue. */
  public static EngineQueue of(QueueLimits limits, InstantSource clock) {
    return new EngineQueue(limits, clock, Option.none());
  }

  /** Returns a queue that lets batch fill up to a fixed number of streams beside online work. */
  static EngineQueue ofFixedRoom(QueueLimits limits, InstantSource clock, int streams) {
    return new EngineQueue(limits, clock, Option.some(streams));
  }

  /** Takes a request in, or refuses it. */
  public synchronized Actions offer(Ticket ticket) {
    Actions.Builder actions = new Actions.Builder();
    if (accepts(ticket)) {
      queueOf(ticket).add(ticket);
    } else {
      actions.refuse(ticket.id(), overloaded(ticket));
    }
    return fill(actions);
  }

  /**
   * A request has ended for good, whether it ran, waited or was yielding.
   *
   * @param tokens the tokens that it was given
   */
  public synchronized Actions end(RequestId id, int tokens) {
    Running ended = running.get(id);
    if (ended != null) {
      release(ended);
      drain(ended);
      queueOf(ended.ticket).settle(ended.ticket.organisation(), tokens);
    }
    yielding.remove(id);
    online.remove(id);
    batch.remove(id);
    return fill(new Actions.Builder());
  }

  /** A batch stream that was told to yield has stopped; it waits at the head of its line. */
  public synchronized Actions stopped(RequestId id) {
    Ticket ticket = yielding.remove(id);
    if (ticket != null) {
      batch.addFirst(ticket);
    }
    return fill(new Actions.Builder());
  }

  /** Refuses what can no longer start in time. Called every few milliseconds. */
  public synchronized Actions tick() {
    Instant now = clock.instant();
    Actions.Builder actions = new Actions.Builder();
    for (DeficitRoundRobin queue : List.of(online, batch)) {
      queue
          .removeIf(ticket -> ticket.startBy().isPast(now))
          .forEach(ticket -> actions.refuse(ticket.id(), overloaded(ticket)));
    }
    return fill(actions);
  }

  /** A token of a running stream came {@code millis} after the one before. */
  public synchronized void observe(double millis) {
    headroom.observe(running.size() + yielding.size(), millis);
  }

  /** Takes new limits into use; what runs goes on. */
  public synchronized Actions resize(QueueLimits newLimits) {
    limits = newLimits;
    return fill(new Actions.Builder());
  }

  /** Returns the exact load. */
  public synchronized EngineLoad load() {
    int batchRunning = running.size() - onlineRunning;
    return new EngineLoad(limits.slots(), onlineRunning, batchRunning, online.size(), batch.size());
  }

  private boolean accepts(Ticket ticket) {
    if (!ticket.isOnline()) {
      return limits.batchOn() && batch.size() < limits.maxBatch();
    }
    OrganisationId organisation = ticket.organisation();
    boolean allowed = shares.allows(organisation, limits.slots());
    int ahead = online.ahead(organisation);
    if (allowed && ahead == 0 && onlineRunning < limits.slots()) {
      return true;
    }
    int servers = allowed ? limits.slots() : Math.max(1, shares.running(organisation));
    Instant start = clock.instant().plus(drain.waitFor(ahead + 1, servers));
    return online.size() < limits.maxOnline() && !ticket.startBy().isPast(start);
  }

  private Actions fill(Actions.Builder actions) {
    Instant now = clock.instant();
    Option<Ticket> next = nextOnline();
    while (next.isDefined()) {
      start(next.get(), now, actions);
      next = nextOnline();
    }
    headroom.onlineIs(onlineRunning, now);
    int most = onlineRunning == 0 ? limits.slots() : Math.min(limits.slots(), room());
    while (running.size() > Math.max(most, onlineRunning)) {
      yieldOne(actions);
    }
    while (running.size() + yielding.size() < most && batch.size() > 0) {
      batch.poll(o -> true).forEach(ticket -> start(ticket, now, actions));
    }
    return actions.build();
  }

  private Option<Ticket> nextOnline() {
    boolean free = onlineRunning < limits.slots();
    return free ? online.poll(o -> shares.allows(o, limits.slots())) : Option.none();
  }

  private int room() {
    return fixedRoom.getOrElse(headroom::streams);
  }

  private void start(Ticket ticket, Instant now, Actions.Builder actions) {
    running.put(ticket.id(), new Running(ticket, now));
    if (ticket.isOnline()) {
      onlineRunning++;
      shares.started(ticket.organisation(), now);
    }
    actions.start(ticket.id());
  }

  private void yieldOne(Actions.Builder actions) {
    Running last =
        running.values().stream()
            .filter(r -> !r.ticket.isOnline())
            .max(Comparator.comparing(r -> r.since))
            .orElseThrow();
    release(last);
    yielding.put(last.ticket.id(), last.ticket);
    actions.yield(last.ticket.id());
  }

  private void release(Running ended) {
    running.remove(ended.ticket.id());
    if (ended.ticket.isOnline()) {
      onlineRunning--;
      shares.ended(ended.ticket.organisation(), clock.instant());
    }
  }

  private void drain(Running ended) {
    if (ended.ticket.isOnline()) {
      drain.finished(Duration.between(ended.since, clock.instant()));
    }
  }

  private DeficitRoundRobin queueOf(Ticket ticket) {
    return ticket.isOnline() ? online : batch;
  }

  private Refusal overloaded(Ticket ticket) {
    OrganisationId organisation = ticket.organisation();
    String message =
        "queue of the engine has no place in time for organisation \"" + organisation + "\"";
    int ahead = queueOf(ticket).ahead(organisation);
    Instant retryAt = drain.retryAt(ahead, limits.slots(), clock.instant());
    return new Refusal(RefusalCode.OVERLOADED, message, retryAt);
  }

  /** A request on the engine. */
  private record Running(Ticket ticket, Instant since) {}
}
