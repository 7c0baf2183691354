package org.waxwingcourse.standin.engine;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** What an engine has been told and seen: models, orders, runs by request id, headers. */
final class EngineRecords {
  private static final int MAX_HEADERS = 20_000;

  private final List<String> firstModels;
  private final boolean checksFencing;
  private final Set<String> models = new LinkedHashSet<>();
  private final List<EngineOrder> orders = new ArrayList<>();
  private final Map<String, Integer> runs = new LinkedHashMap<>();
  private final Set<SeenHeader> headers = new LinkedHashSet<>();
  private long highestFencing;

  EngineRecords(List<String> models, boolean checksFencing) {
    this.firstModels = models;
    this.checksFencing = checksFencing;
    this.models.addAll(models);
  }

  /** A header that some caller has sent. */
  record SeenHeader(String name, String value) {}

  /** How often a request has been run. */
  record RunCount(String requestId, int runs) {}

  synchronized boolean serves(String model) {
    return models.contains(model);
  }

  synchronized String anyModel() {
    return models.isEmpty() ? "" : models.iterator().next();
  }

  synchronized List<String> models() {
    return List.copyOf(models);
  }

  /** Returns whether the order was taken; one with an old fencing number may be refused. */
  synchronized boolean take(EngineOrder order) {
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

  synchronized List<RunCount> runs() {
    return runs.entrySet().stream()
        .map(entry -> new RunCount(entry.getKey(), entry.getValue()))
        .toList();
  }

  synchronized void see(String name, Collection<String> values) {
    for (String value : values) {
      headers.add(new SeenHeader(name, value));
      if (headers.size() > MAX_HEADERS) {
        headers.remove(headers.iterator().next());
      }
    }
  }

  synchronized List<SeenHeader> headers() {
    return List.copyOf(headers);
  }

  /** Forgets models and orders as a restarted engine does; the judge's counts stay. */
  synchronized void restart() {
    models.clear();
    models.addAll(firstModels);
    orders.clear();
    highestFencing = 0;
  }
}
