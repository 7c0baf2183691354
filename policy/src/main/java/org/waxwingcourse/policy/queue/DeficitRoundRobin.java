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
 * Deficit round robin (Shreedhar and Varghese) between organisations. Each organisation with
 * waiting work is visited in turn, is granted a quantum of tokens, and sends requests as long as
 * its credit covers them, so each gets the same share of tokens whatever it sends. A request's
 * length is known only afterwards: it is charged by the organisation's mean and set right when it
 * ends. Fair queueing by virtual time shares more smoothly but costs a sorted queue; first come,
 * first served gives the whole engine to whoever sends most.
 *
 * <p>Not safe for use by several threads; the queue that holds it has the lock.
 */
final class DeficitRoundRobin {
  private static final double QUANTUM_TOKENS = 256;
  private static final double MAX_DEBT_TOKENS = 4 * QUANTUM_TOKENS;
  private static final double MEAN_WEIGHT = 0.1;

  private final Map<OrganisationId, Flow> flows = new HashMap<>();
  private final Deque<Flow> active = new ArrayDeque<>();
  private int size;

  void add(Ticket ticket) {
    flow(ticket).waiting.addLast(ticket);
    activate(ticket);
  }

  void addFirst(Ticket ticket) {
    flow(ticket).waiting.addFirst(ticket);
    activate(ticket);
  }

  /** Takes the next request of those organisations that may send one. */
  Option<Ticket> poll(Predicate<OrganisationId> allowed) {
    int passedOver = 0;
    while (passedOver < active.size()) {
      Flow flow = active.peekFirst();
      if (!allowed.test(flow.waiting.peekFirst().organisation())) {
        passedOver++;
        active.addLast(active.removeFirst());
        continue;
      }
      passedOver = 0;
      if (!flow.visited) {
        flow.visited = true;
        flow.credit += QUANTUM_TOKENS;
      }
      if (flow.credit >= flow.mean) {
        return Option.some(take(flow));
      }
      flow.visited = false;
      active.addLast(active.removeFirst());
    }
    return Option.none();
  }

  /** Sets the charge of a request right once its length is known. */
  void settle(OrganisationId organisation, int tokens) {
    Flow flow = flows.get(organisation);
    if (flow != null) {
      flow.credit = Math.max(-MAX_DEBT_TOKENS, flow.credit + flow.mean - tokens);
      flow.mean += MEAN_WEIGHT * (tokens - flow.mean);
    }
  }

  /** Returns how many requests are served before a new one of the organisation, at most. */
  int ahead(OrganisationId organisation) {
    Flow own = flows.get(organisation);
    int mine = own == null ? 0 : own.waiting.size();
    int sum = mine;
    for (Flow flow : active) {
      if (flow != own) {
        sum += Math.min(flow.waiting.size(), mine + 1);
      }
    }
    return sum;
  }

  List<Ticket> removeIf(Predicate<Ticket> condition) {
    List<Ticket> removed = new ArrayList<>();
    for (Iterator<Flow> it = active.iterator(); it.hasNext(); ) {
      Flow flow = it.next();
      flow.waiting.removeIf(ticket -> condition.test(ticket) && removed.add(ticket));
      if (flow.waiting.isEmpty()) {
        flow.leave();
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

  private Ticket take(Flow flow) {
    Ticket ticket = flow.waiting.removeFirst();
    flow.credit -= flow.mean;
    size--;
    if (flow.waiting.isEmpty()) {
      active.removeFirst();
      flow.leave();
    }
    return ticket;
  }

  private Flow flow(Ticket ticket) {
    return flows.computeIfAbsent(ticket.organisation(), o -> new Flow());
  }

  private void activate(Ticket ticket) {
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
    private double mean = QUANTUM_TOKENS;
    private boolean active;
    private boolean visited;

    private void leave() {
      active = false;
      visited = false;
      credit = Math.min(0, credit);
    }
  }
}
