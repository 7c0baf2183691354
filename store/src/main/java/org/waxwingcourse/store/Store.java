package org.waxwingcourse.store;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import org.waxwingcourse.model.id.Revision;

/**
 * The platform's key-value service. Every call counts against the service's rate limits; an open
 * watch counts as one call. No future completes exceptionally: failures are returned as values.
 */
public interface Store {
  /** The largest value in bytes that a store takes if it does not say otherwise. */
  int DEFAULT_MAX_VALUE_BYTES = 1 << 20;

  /**
   * Returns the largest value in bytes that the store takes; it refuses a write with a larger one,
   * however often that is repeated.
   */
  default int maxValueBytes() {
    return DEFAULT_MAX_VALUE_BYTES;
  }

  /** Reads the entries of a range at the latest revision. */
  CompletableFuture<Either<StoreFailure, Snapshot>> read(KeyRange range);

  /** Applies the transaction if all its comparisons hold. */
  CompletableFuture<WriteOutcome> write(Transaction transaction);

  /**
   * Requests a lease.
   *
   * @param timeToLive how long the lease lasts without a renewal, in whole seconds
   */
  CompletableFuture<Either<StoreFailure, Lease>> grantLease(Duration timeToLive);

  /** Renews a lease and returns it with its new deadline. */
  CompletableFuture<Either<StoreFailure, Lease>> renewLease(LeaseId lease);

  /** Revokes a lease, which deletes the entries attached to it. */
  CompletableFuture<Either<StoreFailure, LeaseId>> revokeLease(LeaseId lease);

  /**
   * Watches a range for changes made after revision {@code after}. The listener receives each
   * change once and in order until the watch is closed or fails.
   */
  Watch watch(KeyRange range, Revision after, WatchListener listener);
}
