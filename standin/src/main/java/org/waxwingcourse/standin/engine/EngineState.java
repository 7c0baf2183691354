package org.waxwingcourse.standin.engine;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** The models, accepted orders, runs by request id and received headers of an engine. */
final class EngineState {
  private static final int MAX_HEADERS = 20_000;

  private final List<String> initialModels;
  private final boolean checksFencing;
  private final Set<String> models = new LinkedHashSet<>();
  private final List<EngineOrder> orders = new ArrayList<>();
  private final Map<String, Integer> runs = new LinkedHashMap<>();
  private final Set<ReceivedHeader> headers = new LinkedHashSet<>();
  private long highestFencing;

  EngineState(List<String> models, boolean checksFencing) {
    this.initialModels = models;
    this.checksFencing = checksFencing;
    this.models.addAll(models);
  }

  /** A request header that the engine has received. */
  record ReceivedHeader(String name, String value) {}

  /** The number of runs of one request. */
  record RunCount(String requestId, int runs) {}

  synchronized boolean serves(String model) {
    return models.contains(model);
  }

  synchronized String firstModel() {
    return models.isEmpty() ? "" : models.iterator().next();
  }

  synchronized List<String> models() {
    return List.copyOf(models);
  }

  /** Returns whether the order was accepted; an old fencing number may lead to a rejection. */
  synchronized boolean acceptOrder(EngineOrder order) {
    if (checksFencing && order.fencing() < highestFencing) {
      return false;
    }
    highestFencing = Math.max(highestFencing, order.fencing());
    orders.add(order);
    if (EngineOrder.LOAD_MODEL.equals(order.kind())) {
      models.add(order.target());
    } else if (EngineOrder.UNLOAD_MODEL.equals(order.kind())) {
      models.remove(order.target());
    }
    return true;
  }

  synchronized List<EngineOrder> orders() {
    return List.copyOf(orders);
  }

  synchronized void countRun(String requestId) {
    runs.merge(requestId, 1, Integer::sum);
  }

  synchronized List<RunCount> runCounts() {
    return runs.entrySet().stream()
        .map(entry -> new RunCount(entry.getKey(), entry.getValue()))
        .toList();
  }

  synchronized void recordHeader(String name, Collection<String> values) {
    for (String value : values) {
      headers.add(new ReceivedHeader(name, value));
      if (headers.size() > MAX_HEADERS) {
        headers.remove(headers.iterator().next());
      }
    }
  }

  synchronized List<ReceivedHeader> headers() {
    return List.copyOf(headers);
  }

  /**
   * Resets models and orders, as an engine does when it restarts. Run counts and headers are kept
   * because tests check them across restarts.
   */
  synchronized void resetForRestart() {
    models.clear();
    models.addAll(initialModels);
    orders.clear();
    highestFencing = 0;
  }
}
