package org.waxwingcourse.policy.queue;

import io.vavr.control.Option;
import java.util.ArrayList;
import java.util.List;
import org.waxwingcourse.model.id.RequestId;
import org.waxwingcourse.model.request.Refusal;

/**
 * What the holder of a queue has to do after a change.
 *
 * @param start requests to send to the engine now
 * @param yield batch streams to cancel now; they are started again later
 * @param refuse requests that get their final answer now
 */
public record Actions(List<RequestId> start, List<RequestId> yield, List<Refused> refuse) {
  /** Copies the lists. */
  public Actions {
    start = List.copyOf(start);
    yield = List.copyOf(yield);
    refuse = List.copyOf(refuse);
  }

  /**
   * A request that is not run.
   *
   * @param id the request
   * @param refusal why, and when to come back
   */
  public record Refused(RequestId id, Refusal refusal) {}

  /** Tells whether there is nothing to do. */
  public boolean isEmpty() {
    return start.isEmpty() && yield.isEmpty() && refuse.isEmpty();
  }

  /** Returns why the request is refused, if it is. */
  public Option<Refusal> refusalOf(RequestId id) {
    return io.vavr.collection.List.ofAll(refuse).find(r -> r.id().equals(id)).map(Refused::refusal);
  }

  /** Collects actions. */
  static final class Builder {
    private final List<RequestId> start = new ArrayList<>();
    private final List<RequestId> yield = new ArrayList<>();
    private final List<Refused> refuse = new ArrayList<>();

    void start(RequestId id) {
      start.add(id);
    }

    void yield(RequestId id) {
      yield.add(id);
    }

    void refuse(RequestId id, Refusal refusal) {
      refuse.add(new Refused(id, refusal));
    }

    Actions build() {
      return new Actions(start, yield, refuse);
    }
  }
}
