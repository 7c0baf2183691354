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
import org.waxwingcourse.policy.idempotency.Claim;
import org.waxwingcourse.policy.idempotency.ClaimedAnswer;
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
  CompletableFuture<WriteOutcome> createClaim(String key, Claim claim) {
    return currentLease()
        .thenCompose(
            granted ->
                granted.fold(
                    failure -> CompletableFuture.completedFuture(new WriteOutcome.NotSent(failure)),
                    grantedLease -> store.write(creation(key, claim, grantedLease.id()))));
  }

  /** Adds the answer to a claim; if that fails, repeated requests get an unknown outcome. */
  void storeAnswer(String key, Claim claim, Revision claimRevision) {
    currentLease()
        .thenAccept(
            granted ->
                granted.peek(
                    grantedLease ->
                        store.write(
                            Transaction.builder()
                                .unchanged(key, claimRevision)
                                .put(key, encode(claim), grantedLease.id())
                                .build())));
  }

  /** Removes the claim of a call that was not sent. */
  CompletableFuture<WriteOutcome> removeClaim(String key, Revision claimRevision) {
    return store.write(Transaction.builder().unchanged(key, claimRevision).delete(key).build());
  }

  private static Transaction creation(String key, Claim claim, LeaseId lease) {
    return Transaction.builder().absent(key).put(key, encode(claim), lease).build();
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

  private static byte[] encode(Claim claim) {
    ServiceClaim.Builder message =
        ServiceClaim.newBuilder().setAttempt(claim.attempt()).setFingerprint(claim.fingerprint());
    claim
        .answer()
        .peek(
            answer ->
                message
                    .setAnswered(true)
                    .setStatus(answer.status())
                    .setContentType(answer.contentType())
                    .setBody(ByteString.copyFrom(answer.body())));
    return message.build().toByteArray();
  }

  static Option<Claim> decode(byte[] bytes) {
    try {
      ServiceClaim message = ServiceClaim.parseFrom(bytes);
      ClaimedAnswer answer =
          new ClaimedAnswer(
              message.getStatus(), message.getContentType(), message.getBody().toByteArray());
      return Option.some(
          new Claim(
              message.getAttempt(),
              message.getFingerprint(),
              Option.when(message.getAnswered(), answer)));
    } catch (InvalidProtocolBufferException e) {
      return Option.none();
    }
  }
}
