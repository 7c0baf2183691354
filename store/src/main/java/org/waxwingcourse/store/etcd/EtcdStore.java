package org.waxwingcourse.store.etcd;

import io.vavr.control.Either;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Function;
import org.waxwingcourse.http.BufferedHttpResponse;
import org.waxwingcourse.http.CallFailure;
import org.waxwingcourse.http.RatpackHttpClient;
import org.waxwingcourse.model.id.Revision;
import org.waxwingcourse.model.service.Service;
import org.waxwingcourse.model.time.Deadline;
import org.waxwingcourse.store.Entry;
import org.waxwingcourse.store.KeyRange;
import org.waxwingcourse.store.Lease;
import org.waxwingcourse.store.LeaseId;
import org.waxwingcourse.store.Snapshot;
import org.waxwingcourse.store.Store;
import org.waxwingcourse.store.StoreFailure;
import org.waxwingcourse.store.Transaction;
import org.waxwingcourse.store.Watch;
import org.waxwingcourse.store.WatchListener;
import org.waxwingcourse.store.WriteOutcome;

/**
 * A {@link Store} client for etcd's JSON gateway.
 *
 * <p>A write without a response is {@link WriteOutcome.Unknown} unless no connection was made. The
 * store rejects a call (rate limit, malformed request, unknown lease) before it applies any part of
 * it. A lease's deadline is computed from the local clock's reading before the request is sent, so
 * it is never later than the store's own deadline.
 */
public final class EtcdStore implements Store, Service {
  private static final int STATUS_BAD_REQUEST = 400;
  private static final int STATUS_NOT_FOUND = 404;
  private static final int STATUS_TOO_MANY_REQUESTS = 429;

  private final EtcdGateway gateway;
  private final InstantSource clock;
  private final EtcdOptions options;
  private final Set<EtcdWatch> watches = ConcurrentHashMap.newKeySet();

  private EtcdStore(RatpackHttpClient http, InstantSource clock, EtcdOptions options) {
    this.gateway = new EtcdGateway(http, clock, options);
    this.clock = clock;
    this.options = options;
  }

  /**
   * Returns a store that sends its calls through {@code http}, which the caller starts and stops.
   */
  public static EtcdStore of(RatpackHttpClient http, InstantSource clock, EtcdOptions options) {
    return new EtcdStore(http, clock, options);
  }

  @Override
  public void start() {}

  @Override
  public void stop() {
    watches.forEach(EtcdWatch::close);
  }

  @Override
  public CompletableFuture<Either<StoreFailure, Snapshot>> read(KeyRange range) {
    var request =
        new EtcdMessages.RangeRequest(EtcdJson.bytesOf(range.key()), EtcdJson.rangeEndOf(range));
    return callAndConvert(
        "/v3/kv/range", request, EtcdMessages.RangeResponse.class, EtcdStore::snapshotOf);
  }

  @Override
  public CompletableFuture<WriteOutcome> write(Transaction transaction) {
    return gateway
        .call("/v3/kv/txn", TransactionCodec.messageOf(transaction))
        .thenApply(answer -> answer.fold(EtcdStore::outcomeOfFailure, EtcdStore::outcomeOf));
  }

  @Override
  public CompletableFuture<Either<StoreFailure, Lease>> grantLease(Duration timeToLive) {
    Instant sentAt = clock.instant();
    var request = new EtcdMessages.LeaseGrantRequest(timeToLive.toSeconds());
    return callAndConvert(
            "/v3/lease/grant",
            request,
            EtcdMessages.LeaseResponse.class,
            answer -> leaseOf(sentAt, answer))
        .thenApply(answer -> answer.flatMap(Function.identity()));
  }

  @Override
  public CompletableFuture<Either<StoreFailure, Lease>> renewLease(LeaseId lease) {
    Instant sentAt = clock.instant();
    var request = new EtcdMessages.LeaseIdRequest(lease.value());
    return callAndConvert(
            "/v3/lease/keepalive",
            request,
            EtcdMessages.LeaseKeepAliveFrame.class,
            frame -> leaseOf(sentAt, frame.result()))
        .thenApply(answer -> answer.flatMap(Function.identity()));
  }

