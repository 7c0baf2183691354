package org.waxwingcourse.standin.platform;

import io.vavr.control.Either;
import java.time.Duration;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Consumer;
import java.util.function.Function;
import org.waxwingcourse.model.id.Revision;
import org.waxwingcourse.standin.store.MemoryStore;
import org.waxwingcourse.standin.store.StoreFaults;
import org.waxwingcourse.standin.web.JsonExchange;
import org.waxwingcourse.standin.web.OpenConnections;
import org.waxwingcourse.standin.web.PushStream;
import org.waxwingcourse.store.Entry;
import org.waxwingcourse.store.KeyRange;
import org.waxwingcourse.store.Lease;
import org.waxwingcourse.store.LeaseId;
import org.waxwingcourse.store.Snapshot;
import org.waxwingcourse.store.StoreFailure;
import org.waxwingcourse.store.Watch;
import org.waxwingcourse.store.WatchListener;
import org.waxwingcourse.store.WriteOutcome;
import org.waxwingcourse.store.etcd.EtcdJson;
import org.waxwingcourse.store.etcd.EtcdMessages;
import ratpack.exec.Promise;
import ratpack.handling.Chain;
import ratpack.handling.Context;
import ratpack.http.ResponseChunks;

/** Serves a memory store over the JSON API of etcd's gRPC gateway. */
final class EtcdGateway {
  private static final int GRPC_INVALID_ARGUMENT = 3;
  private static final int GRPC_NOT_FOUND = 5;
  private static final int GRPC_RESOURCE_EXHAUSTED = 8;
  private static final int STATUS_BAD_REQUEST = 400;
  private static final int STATUS_NOT_FOUND = 404;
  private static final int STATUS_TOO_MANY_REQUESTS = 429;

  private final MemoryStore store;
  private final InstantSource clock;

  EtcdGateway(MemoryStore store, InstantSource clock) {
    this.store = store;
    this.clock = clock;
  }

  void registerHandlers(Chain chain) throws Exception {
    chain
        .post(
            "v3/kv/range",
            ctx -> parseBody(ctx, EtcdMessages.RangeRequest.class, this::handleRange))
        .post("v3/kv/txn", ctx -> parseBody(ctx, EtcdMessages.TxnRequest.class, this::handleTxn))
        .post(
            "v3/lease/grant",
            ctx -> parseBody(ctx, EtcdMessages.LeaseGrantRequest.class, this::handleLeaseGrant))
        .post(
            "v3/lease/keepalive",
            ctx -> parseBody(ctx, EtcdMessages.LeaseIdRequest.class, this::handleLeaseKeepAlive))
        .post(
            "v3/lease/revoke",
            ctx -> parseBody(ctx, EtcdMessages.LeaseIdRequest.class, this::handleLeaseRevoke))
        .post(
            "v3/watch", ctx -> parseBody(ctx, EtcdMessages.WatchRequest.class, this::handleWatch));
  }

  /** Handles a parsed request of one type. */
  private interface RequestHandler<T> {
    void handle(Context ctx, T request);
  }

  private <T> void parseBody(Context ctx, Class<T> type, RequestHandler<T> handler) {
    ctx.getRequest()
        .getBody()
        .then(
            body ->
                EtcdJson.read(body.getBytes(), type)
                    .peek(request -> handler.handle(ctx, request))
                    .peekLeft(message -> sendError(ctx, STATUS_BAD_REQUEST, message)));
  }

  private void handleRange(Context ctx, EtcdMessages.RangeRequest request) {
    KeyRange range = rangeOf(request.key(), request.rangeEnd());
    respond(ctx, store.read(range), EtcdGateway::messageOf);
  }

  private void handleTxn(Context ctx, EtcdMessages.TxnRequest request) {
    TxnCodec.decode(request)
        .peekLeft(message -> sendError(ctx, STATUS_BAD_REQUEST, message))
        .peek(
            transaction ->
                whenComplete(
                    store.write(transaction), outcome -> sendWriteOutcome(ctx, request, outcome)));
  }

  private void sendWriteOutcome(
      Context ctx, EtcdMessages.TxnRequest request, WriteOutcome outcome) {
    if (outcome instanceof WriteOutcome.Done done) {
      send(ctx, TxnCodec.encodeSuccess(done));
    } else if (outcome instanceof WriteOutcome.Lost lost) {
      send(ctx, TxnCodec.encodeFailure(lost, request.failure()));
    } else if (outcome instanceof WriteOutcome.NotSent notSent) {
      sendFailure(ctx, notSent.failure());
    } else if (isSilent()) {
      JsonExchange.neverRespond();
    } else {
      OpenConnections.reset(ctx);
    }
  }

  private void handleLeaseGrant(Context ctx, EtcdMessages.LeaseGrantRequest request) {
    respond(
        ctx,
        store.grantLease(Duration.ofSeconds(request.ttl())),
        lease -> new EtcdMessages.LeaseResponse(null, lease.id().value(), request.ttl()));
  }

  private void handleLeaseKeepAlive(Context ctx, EtcdMessages.LeaseIdRequest request) {
    whenComplete(
        store.renewLease(LeaseId.of(request.id())),
        result -> {
          if (result.isLeft() && result.getLeft().kind() == StoreFailure.Kind.LEASE_GONE) {
            var expired = new EtcdMessages.LeaseResponse(null, request.id(), 0);
            send(ctx, new EtcdMessages.LeaseKeepAliveFrame(expired));
          } else {
            sendResult(ctx, result, l -> new EtcdMessages.LeaseKeepAliveFrame(messageOf(l)));
          }
        });
  }

