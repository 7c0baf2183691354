package org.waxwingcourse.store.etcd;

import io.vavr.control.Either;
import java.net.URI;
import java.time.Duration;
import java.time.InstantSource;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import org.waxwingcourse.http.CallFailure;
import org.waxwingcourse.http.HttpAnswer;
import org.waxwingcourse.http.HttpCaller;
import org.waxwingcourse.http.HttpRequest;
import org.waxwingcourse.http.StreamCall;
import org.waxwingcourse.http.StreamListener;
import org.waxwingcourse.model.event.Event;
import org.waxwingcourse.model.event.EventLog;
import org.waxwingcourse.model.time.Deadline;

/**
 * Sends calls to the store's addresses. A call goes to the next address only when nothing was sent
 * to the one before, so it reaches the store at most once.
 */
final class EtcdGateway {
  private static final EventLog LOG = EventLog.of(EtcdGateway.class);

  private final HttpCaller http;
  private final InstantSource clock;
  private final EtcdOptions options;
  private final AtomicInteger preferred = new AtomicInteger();
  private final AtomicBoolean reached = new AtomicBoolean(true);

  EtcdGateway(HttpCaller http, InstantSource clock, EtcdOptions options) {
    this.http = http;
    this.clock = clock;
    this.options = options;
  }

  CompletableFuture<Either<CallFailure, HttpAnswer>> call(String path, Object message) {
    Deadline deadline = Deadline.after(clock, options.callTimeout());
    String json = EtcdJson.write(message);
    return attempt(path, json, deadline, preferred.get(), options.addresses().size());
  }

  StreamCall stream(String path, Object message, Duration length, StreamListener listener) {
    Deadline deadline = Deadline.after(clock, length);
    URI uri = address(preferred.get()).resolve(path);
    HttpRequest request = HttpRequest.postJson(uri, EtcdJson.write(message), deadline);
    return http.stream(request.onFreshConnection(), listener);
  }

  /** Makes later calls begin with another address. */
  void leave(CallFailure failure) {
    int index = preferred.getAndIncrement();
    if (reached.compareAndSet(true, false)) {
      LOG.write(Event.STORE_UNREACHABLE, address(index), failure.message());
    }
  }

  private CompletableFuture<Either<CallFailure, HttpAnswer>> attempt(
      String path, String json, Deadline deadline, int index, int left) {
    HttpRequest request = HttpRequest.postJson(address(index).resolve(path), json, deadline);
    return http.call(request)
        .thenCompose(
            answer -> {
              if (answer.isRight()) {
                noteReached(index);
                return CompletableFuture.completedFuture(answer);
              }
              leave(answer.getLeft());
              if (answer.getLeft().kind() != CallFailure.Kind.NOT_SENT || left <= 1) {
                return CompletableFuture.completedFuture(answer);
              }
              return attempt(path, json, deadline, index + 1, left - 1);
            });
  }

  private void noteReached(int index) {
    if (reached.compareAndSet(false, true)) {
      LOG.write(Event.STORE_REACHED, address(index));
    }
  }

  private URI address(int index) {
    return options.addresses().get(Math.floorMod(index, options.addresses().size()));
  }
}
