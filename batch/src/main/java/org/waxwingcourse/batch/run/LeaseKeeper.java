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
 * Keeps the one lease that all claims of this host hang on. A lapsed lease is never used or renewed
 * again: a new one is asked for, and claims under the old one are gone. Used by one thread.
 */
final class LeaseKeeper {
  private static final int RENEWALS_PER_TERM = 3;

  private final Store store;
  private final InstantSource clock;
  private final Duration time;
  private Option<LeaseTerm> term = Option.none();
  private Instant renewAt = Instant.MIN;

  LeaseKeeper(Store store, InstantSource clock, Duration time) {
    this.store = store;
    this.clock = clock;
    this.time = time;
  }

  /** Returns the lease if it is held now. */
  Option<LeaseTerm> held() {
    return term.filter(t -> t.holds(clock.instant()));
  }

  /** Renews the lease when it is time to, or asks for one if there is none. */
  Option<LeaseTerm> keep() {
    Instant now = clock.instant();
    if (held().isEmpty()) {
      term = granted(now);
    } else if (!now.isBefore(renewAt)) {
      renew(term.get(), now);
    }
    return held();
  }

  /** Gives the lapsed lease up first, so that what hung on it is surely free. */
  private Option<LeaseTerm> granted(Instant now) {
    if (term.exists(t -> !revoked(t))) {
      return term;
    }
    Either<StoreFailure, Lease> answer = store.grantLease(time).join();
    return answer.toOption().map(lease -> new LeaseTerm(lease.id(), heldFrom(lease, now)));
  }

  private boolean revoked(LeaseTerm former) {
    Either<StoreFailure, LeaseId> answer = store.revokeLease(former.id()).join();
    return answer.isRight() || answer.getLeft().kind() == StoreFailure.Kind.LEASE_GONE;
  }

  private void renew(LeaseTerm current, Instant now) {
    Either<StoreFailure, Lease> answer = store.renewLease(current.id()).join();
    answer.forEach(lease -> current.renewed(heldFrom(lease, now)));
    if (answer.isLeft() && answer.getLeft().kind() == StoreFailure.Kind.LEASE_GONE) {
      current.end();
    }
  }

  private HeldLease heldFrom(Lease lease, Instant asked) {
    renewAt = asked.plus(time.dividedBy(RENEWALS_PER_TERM));
    return HeldLease.of(asked, lease.deadline(), ClockDrift.FLEET);
  }

  /** Gives the lease up; what hung on it is free at once. */
  void release() {
    term.forEach(LeaseTerm::end);
    term.forEach(t -> store.revokeLease(t.id()).join());
    term = Option.none();
  }
}