  private void handleLeaseRevoke(Context ctx, EtcdMessages.LeaseIdRequest request) {
    respond(
        ctx,
        store.revokeLease(LeaseId.of(request.id())),
        lease -> new EtcdMessages.LeaseResponse(null, 0, 0));
  }

  private void handleWatch(Context ctx, EtcdMessages.WatchRequest request) {
    EtcdMessages.WatchCreate create = request.createRequest();
    KeyRange range = rangeOf(create.key(), create.rangeEnd());
    Revision after = Revision.of(Math.max(0, create.startRevision() - 1));
    AtomicReference<Watch> opened = new AtomicReference<>();
    PushStream stream =
        PushStream.create(
            ctx,
            () -> {
              Watch watch = opened.get();
              if (watch != null) {
                watch.close();
              }
            });
    if (store.faults().outage() == StoreFaults.Outage.REFUSING) {
      OpenConnections.reset(ctx);
      return;
    }
    if (!isSilent()) {
      stream.push(encodeFrame(new EtcdMessages.WatchResponse(null, true, false, 0, null)));
    }
    opened.set(store.watch(range, after, new StreamingListener(stream)));
    ctx.render(ResponseChunks.bufferChunks("application/json", stream));
  }

  /** Writes the changes of a watch to its response stream. */
  private record StreamingListener(PushStream stream) implements WatchListener {
    @Override
    public void onChanges(Revision revision, List<Entry> puts, List<String> deletes) {
      List<EtcdMessages.WatchEvent> events = new ArrayList<>();
      for (Entry put : puts) {
        events.add(new EtcdMessages.WatchEvent(null, EtcdJson.messageOf(put)));
      }
      for (String key : deletes) {
        var kv = new EtcdMessages.KeyValue(EtcdJson.bytesOf(key), 0, revision.value(), null, 0);
        events.add(new EtcdMessages.WatchEvent(EtcdMessages.EVENT_DELETE, kv));
      }
      EtcdMessages.Header header = TxnCodec.headerOf(revision);
      stream.push(encodeFrame(new EtcdMessages.WatchResponse(header, false, false, 0, events)));
    }

    @Override
    public void onBroken(StoreFailure failure) {
      stream.push(encodeFrame(new EtcdMessages.WatchResponse(null, false, true, 0, null)));
      stream.complete();
    }
  }

  private <T> void respond(
      Context ctx, CompletableFuture<Either<StoreFailure, T>> future, Function<T, Object> encoder) {
    whenComplete(future, result -> sendResult(ctx, result, encoder));
  }

  private <T> void sendResult(
      Context ctx, Either<StoreFailure, T> result, Function<T, Object> encoder) {
    result
        .peekLeft(failure -> sendFailure(ctx, failure))
        .peek(value -> send(ctx, encoder.apply(value)));
  }

  private void sendFailure(Context ctx, StoreFailure failure) {
    switch (failure.kind()) {
      case RATE_LIMITED -> sendError(ctx, STATUS_TOO_MANY_REQUESTS, failure.message());
      case LEASE_GONE -> sendError(ctx, STATUS_NOT_FOUND, failure.message());
      case REFUSED -> sendError(ctx, STATUS_BAD_REQUEST, failure.message());
      default -> {
        if (isSilent()) {
          JsonExchange.neverRespond();
        } else {
          OpenConnections.reset(ctx);
        }
      }
    }
  }

  private boolean isSilent() {
    return store.faults().outage() == StoreFaults.Outage.SILENT;
  }

  private EtcdMessages.LeaseResponse messageOf(Lease lease) {
    Duration remaining = lease.deadline().remaining(clock.instant());
    long seconds = Math.max(1, (remaining.toMillis() + 999) / 1000);
    return new EtcdMessages.LeaseResponse(null, lease.id().value(), seconds);
  }

  private static Object messageOf(Snapshot snapshot) {
    List<EtcdMessages.KeyValue> kvs = snapshot.entries().stream().map(EtcdJson::messageOf).toList();
    return new EtcdMessages.RangeResponse(TxnCodec.headerOf(snapshot.revision()), kvs);
  }

  private static KeyRange rangeOf(byte[] key, byte[] rangeEnd) {
    String text = EtcdJson.keyOf(key);
    return rangeEnd == null ? KeyRange.ofKey(text) : KeyRange.ofPrefix(text);
  }

  private static <T> void whenComplete(CompletableFuture<T> future, Consumer<T> action) {
    Promise.<T>async(downstream -> downstream.accept(future)).then(action::accept);
  }

  private static void send(Context ctx, Object message) {
    JsonExchange.sendJson(ctx, 200, EtcdJson.write(message));
  }

  private static void sendError(Context ctx, int status, String message) {
    int code =
        switch (status) {
          case STATUS_TOO_MANY_REQUESTS -> GRPC_RESOURCE_EXHAUSTED;
          case STATUS_NOT_FOUND -> GRPC_NOT_FOUND;
          default -> GRPC_INVALID_ARGUMENT;
        };
    var error = new EtcdMessages.ErrorMessage(message, code, message);
    JsonExchange.sendJson(ctx, status, EtcdJson.write(error));
  }

  private static String encodeFrame(EtcdMessages.WatchResponse response) {
    return EtcdJson.write(new EtcdMessages.WatchFrame(response)) + "\n";
  }
}
