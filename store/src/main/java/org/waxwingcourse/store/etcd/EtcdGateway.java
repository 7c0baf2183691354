package org.waxwingcourse.store.etcd;

import io.vavr.control.Either;
import java.net.URI;
import java.time.Duration;
import java.time.InstantSource;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import org.waxwingcourse.http.BufferedHttpResponse;
import org.waxwingcourse.http.CallFailure;
import org.waxwingcourse.http.HttpRequest;
import org.waxwingcourse.http.RatpackHttpClient;
import org.waxwingcourse.http.StreamCall;
import org.waxwingcourse.http.StreamListener;
import org.waxwingcourse.model.event.Event;
import org.waxwingcourse.model.event.EventLog;
import org.waxwingcourse.model.time.Deadline;

/**
 * Sends calls to the store's addresses. A call is sent to the next address only if nothing was sent
 * to the previous one, so it reaches the store at most once.
 */
final class EtcdGateway {
  private static final EventLog LOG = EventLog.of(EtcdGateway.class);

  private final RatpackHttpClient http;
  private final InstantSource clock;
  private final EtcdOptions options;
  private final AtomicInteger preferredIndex = new AtomicInteger();
  private final AtomicBoolean reachable = new AtomicBoolean(true);

  EtcdGateway(RatpackHttpClient http, InstantSource clock, EtcdOptions options) {
    this.http = http;
    this.clock = clock;
    this.options = options;
  }

  CompletableFuture<Either<CallFailure, BufferedHttpResponse>> call(String path, Object message) {
    Deadline deadline = Deadline.after(clock, options.callTimeout());
    String json = EtcdJson.write(message);
    return callAddress(path, json, deadline, preferredIndex.get(), options.addresses().size());
  }

  StreamCall stream(String path, Object message, Duration timeLimit, StreamListener listener) {
    Deadline deadline = Deadline.after(clock, timeLimit);
    URI uri = address(preferredIndex.get()).resolve(path);
    HttpRequest request = HttpRequest.postJson(uri, EtcdJson.write(message), deadline);
    return http.stream(request.onNewConnection(), listener);
  }

  /** Makes later calls start with the next address after a failure. */
  void switchAddress(CallFailure failure) {
    int index = preferredIndex.getAndIncrement();
    if (reachable.compareAndSet(true, false)) {
      LOG.write(Event.STORE_UNREACHABLE, address(index), failure.message());
    }
  }

  private CompletableFuture<Either<CallFailure, BufferedHttpResponse>> callAddress(
      String path, String json, Deadline deadline, int index, int attemptsLeft) {
    HttpRequest request = HttpRequest.postJson(address(index).resolve(path), json, deadline);
    return http.call(request)
        .thenCompose(
            answer -> {
              if (answer.isRight()) {
                logReached(index);
                return CompletableFuture.completedFuture(answer);
              }
              switchAddress(answer.getLeft());
              if (answer.getLeft().kind() != CallFailure.Kind.NOT_SENT || attemptsLeft <= 1) {
                return CompletableFuture.completedFuture(answer);
              }
              return callAddress(path, json, deadline, index + 1, attemptsLeft - 1);
            });
  }

  private void logReached(int index) {
    if (reachable.compareAndSet(false, true)) {
      LOG.write(Event.STORE_REACHED, address(index));
    }
  }

  private URI address(int index) {
    return options.addresses().get(Math.floorMod(index, options.addresses().size()));
  }
}
