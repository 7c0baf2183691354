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
 * Orders engines to load the models that are declared for them. Only an engine that lacks one costs
 * the store anything: its owner then creates the entry that carries the fencing number.
 */
final class EngineOrders {
  private static final EventLog LOG = EventLog.of(EngineOrders.class);
  private static final ObjectMapper MAPPER = new ObjectMapper();
  private static final String PREFIX = "/waxwing/engines/";
  private static final Duration LEASE_TIME = Duration.ofSeconds(15);
  private static final Duration FLIGHT = Duration.ofSeconds(2);
  private static final String LOAD_MODEL = "load_model";

  private final Store store;
  private final EngineClient client;
  private final HostId self;
  private final InstantSource clock;
  private final ConcurrentMap<UpstreamId, OrderRight> rights = new ConcurrentHashMap<>();

  EngineOrders(Store store, EngineClient client, HostId self, InstantSource clock) {
    this.store = store;
    this.client = client;
    this.self = self;
    this.clock = clock;
  }

  /** The body of an order. */
  private record Order(long fencing, String kind, String target) {}

  /** Compares what the engine serves with what is declared, and orders what it lacks. */
  void reconcile(Engine engine) {
    client.models(engine).thenAccept(answer -> answer.peek(a -> order(engine, lacking(engine, a))));
  }

  private static Set<ModelName> lacking(Engine engine, HttpAnswer answer) {
    Set<ModelName> lacking = new HashSet<>(answer.isSuccess() ? engine.models() : Set.of());
    try {
      for (JsonNode model : MAPPER.readTree(answer.body()).path("data")) {
        lacking.removeIf(name -> name.value().equals(model.path("id").asText()));
      }
      return lacking;
    } catch (IOException e) {
      return Set.of();
    }
  }

  private void order(Engine engine, Set<ModelName> lacking) {
    if (lacking.isEmpty()) {
      return;
    }
    OrderRight right = rights.get(engine.id());
    if (right == null || right.until().isPast(clock.instant().plus(FLIGHT))) {
      acquire(engine.id());
    } else if (right.allows(clock.instant(), engine.checksFencing(), FLIGHT)) {
      lacking.forEach(model -> send(engine, right, model));
    }
  }

  private void acquire(UpstreamId engine) {
    store.grantLease(LEASE_TIME).thenAccept(granted -> granted.peek(l -> create(engine, l)));
  }

  private void create(UpstreamId engine, Lease lease) {
    String key = PREFIX + engine;
    byte[] owner = self.value().getBytes(StandardCharsets.UTF_8);
    store
        .write(Transaction.builder().absent(key).put(key, owner, lease.id()).build())
        .thenAccept(outcome -> acquired(engine, lease, outcome));
  }

  private void acquired(UpstreamId engine, Lease lease, WriteOutcome outcome) {
    if (outcome instanceof WriteOutcome.Done done) {
      rights.put(
          engine,
          OrderRight.of(
              FencingNumber.of(done.revision().value()),
              clock.instant(),
              lease.deadline(),
              LEASE_TIME,
              ClockDrift.FLEET,
              FLIGHT));
    } else if (outcome instanceof WriteOutcome.Lost) {
      store.revokeLease(lease.id());
    }
  }

  private void send(Engine engine, OrderRight right, ModelName model) {
    client
        .order(engine, write(new Order(right.number().value(), LOAD_MODEL, model.value())))
        .thenAccept(answer -> ordered(engine, model, answer));
  }

  private void ordered(Engine engine, ModelName model, Either<CallFailure, HttpAnswer> answer) {
    if (answer.exists(HttpAnswer::isSuccess)) {
      LOG.write(Event.ENGINE_ORDERED, engine.id(), model);
    } else {
      rights.remove(engine.id());
    }
  }

  private static String write(Order order) {
    try {
      return MAPPER.writeValueAsString(order);
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("an order is always JSON", e);
    }
  }
}
