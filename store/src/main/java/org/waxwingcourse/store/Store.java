package org.waxwingcourse.store;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import org.waxwingcourse.model.id.Revision;

/**
 * The platform's key-value service. Every call counts against the service's rates, a waiting watch
 * as one call. No future completes exceptionally: failures are values.
 */
public interface Store {
  /** Reads the entries of a range at the newest revision. */
  CompletableFuture<Either<StoreFailure, Snapshot>> read(KeyRange range);

  /** Applies the transaction if all its comparisons hold. */
  CompletableFuture<WriteOutcome> write(Transaction transaction);

  /**
   * Asks for a lease.
   *
   * @param timeToLive how long the lease lasts without a renewal, whole seconds
   */
  CompletableFuture<Either<StoreFailure, Lease>> grantLease(Duration timeToLive);

  /** Renews a lease; the answer carries its new deadline. */
  CompletableFuture<Either<StoreFailure, Lease>> renewLease(LeaseId lease);

  /** Gives a lease up; entries that hang on it vanish. */
  CompletableFuture<Either<StoreFailure, LeaseId>> revokeLease(LeaseId lease);

  /**
   * Watches a range for changes after {@code after}. The listener hears each change once and in
   * order until the watch is closed or breaks.
   */
  Watch watch(KeyRange range, Revision after, WatchListener listener);
}
