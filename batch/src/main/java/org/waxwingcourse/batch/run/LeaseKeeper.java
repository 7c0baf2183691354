package org.waxwingcourse.batch.run;

import io.vavr.control.Either;
import io.vavr.control.Option;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import org.waxwingcourse.policy.lease.ClockDrift;
import org.waxwingcourse.policy.lease.HeldLease;
import org.waxwingcourse.store.Lease;
import org.waxwingcourse.store.LeaseId;
import org.waxwingcourse.store.Store;
import org.waxwingcourse.store.StoreFailure;

/**
 * Keeps the lease that all claims of this host are attached to. An expired lease is never used or
 * renewed again: a new lease is requested, and claims under the old one are void. Not thread-safe.
 */
final class LeaseKeeper {
  private static final int RENEWALS_PER_TERM = 3;

  private final Store store;
  private final InstantSource clock;
  private final Duration timeToLive;
  private Option<LeaseTerm> term = Option.none();
  private Instant renewAt = Instant.MIN;

  LeaseKeeper(Store store, InstantSource clock, Duration timeToLive) {
    this.store = store;
    this.clock = clock;
    this.timeToLive = timeToLive;
  }

  /** Returns the lease if it has not expired. */
  Option<LeaseTerm> current() {
    return term.filter(heldTerm -> heldTerm.holds(clock.instant()));
  }

  /** Renews the lease if a renewal is due, or requests a new one if none is held. */
  Option<LeaseTerm> renewIfDue() {
    Instant now = clock.instant();
    if (current().isEmpty()) {
      term = requestLease(now);
    } else if (!now.isBefore(renewAt)) {
      renew(term.get(), now);
    }
    return current();
  }

  /**
   * Requests a new lease. The expired lease is revoked first, so that the claims attached to it are
   * certainly deleted.
   */
  private Option<LeaseTerm> requestLease(Instant now) {
    if (term.exists(heldTerm -> !tryRevoke(heldTerm))) {
      return term;
    }
    Either<StoreFailure, Lease> result = store.grantLease(timeToLive).join();
    return result.toOption().map(granted -> new LeaseTerm(granted.id(), usableLease(granted, now)));
  }

  private boolean tryRevoke(LeaseTerm previous) {
    Either<StoreFailure, LeaseId> result = store.revokeLease(previous.id()).join();
    return result.isRight() || result.getLeft().kind() == StoreFailure.Kind.LEASE_GONE;
  }

  private void renew(LeaseTerm lease, Instant now) {
    Either<StoreFailure, Lease> result = store.renewLease(lease.id()).join();
    result.forEach(granted -> lease.extend(usableLease(granted, now)));
    if (result.isLeft() && result.getLeft().kind() == StoreFailure.Kind.LEASE_GONE) {
      lease.end();
    }
  }

  private HeldLease usableLease(Lease granted, Instant requestedAt) {
    renewAt = requestedAt.plus(timeToLive.dividedBy(RENEWALS_PER_TERM));
    return HeldLease.of(requestedAt, granted.deadline(), ClockDrift.FLEET);
  }

  /** Revokes the lease, which frees all claims attached to it. */
  void release() {
    term.forEach(LeaseTerm::end);
    term.forEach(heldTerm -> store.revokeLease(heldTerm.id()).join());
    term = Option.none();
  }
}
