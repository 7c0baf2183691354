package org.waxwingcourse.node.dispatch;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.vavr.control.Either;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.InstantSource;
import java.util.HashSet;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;
import org.waxwingcourse.http.CallFailure;
import org.waxwingcourse.http.HttpAnswer;
import org.waxwingcourse.model.event.Event;
import org.waxwingcourse.model.event.EventLog;
import org.waxwingcourse.model.fleet.Engine;
import org.waxwingcourse.model.id.FencingNumber;
import org.waxwingcourse.model.id.HostId;
import org.waxwingcourse.model.id.ModelName;
import org.waxwingcourse.model.id.UpstreamId;
import org.waxwingcourse.policy.lease.ClockDrift;
import org.waxwingcourse.policy.order.OrderRight;
import org.waxwingcourse.store.Lease;
import org.waxwingcourse.store.Store;
import org.waxwingcourse.store.Transaction;
import org.waxwingcourse.store.WriteOutcome;
import org.waxwingcourse.upstream.engine.EngineClient;

/**
 * Orders engines to load the models that are declared for them. The store is accessed only if an
 * engine lacks a model: the owner of the engine then creates the entry whose revision is the
 * fencing number.
 */
final class ModelReconciler {
  private static final EventLog LOG = EventLog.of(ModelReconciler.class);
  private static final ObjectMapper MAPPER = new ObjectMapper();
  private static final String KEY_PREFIX = "/waxwing/engines/";
  private static final Duration LEASE_TTL = Duration.ofSeconds(15);
  private static final Duration MAX_ORDER_TRANSIT_TIME = Duration.ofSeconds(2);
  private static final String LOAD_MODEL = "load_model";

  private final Store store;
  private final EngineClient client;
  private final HostId self;
  private final InstantSource clock;
  private final ConcurrentMap<UpstreamId, OrderRight> rights = new ConcurrentHashMap<>();

  ModelReconciler(Store store, EngineClient client, HostId self, InstantSource clock) {
    this.store = store;
    this.client = client;
    this.self = self;
    this.clock = clock;
  }

  /** The JSON body of an order. */
  private record Order(long fencing, String kind, String target) {}

  /** Compares the served models with the declared ones and orders the engine to load the rest. */
  void reconcile(Engine engine) {
    client
        .models(engine)
        .thenAccept(answer -> answer.peek(a -> orderModels(engine, missingModels(engine, a))));
  }

  private static Set<ModelName> missingModels(Engine engine, HttpAnswer answer) {
    Set<ModelName> missingModels = new HashSet<>(answer.isSuccess() ? engine.models() : Set.of());
    try {
      for (JsonNode model : MAPPER.readTree(answer.body()).path("data")) {
        missingModels.removeIf(name -> name.value().equals(model.path("id").asText()));
      }
      return missingModels;
    } catch (IOException e) {
      return Set.of();
    }
  }

  private void orderModels(Engine engine, Set<ModelName> missingModels) {
    if (missingModels.isEmpty()) {
      return;
    }
    OrderRight right = rights.get(engine.id());
    if (right == null || right.until().isPast(clock.instant().plus(MAX_ORDER_TRANSIT_TIME))) {
      acquireRight(engine.id());
    } else if (right.allows(clock.instant(), engine.checksFencing(), MAX_ORDER_TRANSIT_TIME)) {
      missingModels.forEach(model -> sendOrder(engine, right, model));
    }
  }

  private void acquireRight(UpstreamId engine) {
    store
        .grantLease(LEASE_TTL)
        .thenAccept(granted -> granted.peek(l -> createOwnerEntry(engine, l)));
  }

  private void createOwnerEntry(UpstreamId engine, Lease lease) {
    String key = KEY_PREFIX + engine;
    byte[] owner = self.value().getBytes(StandardCharsets.UTF_8);
    store
        .write(Transaction.builder().absent(key).put(key, owner, lease.id()).build())
        .thenAccept(outcome -> onOwnerEntryWritten(engine, lease, outcome));
  }

  private void onOwnerEntryWritten(UpstreamId engine, Lease lease, WriteOutcome outcome) {
    if (outcome instanceof WriteOutcome.Done done) {
      rights.put(
          engine,
          OrderRight.of(
              FencingNumber.of(done.revision().value()),
              clock.instant(),
              lease.deadline(),
              LEASE_TTL,
              ClockDrift.FLEET,
              MAX_ORDER_TRANSIT_TIME));
    } else if (outcome instanceof WriteOutcome.Lost) {
      store.revokeLease(lease.id());
    }
  }

  private void sendOrder(Engine engine, OrderRight right, ModelName model) {
    client
        .order(engine, toJson(new Order(right.number().value(), LOAD_MODEL, model.value())))
        .thenAccept(answer -> onOrderAnswered(engine, model, answer));
  }

  private void onOrderAnswered(
      Engine engine, ModelName model, Either<CallFailure, HttpAnswer> answer) {
    if (answer.exists(HttpAnswer::isSuccess)) {
      LOG.write(Event.ENGINE_ORDERED, engine.id(), model);
    } else {
      rights.remove(engine.id());
    }
  }

  private static String toJson(Order order) {
    try {
      return MAPPER.writeValueAsString(order);
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("order cannot be written as JSON", e);
    }
  }
}
