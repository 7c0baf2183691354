package org.waxwingcourse.policy.queue;

import io.vavr.control.Option;
import java.util.ArrayList;
import java.util.List;
import org.waxwingcourse.model.id.RequestId;
import org.waxwingcourse.model.request.Refusal;

/**
 * The actions that the owner of a queue must perform after a change of the queue.
 *
 * @param start requests to send to the engine
 * @param yield batch streams to preempt; they are started again later
 * @param refuse requests to reject
 */
public record Actions(List<RequestId> start, List<RequestId> yield, List<Rejection> refuse) {
  /** Copies the lists. */
  public Actions {
    start = List.copyOf(start);
    yield = List.copyOf(yield);
    refuse = List.copyOf(refuse);
  }

  /**
   * A rejected request.
   *
   * @param id the request
   * @param refusal the reason and the time of a retry
   */
  public record Rejection(RequestId id, Refusal refusal) {}

  /** Returns whether there are no actions. */
  public boolean isEmpty() {
    return start.isEmpty() && yield.isEmpty() && refuse.isEmpty();
  }

  /** Returns the refusal of the request, or none if it is not rejected. */
  public Option<Refusal> refusalOf(RequestId id) {
    return io.vavr.collection.List.ofAll(refuse)
        .find(r -> r.id().equals(id))
        .map(Rejection::refusal);
  }

  /** Collects actions. */
  static final class Builder {
    private final List<RequestId> start = new ArrayList<>();
    private final List<RequestId> yield = new ArrayList<>();
    private final List<Rejection> refuse = new ArrayList<>();

    void start(RequestId id) {
      start.add(id);
    }

    void yield(RequestId id) {
      yield.add(id);
    }

    void refuse(RequestId id, Refusal refusal) {
      refuse.add(new Rejection(id, refusal));
    }

    Actions build() {
      return new Actions(start, yield, refuse);
    }
  }
}
