package org.waxwingcourse.fleet.job.protocol;

import io.vavr.collection.List;
import io.vavr.control.Option;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;
import java.util.Queue;
import java.util.function.BiPredicate;
import java.util.function.Function;

/**
 * All states that a model can reach, found by breadth-first search, so that the trace to a
 * violation is as short as possible.
 *
 * @param <S> states, compared by value
 */
final class StateSpace<S> {
  /** A step of a model and the state after it. */
  record Step<S>(String name, S after) {}

  /** The state and step from which a state was first reached. */
  private record Origin<S>(S before, String step) {}

  private final Map<S, Origin<S>> origins = new HashMap<>();
  private Option<List<String>> violation = Option.none();

  /**
   * Visits all states that can be reached from {@code first}, or stops at the first step that
   * {@code allowed} rejects.
   */
  static <S> StateSpace<S> search(
      S first, Function<S, List<Step<S>>> steps, BiPredicate<S, S> allowed) {
    StateSpace<S> space = new StateSpace<>();
    Queue<S> queue = new ArrayDeque<>();
    space.origins.put(first, new Origin<>(null, "start"));
    queue.add(first);
    while (!queue.isEmpty() && space.violation.isEmpty()) {
      S state = queue.remove();
      for (Step<S> step : steps.apply(state)) {
        if (!allowed.test(state, step.after())) {
          space.violation = Option.some(space.trace(state).append(step.name()));
          break;
        }
        if (space.origins.putIfAbsent(step.after(), new Origin<>(state, step.name())) == null) {
          queue.add(step.after());
        }
      }
    }
    return space;
  }

  int size() {
    return origins.size();
  }

  Option<List<String>> violation() {
    return violation;
  }

  private List<String> trace(S last) {
    List<String> trace = List.empty();
    for (S state = last; origins.get(state).before() != null; ) {
      Origin<S> origin = origins.get(state);
      trace = trace.prepend(origin.step());
      state = origin.before();
    }
    return trace;
  }
}