  @Override
  public CompletableFuture<Either<StoreFailure, LeaseId>> revokeLease(LeaseId lease) {
    var request = new EtcdMessages.LeaseIdRequest(lease.value());
    return callAndConvert(
        "/v3/lease/revoke", request, EtcdMessages.LeaseResponse.class, revoked -> lease);
  }

  @Override
  public Watch watch(KeyRange range, Revision after, WatchListener listener) {
    EtcdWatch watch = new EtcdWatch(gateway, options, range, after, listener, watches::remove);
    watches.add(watch);
    watch.open();
    return watch;
  }

  static StoreFailure failureOf(BufferedHttpResponse response) {
    String text =
        EtcdJson.read(response.body(), EtcdMessages.ErrorMessage.class)
            .fold(unreadable -> response.bodyText(), EtcdMessages.ErrorMessage::message);
    String message = "status " + response.status() + ": " + text;
    return switch (response.status()) {
      case STATUS_TOO_MANY_REQUESTS -> new StoreFailure(StoreFailure.Kind.RATE_LIMITED, message);
      case STATUS_BAD_REQUEST -> new StoreFailure(StoreFailure.Kind.REFUSED, message);
      case STATUS_NOT_FOUND -> new StoreFailure(StoreFailure.Kind.LEASE_GONE, message);
      default -> new StoreFailure(StoreFailure.Kind.UNREACHABLE, message);
    };
  }

  static StoreFailure failureOf(CallFailure failure) {
    return new StoreFailure(StoreFailure.Kind.UNREACHABLE, failure.message());
  }

  private <M, T> CompletableFuture<Either<StoreFailure, T>> callAndConvert(
      String path, Object request, Class<M> type, Function<M, T> conversion) {
    Function<BufferedHttpResponse, Either<StoreFailure, T>> convertAnswer =
        response ->
            response.isSuccess()
                ? EtcdJson.read(response.body(), type)
                    .flatMap(message -> EtcdJson.convert(message, conversion))
                    .mapLeft(text -> new StoreFailure(StoreFailure.Kind.MALFORMED, text))
                : Either.left(failureOf(response));
    return gateway
        .call(path, request)
        .thenApply(answer -> answer.mapLeft(EtcdStore::failureOf).flatMap(convertAnswer));
  }

  private static Snapshot snapshotOf(EtcdMessages.RangeResponse answer) {
    List<Entry> entries = answer.kvs().stream().map(EtcdJson::entryOf).toList();
    return new Snapshot(Revision.of(answer.header().revision()), entries);
  }

  /**
   * Converts a grant or a renewal. The store answers the renewal of an unknown lease with a time to
   * live of zero.
   */
  private static Either<StoreFailure, Lease> leaseOf(
      Instant sentAt, EtcdMessages.LeaseResponse answer) {
    if (answer.ttl() <= 0) {
      String message = "lease " + answer.id() + " has expired";
      return Either.left(new StoreFailure(StoreFailure.Kind.LEASE_GONE, message));
    }
    Deadline deadline = Deadline.at(sentAt.plusSeconds(answer.ttl()));
    return Either.right(new Lease(LeaseId.of(answer.id()), deadline));
  }

  private static WriteOutcome outcomeOfFailure(CallFailure failure) {
    return failure.kind() == CallFailure.Kind.NOT_SENT
        ? new WriteOutcome.NotSent(failureOf(failure))
        : new WriteOutcome.Unknown(failure.message());
  }

  private static WriteOutcome outcomeOf(BufferedHttpResponse response) {
    if (!response.isSuccess()) {
      StoreFailure failure = failureOf(response);
      return failure.kind() == StoreFailure.Kind.UNREACHABLE
          ? new WriteOutcome.Unknown(failure.message())
          : new WriteOutcome.NotSent(failure);
    }
    return EtcdJson.read(response.body(), EtcdMessages.TxnResponse.class)
        .flatMap(message -> EtcdJson.convert(message, TransactionCodec::outcomeOf))
        .getOrElseGet(WriteOutcome.Unknown::new);
  }
}
