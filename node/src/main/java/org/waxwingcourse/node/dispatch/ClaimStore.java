package org.waxwingcourse.node.dispatch;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import io.vavr.control.Either;
import io.vavr.control.Option;
import java.time.Duration;
import java.time.InstantSource;
import java.util.concurrent.CompletableFuture;
import org.waxwingcourse.model.id.Revision;
import org.waxwingcourse.model.time.Deadline;
import org.waxwingcourse.policy.idempotency.IdempotencyClaim;
import org.waxwingcourse.policy.idempotency.StoredResponse;
import org.waxwingcourse.store.Lease;
import org.waxwingcourse.store.LeaseId;
import org.waxwingcourse.store.Store;
import org.waxwingcourse.store.StoreFailure;
import org.waxwingcourse.store.Transaction;
import org.waxwingcourse.store.WriteOutcome;
import org.waxwingcourse.wire.ServiceClaim;

/** Keeps claims in the platform's store. Many claims share one lease. */
final class ClaimStore {
  private static final Duration CLAIM_RETENTION = Duration.ofHours(24);
  private static final Duration LEASE_REUSE_PERIOD = Duration.ofHours(1);

  private final Store store;
  private final InstantSource clock;
  private CompletableFuture<Either<StoreFailure, Lease>> lease;
  private Deadline leaseReuseEnd;

  ClaimStore(Store store, InstantSource clock) {
    this.store = store;
    this.clock = clock;
  }

  /** Creates the claim unless the key has one already. */
  CompletableFuture<WriteOutcome> createClaim(String key, IdempotencyClaim claim) {
    return currentLease()
        .thenCompose(
            granted ->
                granted.fold(
                    failure -> CompletableFuture.completedFuture(new WriteOutcome.NotSent(failure)),
                    grantedLease -> store.write(creation(key, claim, grantedLease.id()))));
  }

  /** Adds the answer to a claim; if that fails, repeated requests get an unknown outcome. */
  void storeAnswer(String key, IdempotencyClaim claim, Revision claimRevision) {
    currentLease()
        .thenAccept(
            granted ->
                granted.peek(
                    grantedLease ->
                        store.write(
                            Transaction.builder()
                                .requireUnmodified(key, claimRevision)
                                .put(key, encode(claim), grantedLease.id())
                                .build())));
  }

  /** Removes the claim of a call that was not sent. */
  CompletableFuture<WriteOutcome> removeClaim(String key, Revision claimRevision) {
    return store.write(
        Transaction.builder().requireUnmodified(key, claimRevision).delete(key).build());
  }

  private static Transaction creation(String key, IdempotencyClaim claim, LeaseId lease) {
    return Transaction.builder().requireAbsent(key).put(key, encode(claim), lease).build();
  }

  private synchronized CompletableFuture<Either<StoreFailure, Lease>> currentLease() {
    boolean usable =
        lease != null
            && !leaseReuseEnd.isPast(clock.instant())
            && !(lease.isDone() && lease.join().isLeft());
    if (!usable) {
      leaseReuseEnd = Deadline.after(clock, LEASE_REUSE_PERIOD);
      lease = store.grantLease(CLAIM_RETENTION);
    }
    return lease;
  }

  private static byte[] encode(IdempotencyClaim claim) {
    ServiceClaim.Builder message =
        ServiceClaim.newBuilder().setAttempt(claim.attempt()).setFingerprint(claim.fingerprint());
    claim
        .response()
        .peek(
            response ->
                message
                    .setAnswered(true)
                    .setStatus(response.status())
                    .setContentType(response.contentType())
                    .setBody(ByteString.copyFrom(response.body())));
    return message.build().toByteArray();
  }

  static Option<IdempotencyClaim> decode(byte[] bytes) {
    try {
      ServiceClaim message = ServiceClaim.parseFrom(bytes);
      StoredResponse response =
          new StoredResponse(
              message.getStatus(), message.getContentType(), message.getBody().toByteArray());
      return Option.some(
          new IdempotencyClaim(
              message.getAttempt(),
              message.getFingerprint(),
              Option.when(message.getAnswered(), response)));
    } catch (InvalidProtocolBufferException e) {
      return Option.none();
    }
  }
}
