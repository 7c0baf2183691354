package org.waxwingcourse.policy.queue;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/**
 * An engine with continuous batching: each step gives every stream a token, takes longer the more
 * streams there are, and prefills a bounded number of prompt tokens.
 */
final class SimEngine {
  private static final double BASE_MILLIS = 20;
  private static final double STREAM_MILLIS = 0.5;
  private static final double PREFILL_MILLIS = 0.05;
  private static final int PREFILL_CHUNK = 256;

  private final Simulation simulation;
  private final Consumer<SimRequest> onToken;
  private final Consumer<SimRequest> onEnd;
  private final Map<String, SimRequest> streams = new LinkedHashMap<>();
  private boolean stepping;
  private double slowdown = 1;

  SimEngine(Simulation simulation, Consumer<SimRequest> onToken, Consumer<SimRequest> onEnd) {
    this.simulation = simulation;
    this.onToken = onToken;
    this.onEnd = onEnd;
  }

  void start(SimRequest request) {
    streams.put(request.id, request);
    if (!stepping) {
      step();
    }
  }

  /** Cancels a stream; a later start resumes it and prefills {@code prefill} tokens again. */
  void cancel(String id, int prefill) {
    SimRequest request = streams.remove(id);
    if (request != null) {
      request.promptLeft = Math.max(request.promptLeft, prefill);
    }
  }

  void slowDown(double factor) {
    slowdown = factor;
  }

  int streams() {
    return streams.size();
  }

  private void step() {
    stepping = !streams.isEmpty();
    if (!stepping) {
      return;
    }
    List<SimRequest> ready = new ArrayList<>();
    int budget = PREFILL_CHUNK;
    for (SimRequest request : streams.values()) {
      int part = Math.min(budget, request.promptLeft);
      request.promptLeft -= part;
      budget -= part;
      if (request.promptLeft == 0) {
        ready.add(request);
      }
    }
    double prefill = (PREFILL_CHUNK - budget) * PREFILL_MILLIS;
    double millis = (BASE_MILLIS + STREAM_MILLIS * streams.size() + prefill) * slowdown;
    simulation.after(millis, () -> finish(ready));
  }

  private void finish(List<SimRequest> ready) {
    for (SimRequest request : ready) {
      if (streams.get(request.id) == request) {
        request.tokens++;
        onToken.accept(request);
        if (request.tokens == request.wanted) {
          streams.remove(request.id);
          onEnd.accept(request);
        }
      }
    }
    step();
  }
}
