package org.waxwingcourse.policy.queue;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/**
 * A simulated engine with continuous batching. Each step generates a token for every stream whose
 * prompt has been prefilled and prefills a bounded number of prompt tokens. The duration of a step
 * increases with the number of streams.
 */
final class SimEngine {
  private static final double BASE_STEP_MILLIS = 20;
  private static final double MILLIS_PER_STREAM = 0.5;
  private static final double MILLIS_PER_PREFILL_TOKEN = 0.05;
  private static final int MAX_PREFILL_TOKENS_PER_STEP = 256;

  private final EventSimulation simulation;
  private final Consumer<SimRequest> onToken;
  private final Consumer<SimRequest> onEnd;
  private final Map<String, SimRequest> streams = new LinkedHashMap<>();
  private boolean stepping;
  private double slowdown = 1;

  SimEngine(EventSimulation simulation, Consumer<SimRequest> onToken, Consumer<SimRequest> onEnd) {
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
      request.promptTokensLeft = Math.max(request.promptTokensLeft, prefill);
    }
  }

  void setSlowdown(double newSlowdown) {
    slowdown = newSlowdown;
  }

  int streams() {
    return streams.size();
  }

  private void step() {
    stepping = !streams.isEmpty();
    if (!stepping) {
      return;
    }
    List<SimRequest> generating = new ArrayList<>();
    int budget = MAX_PREFILL_TOKENS_PER_STEP;
    for (SimRequest request : streams.values()) {
      int prefilled = Math.min(budget, request.promptTokensLeft);
      request.promptTokensLeft -= prefilled;
      budget -= prefilled;
      if (request.promptTokensLeft == 0) {
        generating.add(request);
      }
    }
    double prefill = (MAX_PREFILL_TOKENS_PER_STEP - budget) * MILLIS_PER_PREFILL_TOKEN;
    double millis = (BASE_STEP_MILLIS + MILLIS_PER_STREAM * streams.size() + prefill) * slowdown;
    simulation.schedule(millis, () -> finishStep(generating));
  }

  private void finishStep(List<SimRequest> generating) {
    for (SimRequest request : generating) {
      if (streams.get(request.id) == request) {
        request.generatedTokens++;
        onToken.accept(request);
        if (request.generatedTokens == request.completionTokens) {
          streams.remove(request.id);
          onEnd.accept(request);
        }
      }
    }
    step();
  }
}
