package org.waxwingcourse.policy.queue;

import io.vavr.control.Option;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import org.waxwingcourse.model.id.OrganisationId;
import org.waxwingcourse.model.id.RequestId;

/**
 * Queue of tickets that is served by deficit round robin (Shreedhar and Varghese) between
 * organisations. Each organisation with waiting requests is visited in turn, receives a quantum of
 * tokens as credit, and sends requests while its credit covers them. Each organisation thus gets
 * the same share of tokens, whatever requests it sends. The length of a request is known only when
 * it ends, so a request is first charged the organisation's mean length and the charge is corrected
 * afterwards. Fair queueing by virtual time divides the engine more smoothly but requires a sorted
 * queue. First come, first served would give the whole engine to the organisation that sends the
 * most requests.
 *
 * <p>Not thread-safe; guarded by the lock of the queue that contains it.
 */
final class FairTicketQueue {
  private static final double QUANTUM_TOKENS = 256;
  private static final double MAX_DEBT_TOKENS = 4 * QUANTUM_TOKENS;
  private static final double MEAN_SMOOTHING = 0.1;

  private final Map<OrganisationId, Flow> flows = new HashMap<>();
  private final Deque<Flow> active = new ArrayDeque<>();
  private int size;

  void add(Ticket ticket) {
    flow(ticket).waiting.addLast(ticket);
    markActive(ticket);
  }

  void addFirst(Ticket ticket) {
    flow(ticket).waiting.addFirst(ticket);
    markActive(ticket);
  }

  /** Removes and returns the next request of an organisation that may send one. */
  Option<Ticket> poll(Predicate<OrganisationId> allowed) {
    int skipped = 0;
    while (skipped < active.size()) {
      Flow flow = active.peekFirst();
      if (!allowed.test(flow.waiting.peekFirst().organisation())) {
        skipped++;
        active.addLast(active.removeFirst());
        continue;
      }
      skipped = 0;
      if (!flow.visited) {
        flow.visited = true;
        flow.credit += QUANTUM_TOKENS;
      }
      if (flow.credit >= flow.meanTokens) {
        return Option.some(removeHead(flow));
      }
      flow.visited = false;
      active.addLast(active.removeFirst());
    }
    return Option.none();
  }

  /** Corrects the charge of a request after its length has become known. */
  void correctCharge(OrganisationId organisation, int tokens) {
    Flow flow = flows.get(organisation);
    if (flow != null) {
      flow.credit = Math.max(-MAX_DEBT_TOKENS, flow.credit + flow.meanTokens - tokens);
      flow.meanTokens += MEAN_SMOOTHING * (tokens - flow.meanTokens);
    }
  }

  /**
   * Returns the maximum number of requests that are served before a new request of the
   * organisation.
   */
  int maxServedBefore(OrganisationId organisation) {
    Flow own = flows.get(organisation);
    int ownWaiting = own == null ? 0 : own.waiting.size();
    int servedBefore = ownWaiting;
    for (Flow flow : active) {
      if (flow != own) {
        servedBefore += Math.min(flow.waiting.size(), ownWaiting + 1);
      }
    }
    return servedBefore;
  }

  List<Ticket> removeIf(Predicate<Ticket> condition) {
    List<Ticket> removed = new ArrayList<>();
    for (Iterator<Flow> it = active.iterator(); it.hasNext(); ) {
      Flow flow = it.next();
      flow.waiting.removeIf(ticket -> condition.test(ticket) && removed.add(ticket));
      if (flow.waiting.isEmpty()) {
        flow.deactivate();
        it.remove();
      }
    }
    size -= removed.size();
    return removed;
  }

  boolean remove(RequestId id) {
    return !removeIf(ticket -> ticket.id().equals(id)).isEmpty();
  }

  int size() {
    return size;
  }

  private Ticket removeHead(Flow flow) {
    Ticket ticket = flow.waiting.removeFirst();
    flow.credit -= flow.meanTokens;
    size--;
    if (flow.waiting.isEmpty()) {
      active.removeFirst();
      flow.deactivate();
    }
    return ticket;
  }

  private Flow flow(Ticket ticket) {
    return flows.computeIfAbsent(ticket.organisation(), o -> new Flow());
  }

  private void markActive(Ticket ticket) {
    Flow flow = flow(ticket);
    size++;
    if (!flow.active) {
      flow.active = true;
      active.addLast(flow);
    }
  }

  /** One organisation's waiting requests and its credit in tokens. */
  private static final class Flow {
    private final Deque<Ticket> waiting = new ArrayDeque<>();
    private double credit;
    private double meanTokens = QUANTUM_TOKENS;
    private boolean active;
    private boolean visited;

    private void deactivate() {
      active = false;
      visited = false;
      credit = Math.min(0, credit);
    }
  }
}
